"""Admission control for the calls to one backend server."""

from __future__ import annotations

from cassiahatch_policies.admission.controller import PriorityAdmission
from cassiahatch_policies.admission.open import OpenAdmission
from cassiahatch_policies.admission.ticket import Completion, Ticket, TicketState

__all__ = [
    "Completion",
    "OpenAdmission",
    "PriorityAdmission",
    "Ticket",
    "TicketState",
]
