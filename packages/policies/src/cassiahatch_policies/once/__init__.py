"""Running non-idempotent calls at most once."""

from __future__ import annotations

from cassiahatch_policies.once.ledger import (
    Ledger,
    Rerun,
    Run,
    Stop,
    Wait,
)
from cassiahatch_policies.once.tenure import Tenure, TenureBook

__all__ = ["Ledger", "Rerun", "Run", "Stop", "Tenure", "TenureBook", "Wait"]
