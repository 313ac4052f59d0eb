"""OpenTelemetry spans: one for each hop of a call, linked by ``traceparent``."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from types import TracebackType

import msgspec
from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from cassiahatch_node.settings import TracingSettings

MAX_RECENT_SPANS = 2000
NS_PER_MS = 1_000_000


class SpanRecord(msgspec.Struct, frozen=True):
    """A finished span, as written to the span file and sent to operators."""

    trace_id: str
    span_id: str
    parent_id: str
    node: str
    name: str
    start_ns: int
    duration_ms: float
    attributes: dict[str, str]


class RecentSpans(SpanExporter):
    """Keeps recent spans in memory, and writes all spans to a file if one is given."""

    def __init__(self, node_id: str, path: str) -> None:
        self._node_id = node_id
        self._file = Path(path).open("ab") if path else None  # noqa: SIM115
        self.spans: deque[SpanRecord] = deque(maxlen=MAX_RECENT_SPANS)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Record finished spans."""
        for span in spans:
            record = _make_record(self._node_id, span)
            self.spans.append(record)
            if self._file is not None:
                self._file.write(msgspec.json.encode(record) + b"\n")
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None


class Tracing:
    """Opens the spans of one node; a context manager that flushes them on exit."""

    __slots__ = ("_propagator", "_provider", "_tracer", "recent")

    def __init__(self, node_id: str, settings: TracingSettings) -> None:
        self._provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(settings.sample)),
            resource=Resource({"service.name": "cassiahatch", "host.name": node_id}),
            shutdown_on_exit=False,
        )
        self.recent = RecentSpans(node_id, settings.file)
        self._provider.add_span_processor(SimpleSpanProcessor(self.recent))
        if settings.otlp:
            exporter = OTLPSpanExporter(endpoint=settings.otlp)
            self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("cassiahatch")
        self._propagator = TraceContextTextMapPropagator()

    def __enter__(self) -> Tracing:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._provider.shutdown()

    @contextmanager
    def open_span(self, name: str, traceparent: str) -> Iterator[ActiveSpan]:
        """Open a span as a child of ``traceparent``, or as the root of a new trace."""
        parent = self._propagator.extract({"traceparent": traceparent})
        span = self._tracer.start_span(name, context=parent)
        try:
            yield ActiveSpan(span)
        finally:
            span.end()


class ActiveSpan:
    """A span that has not ended."""

    __slots__ = ("_span",)

    def __init__(self, span: trace.Span) -> None:
        self._span = span

    @property
    def traceparent(self) -> str:
        """Trace context that names this span as the parent of the next hop's span."""
        context = self._span.get_span_context()
        return (
            f"00-{context.trace_id:032x}-{context.span_id:016x}"
            f"-{int(context.trace_flags):02x}"
        )

    def set_attribute(self, name: str, value: str) -> None:
        """Set an attribute of the span."""
        self._span.set_attribute(name, value)


def _make_record(node_id: str, span: ReadableSpan) -> SpanRecord:
    context = span.get_span_context()
    start = span.start_time or 0
    end = span.end_time or start
    return SpanRecord(
        trace_id=f"{context.trace_id:032x}",
        span_id=f"{context.span_id:016x}",
        parent_id=f"{span.parent.span_id:016x}" if span.parent else "",
        node=node_id,
        name=span.name,
        start_ns=start,
        duration_ms=(end - start) / NS_PER_MS,
        attributes={str(k): str(v) for k, v in (span.attributes or {}).items()},
    )
