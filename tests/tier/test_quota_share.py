"""Without faults, nearly all requests within a quota are served."""

import collections.abc
import random

import pytest

from corianderport_tier.version import workspaces

from . import quota_network

_DURATION_S = 30.0
_MIN_SHARE = 0.95
# Chooses the number of the host that a request goes to, from the time.
Placement = collections.abc.Callable[[random.Random, float, int], int]


def _one_host(rng: random.Random, at_s: float, hosts: int) -> int:
    return 0


def _all_hosts(rng: random.Random, at_s: float, hosts: int) -> int:
    return rng.randrange(hosts)


def _moving(rng: random.Random, at_s: float, hosts: int) -> int:
    return int(at_s / 0.7) % hosts


def _measure(
    hosts: int, rate: float, burst: float, load: float, place: Placement
) -> tuple[float, float, float]:
    """Return the served share, calls per request and the excess.

    The share counts against one bucket with the quota's rate and burst.
    """
    workspace = workspaces.Workspace('kami', 0, rate, burst)
    fleet = quota_network.Fleet(hosts, 1, [workspace])
    members = list(fleet.hosts.values())
    rng = random.Random(2)
    begin_s = fleet.now_s
    tokens, allowed, requests = burst, 0, 0
    due_s = 0.0
    while fleet.now_s - begin_s < _DURATION_S:
        fleet.advance(quota_network.STEP_S)
        at_s = fleet.now_s - begin_s
        tokens = min(max(burst, 1), tokens + rate * quota_network.STEP_S)
        while due_s <= at_s:
            due_s += rng.expovariate(load * rate)
            requests += 1
            if tokens >= 1:
                tokens -= 1
                allowed += 1
            host = members[place(rng, at_s, hosts)]
            fleet.request(host, workspace.name)
    served = len(fleet.admitted[workspace.name])
    return (
        min(1.0, served / allowed),
        fleet.calls / max(1, requests),
        quota_network.excess(fleet, workspace.name),
    )


@pytest.mark.parametrize('hosts', [6, 80])
@pytest.mark.parametrize('place', [_one_host, _all_hosts, _moving])
@pytest.mark.parametrize(
    ('rate', 'burst', 'load'),
    [
        (11, 11, 0.9),
        (11, 11, 1.0),
        (11, 11, 8.0),
        (200, 200, 1.0),
        (200, 100, 3.0),
        (0.5, 5, 3.0),
        (40, 10, 1.5),
    ],
)
def test_share_of_the_quota_that_is_served(
    hosts: int, place: Placement, rate: float, burst: float, load: float
) -> None:
    """Guards against refusals of requests that the quota allows.

    The demand is on one host, on all hosts, or moves between them.
    """
    share, calls, excess = _measure(hosts, rate, burst, load, place)
    print(
        f'{hosts} hosts {place.__name__} {rate}/s burst {burst} x {load}: '
        f'{share:.3f} served, {calls:.2f} calls a request, '
        f'{excess:.0f} to the bound'
    )
    assert excess <= 0
    assert share >= _MIN_SHARE


@pytest.mark.parametrize('hosts', [6, 80])
@pytest.mark.parametrize('fault', ['freeze', 'stop'])
def test_share_that_is_served_without_one_owner(
    hosts: int, fault: str
) -> None:
    """Guards against a quota that depends on a single host.

    Three of four owners grant 0.84 of the rate. The demand is 0.75 of it, on
    all hosts but the one that fails.
    """
    workspace = workspaces.Workspace('kami', 0, 40, 40)
    fleet = quota_network.Fleet(hosts, 1, [workspace])
    failed = fleet.hosts[fleet.owners('kami')[1]]
    getattr(fleet, fault)(failed)
    members = [h for h in fleet.hosts.values() if h is not failed]
    rng = random.Random(2)
    requests = 0
    due_s = begin_s = fleet.now_s
    while fleet.now_s - begin_s < _DURATION_S:
        fleet.advance(quota_network.STEP_S)
        while due_s <= fleet.now_s:
            due_s += rng.expovariate(0.75 * workspace.rate_per_s)
            requests += 1
            fleet.request(rng.choice(members), workspace.name)
    share = len(fleet.admitted['kami']) / requests
    print(f'{hosts} hosts, {fault}: {share:.3f} served')
    assert share >= _MIN_SHARE
