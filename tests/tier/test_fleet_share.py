"""Tests for FleetShare: the sum over all hosts stays within the bounds."""

import hypothesis
from hypothesis import strategies
import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import fleet_share

_BOUNDS = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5, expected_hosts=1)


def _shares(count: int) -> list[fleet_share.FleetShare]:
    names = tuple(f'h{n}' for n in range(count))
    return [
        fleet_share.FleetShare(
            _BOUNDS, name, lambda: names, clock_module.ManualClock()
        )
        for name in names
    ]


@pytest.mark.parametrize('hosts', [1, 2, 6, 24, 75])
@pytest.mark.parametrize('most', [1, 25, 70, 400])
def test_connections(hosts: int, most: int) -> None:
    """All hosts together must not exceed the connections of a searcher.

    With more hosts than connections, some hosts must not hold any.
    """
    total = sum(s.connections('s1', most) for s in _shares(hosts))
    assert 0 < total <= most


@pytest.mark.parametrize('hosts', [6, 58, 75, 195])
@pytest.mark.parametrize('most', [1, 25, 70, 125, 1_200])
@pytest.mark.parametrize('gathering', [1, 2, 15])
def test_connections_of_hosts_that_gather_for_others(
    hosts: int, most: int, gathering: int
) -> None:
    """Guards against hosts that exceed a searcher's connections together.

    Those that gather for others must not get fewer than the others either.
    """
    names = tuple(f'h{n}' for n in range(hosts))
    gather_hosts = frozenset(names[: min(gathering, hosts // 3)])
    connections = {
        name: fleet_share.FleetShare(
            _BOUNDS,
            name,
            lambda: names,
            clock_module.ManualClock(),
            gather_hosts=lambda: gather_hosts,
        ).connections('s1', most)
        for name in names
    }
    assert 0 < sum(connections.values()) <= most
    mean = sum(connections.values()) / hosts
    if most >= 3 * len(gather_hosts):
        assert all(connections[n] >= int(mean) for n in gather_hosts)


def test_share_of_the_last_host_that_is_left() -> None:
    """Guards against a division by no hosts once most have gone."""
    gather_hosts = frozenset(f'g{n}' for n in range(15))
    share = fleet_share.FleetShare(
        _BOUNDS,
        'h1',
        lambda: ('h1',),
        clock_module.ManualClock(),
        gather_hosts=lambda: gather_hosts,
    )
    assert share.connections('s1', 125) > 0
    assert share.connections('s1', 2) > 0


def test_each_searcher_gets_different_hosts() -> None:
    """Every host must be able to use some searchers of a service.

    With fewer connections than hosts, a host would have none if the same
    hosts were selected for each searcher.
    """
    shares = _shares(75)
    for share in shares:
        used = [share.connections(f's{n}', 70) for n in range(30)]
        assert 15 <= sum(used) < 30


def test_ranks_follow_the_hosts() -> None:
    """A host must use all searchers after the other hosts have gone.

    Its ranks among the previous hosts are cached.
    """
    hosts: list[tuple[str, ...]] = [('h1', 'h2', 'h3', 'h4')]
    share = fleet_share.FleetShare(
        _BOUNDS, 'h1', lambda: hosts[0], clock_module.ManualClock()
    )
    before = [share.connections(f's{n}', 2) for n in range(20)]
    hosts[0] = ('h1',)
    after = [share.connections(f's{n}', 2) for n in range(20)]
    assert 0 in before
    assert 0 not in after


@pytest.mark.parametrize('hosts', [1, 6, 20])
def test_extra_slack(hosts: int) -> None:
    """The slack of all hosts together must not exceed the bound.

    Each host may use its part without asking the others.
    """
    assert sum(s.extra_slack for s in _shares(hosts)) <= 52


def test_restarted_host_starts_with_little_slack() -> None:
    """All hosts may restart in one window after spending all their slack.

    Guards against a budget that a restart refills: the slack before and
    after the restart together must not exceed the bound.
    """
    clock = clock_module.ManualClock()
    hosts = ('h1', 'h2', 'h3')
    before = fleet_share.FleetShare(_BOUNDS, 'h1', lambda: hosts, clock)
    after = fleet_share.FleetShare(
        _BOUNDS, 'h1', lambda: hosts, clock, restarted=True
    )
    assert 3 * (before.extra_slack + after.extra_slack) <= 52
    clock.advance(10)
    assert after.extra_slack == before.extra_slack


@hypothesis.given(
    strategies.integers(1, 80), strategies.floats(0.1, 60), strategies.text()
)
def test_cold_rate(hosts: int, rate: float, searcher: str) -> None:
    """All hosts together must not exceed the rate of a cold searcher.

    If the share of a host is below one request per second, some hosts must
    not send any.
    """
    total = sum(s.cold_rate(searcher, rate) for s in _shares(hosts))
    assert 0 < total <= rate * 1.5 + 5


def test_more_hosts_are_assumed_than_are_known_at_the_start() -> None:
    """A host that has just started must not use the whole bounds.

    It does not know the other hosts yet.
    """
    bounds = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5, expected_hosts=6)
    alone = fleet_share.FleetShare(
        bounds, 'h1', lambda: ('h1',), clock_module.ManualClock()
    )
    assert alone.hosts == 6
