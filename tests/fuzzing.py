"""How stateful machines are run: the same examples every time."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test


def run_machine(
    machine: type[RuleBasedStateMachine], examples: int, steps: int
) -> None:
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
