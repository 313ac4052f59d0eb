"""The base of every error that carries a code."""

from __future__ import annotations


class CodedError(Exception):
    """An error that a program can tell apart by its code.

    Parameters
    ----------
    detail : str
        What was wrong, for a person.
    """

    code = "internal"
    """Stable identifier of the kind of error."""

    status = 500
    """HTTP status that a front end answers with."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail
