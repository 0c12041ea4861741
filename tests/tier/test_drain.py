"""Tests of Drain: which requests a stopping host accepts."""

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import drain
from corianderport_tier.request import deadlines


@pytest.mark.parametrize(
    ('remaining_s', 'usual_latency_s', 'accepted'),
    [
        (None, 100.0, True),
        (2.0, 0.5, True),
        (2.0, 0.6, False),
        (0.0, 0.1, False),
    ],
)
def test_request_needs_several_times_its_usual_latency(
    remaining_s: float | None, usual_latency_s: float, accepted: bool
) -> None:
    """Guards against requests that cannot be answered before the end."""
    clock = clock_module.ManualClock()
    host_drain = drain.Drain(clock)
    if remaining_s is not None:
        host_drain.begin(deadlines.Deadline.after(clock, remaining_s))
    assert host_drain.accepts(usual_latency_s) is accepted


def test_deadline_reaches_requests_before_and_after_it_is_set() -> None:
    """Guards against a request that begins while the shutdown begins."""
    clock = clock_module.ManualClock()
    host_drain = drain.Drain(clock)
    end = deadlines.Deadline.after(clock, 3.0)
    begun = drain.DrainBegun(end)
    seen: list[tuple[str, drain.DrainBegun]] = []
    with host_drain.watching(lambda event: seen.append(('early', event))):
        host_drain.begin(end)
    with host_drain.watching(lambda event: seen.append(('late', event))):
        pass
    host_drain.begin(end)
    assert seen == [('early', begun), ('late', begun)]
