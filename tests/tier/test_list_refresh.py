"""ListRefresh: when a host asks for all rumours."""

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import list_refresh


@pytest.mark.parametrize(
    ('hosts', 'period_s'), [(6, 3.0), (195, 4.875), (1_000, 25.0)]
)
def test_lists_are_asked_for_more_rarely_by_more_hosts(
    hosts: int, period_s: float
) -> None:
    """Guards against bytes that grow with the number of hosts."""
    clock = clock_module.ManualClock()
    refresh = list_refresh.ListRefresh(clock)
    assert refresh.due(hosts)
    refresh.received(hosts - 1, hosts)
    clock.advance(period_s - 0.1)
    assert not refresh.due(hosts)
    clock.advance(0.2)
    assert refresh.due(hosts)


def test_list_of_a_host_that_has_just_started_does_not_count() -> None:
    """Guards against a host that relies on a list with few hosts."""
    refresh = list_refresh.ListRefresh(clock_module.ManualClock())
    refresh.received(90, 195)
    assert refresh.due(195)
    refresh.received(97, 195)
    assert not refresh.due(195)
    refresh = list_refresh.ListRefresh(clock_module.ManualClock())
    # A reply has 1,000 rumours at most.
    refresh.received(1_000, 7_200)
    assert not refresh.due(7_200)


def test_pause_makes_the_list_due() -> None:
    """Guards against a host that does not learn what it missed."""
    refresh = list_refresh.ListRefresh(clock_module.ManualClock())
    refresh.received(194, 195)
    refresh.expire()
    assert refresh.due(195)
