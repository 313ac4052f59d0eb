"""Runner for Hypothesis state machines."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test


def run_machine(
    machine: type[RuleBasedStateMachine], examples: int, steps: int
) -> None:
    """Run a state machine, with the same examples in every run."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
            phases=[Phase.generate],
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
        ),
    )
