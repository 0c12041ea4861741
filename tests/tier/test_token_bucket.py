"""Tests of TokenBucket."""

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import token_bucket


@pytest.mark.parametrize(
    ('spent', 'idle_s', 'tokens', 'permitted'),
    [
        ((), 0.0, 100, True),
        ((), 0.0, 101, False),
        ((60,), 0.0, 50, False),
        ((100,), 0.2, 40, True),
        ((100,), 0.2, 41, False),
        # Unused tokens do not add up beyond a burst.
        ((), 100.0, 101, False),
    ],
)
def test_tokens_are_limited_by_burst_and_rate(
    spent: tuple[int, ...], idle_s: float, tokens: int, permitted: bool
) -> None:
    """Guards against a burst or a rate beyond the limit."""
    clock = clock_module.ManualClock()
    bucket = token_bucket.TokenBucket(clock, rate=200.0, burst=100.0)
    for earlier in spent:
        assert bucket.try_spend(earlier)
    clock.advance(idle_s)
    assert bucket.try_spend(tokens) is permitted
