"""Requests with keys are served only while the configuration is known to be recent."""

from __future__ import annotations

from math import inf

import pytest

from cassiahatch_policies.configuration_lease import ConfigurationLease

DECISIONS = [
    # longest delay, age and uncertainty in seconds; whether requests are served
    (5.0, 0.0, 0.0, True),
    (5.0, 3.0, 0.2, True),
    (5.0, 4.49, 0.0, True),
    (5.0, 4.0, 0.49, True),
    (5.0, 4.0, 0.51, False),
    (5.0, 4.51, 0.0, False),
    (5.0, 0.0, inf, False),
    (5.0, inf, 0.0, False),
    (5.0, inf, inf, False),
    (2.0, 1.79, 0.0, True),
    (2.0, 1.81, 0.0, False),
]


@pytest.mark.parametrize(("max_delay_s", "age_s", "uncertainty_s", "serves"), DECISIONS)
def test_lease_ends_before_the_longest_delay_with_all_uncertainty(
    max_delay_s: float, age_s: float, uncertainty_s: float, serves: bool
) -> None:
    """Guards against an end after the delay, and against one far before it."""
    rejection = ConfigurationLease(max_delay_s).find_rejection(age_s, uncertainty_s)
    assert (rejection is None) is serves
    assert serves or rejection.retry_after_s > 0
