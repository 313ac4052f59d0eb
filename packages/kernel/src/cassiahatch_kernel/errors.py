"""Base class of the errors that carry a code."""

from __future__ import annotations


class CodedError(Exception):
    """An error with a code by which programs can identify it.

    Parameters
    ----------
    detail : str
        Human-readable description of the fault.
    """

    code = "internal"
    """Stable identifier of the kind of error."""

    status = 500
    """HTTP status with which a front end reports the error."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail
