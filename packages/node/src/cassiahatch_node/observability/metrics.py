"""Counters, gauges and latency histograms of a process."""

from __future__ import annotations

from collections import Counter

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
US_PER_S = 1_000_000
SAMPLE_INTERVAL = 7
"""One latency in this many passed to ``sample`` is recorded.

The interval is prime because each call passes three latencies: with a multiple of
three, only the same one of them would ever be recorded.
"""


class Metrics:
    """Counters, gauges and latency histograms, by name."""

    __slots__ = ("_samples", "counters", "gauges", "histograms")

    def __init__(self) -> None:
        self._samples = 0
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        """Current values; a name may end with a colon and a code."""
        self.histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        self.counters[name] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge, a value that may also fall."""
        self.gauges[name] = value

    def sample(self, name: str, seconds: float) -> None:
        """Record one latency in ``SAMPLE_INTERVAL``; for latencies of every call."""
        self._samples += 1
        if self._samples % SAMPLE_INTERVAL == 0:
            self.record(name, seconds)

    def record(self, name: str, seconds: float) -> None:
        """Record a latency in the histogram ``name``."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self.histograms[name] = histogram
        histogram.record_value(max(MIN_LATENCY_US, int(seconds * US_PER_S)))

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for name, value in sorted(self.counters.items()):
            family, _, code = name.partition(":")
            label = f'{{code="{code}"}}' if code else ""
            lines.append(f"cassiahatch_{family}_total{label} {value}")
        for name, value in sorted(self.gauges.items()):
            family, _, code = name.partition(":")
            label = f'{{code="{code}"}}' if code else ""
            lines.append(f"cassiahatch_{family}{label} {value:g}")
        for name, histogram in sorted(self.histograms.items()):
            metric = f"cassiahatch_{name}_seconds"
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / US_PER_S
                lines.append(f'{metric}{{quantile="{quantile / 100:g}"}} {value:.6f}')
            lines.append(f"{metric}_count {histogram.get_total_count()}")
        return "\n".join(lines) + "\n"
