"""Structured log lines: one JSON object for each event."""

from __future__ import annotations

from typing import Any

import msgspec
from absl import logging

_ENCODER = msgspec.json.Encoder()


def log_event(name: str, **fields: Any) -> None:
    """Log an event at the level of information."""
    logging.info("%s", _format(name, fields))


def log_warning(name: str, **fields: Any) -> None:
    """Log an event that an operator may want to look at."""
    logging.warning("%s", _format(name, fields))


def _format(name: str, fields: dict[str, Any]) -> str:
    return _ENCODER.encode({"event": name, **fields}).decode()
