"""FleetShare: the sum over all hosts keeps to the bounds of the fleet."""

import hypothesis
from hypothesis import strategies
import pytest

from corianderport_tier.process import fleet_share

_BOUNDS = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5, expected_hosts=1)


def _shares(count: int) -> list[fleet_share.FleetShare]:
    names = tuple(f'h{n}' for n in range(count))
    return [
        fleet_share.FleetShare(_BOUNDS, name, lambda: names) for name in names
    ]


@pytest.mark.parametrize('hosts', [1, 2, 6, 24])
@pytest.mark.parametrize('most', [25, 96, 400])
def test_connections(hosts: int, most: int) -> None:
    total = sum(s.connections(most) for s in _shares(hosts))
    assert total <= max(most, hosts)


@pytest.mark.parametrize('hosts', [1, 6, 20])
def test_extra_slack(hosts: int) -> None:
    assert sum(s.extra_slack for s in _shares(hosts)) <= 52


@hypothesis.given(
    strategies.integers(1, 80), strategies.floats(0.1, 60), strategies.text()
)
def test_cold_rate(hosts: int, rate: float, searcher: str) -> None:
    """Also where a host's part is less than one request a second."""
    total = sum(s.cold_rate(searcher, rate) for s in _shares(hosts))
    assert 0 < total <= rate * 1.5 + 5


def test_more_hosts_are_assumed_than_are_known_at_the_start() -> None:
    bounds = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5, expected_hosts=6)
    alone = fleet_share.FleetShare(bounds, 'h1', lambda: ('h1',))
    assert alone.hosts == 6
