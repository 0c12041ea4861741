"""Tests of LinkBudget, the part of a link for transfers to other hosts."""

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import link_budget


@pytest.mark.parametrize(
    ('spent', 'idle_s', 'size', 'permitted'),
    [
        # A link of 1,000 bytes a second permits bursts of 100 bytes.
        ((), 0.0, 100, True),
        ((), 0.0, 101, False),
        ((60,), 0.0, 50, False),
        ((100,), 0.2, 40, True),
        ((100,), 0.2, 41, False),
        # Unused capacity does not add up beyond a burst.
        ((), 100.0, 101, False),
    ],
)
def test_bytes_are_limited_by_burst_and_rate(
    spent: tuple[int, ...], idle_s: float, size: int, permitted: bool
) -> None:
    """Guards against transfers that take the link from callers."""
    clock = clock_module.ManualClock()
    budget = link_budget.LinkBudget(clock, 1_000.0)
    for earlier in spent:
        assert budget.try_spend(earlier)
    clock.advance(idle_s)
    assert budget.try_spend(size) is permitted
