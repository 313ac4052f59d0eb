"""At-most-once execution of non-idempotent calls."""

from __future__ import annotations

from cassiahatch_policies.once.ledger import (
    Fail,
    Ledger,
    Replay,
    Run,
    Wait,
)
from cassiahatch_policies.once.tenure import Tenure, TenureBook

__all__ = ["Ledger", "Replay", "Run", "Fail", "Tenure", "TenureBook", "Wait"]
