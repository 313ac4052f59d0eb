"""Structured logging: one JSON object per event."""

from __future__ import annotations

from typing import Any

import msgspec
from absl import logging

_ENCODER = msgspec.json.Encoder()


def log_event(name: str, **fields: Any) -> None:
    """Log an event at level INFO."""
    logging.info("%s", _format(name, fields))


def log_warning(name: str, **fields: Any) -> None:
    """Log an event at level WARNING, as it may need an operator's attention."""
    logging.warning("%s", _format(name, fields))


def _format(name: str, fields: dict[str, Any]) -> str:
    return _ENCODER.encode({"event": name, **fields}).decode()
