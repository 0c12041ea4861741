"""What workspaces get beside one that sends too much, on simulated time.

The seeds are fixed, so that the results are the same in every run.
"""

import functools
import statistics

import pytest

from . import workspace_load

Load = workspace_load.Load
_SEEDS = (3, 4, 5)
_BEGIN_S = 3.0
_END_S = 15.0
_OTHERS = (Load('alpha', 0.15), Load('beta', 0.15))
_QUOTA_LOAD = 0.05
# Twenty times a quota of 0.05 of the slots, which are 1,200 a second.
_HOT = Load('hot', 20 * _QUOTA_LOAD, rate_per_s=60.0, begin_s=_BEGIN_S)
_FLOOD = Load('flood', 3.0, begin_s=_BEGIN_S)
_CALLERS = Load('flood', callers=200, begin_s=_BEGIN_S)


@functools.cache
def _run(
    loads: tuple[Load, ...],
    seed: int,
    hosts: int = 6,
    from_s: float = _BEGIN_S,
) -> dict[str, workspace_load.Result]:
    simulation = workspace_load.Simulation(
        loads, seed, hosts=hosts, warm_up_s=from_s
    )
    return simulation.run(_END_S)


def _worst_ratios(
    loads: tuple[Load, ...], hosts: int = 6, from_s: float = _BEGIN_S
) -> tuple[float, float]:
    """Return the least ratio of served requests, and the mean one of the p99.

    Both compare each other workspace with and without the load.
    """
    served, p99 = [], []
    for seed in _SEEDS:
        calm = _run(_OTHERS, seed, hosts, from_s)
        loaded = _run((*_OTHERS, *loads), seed, hosts, from_s)
        for other in _OTHERS:
            before, after = calm[other.workspace], loaded[other.workspace]
            served.append(after.served / before.served)
            p99.append(after.p99_s / before.p99_s)
    return min(served), statistics.mean(p99)


@pytest.mark.parametrize(
    'loads',
    [
        (_HOT,),
        (_FLOOD,),
        (_CALLERS,),
        (Load('flood', 1.2, begin_s=_BEGIN_S),),
        (_HOT, _FLOOD),
    ],
    ids=['quota-20-times', 'flood', 'callers', 'slight-flood', 'both'],
)
def test_others_are_served_as_without_the_load(
    loads: tuple[Load, ...],
) -> None:
    """Guards against a workspace that fills the searchers' queues.

    The moments in which the load begins are included.
    """
    served, p99 = _worst_ratios(loads)
    assert served >= 1 / 1.1
    assert p99 <= 1.1


def test_flood_gets_what_others_leave() -> None:
    """Guards against a limited workspace that is not served at all."""
    served = _run((*_OTHERS, _FLOOD), 3)['flood'].served
    left = workspace_load.USABLE - sum(load.load for load in _OTHERS)
    assert served >= 0.8 * left / _FLOOD.load


def test_flood_on_a_large_fleet() -> None:
    """Guards against shares that need many requests at each host.

    A host of 76 sees few requests, and notices the flood after a second. The
    figures are those from two seconds after its begin.
    """
    served, p99 = _worst_ratios((_FLOOD,), hosts=76, from_s=_BEGIN_S + 2)
    assert served >= 1 / 1.1
    assert p99 <= 1.1


def test_workspace_alone_is_not_limited() -> None:
    """Guards against slots that stay free while nobody else uses them."""
    simulation = workspace_load.Simulation(
        [Load('alpha', callers=60)], 3, warm_up_s=1.0
    )
    result = simulation.run(6.0)['alpha']
    assert result.served > 0.95
    assert len(result.latencies_s) > 0.9 * 5 * 1_200


def test_ordinary_overload_limits_nobody() -> None:
    """Guards against slots that stay free in an overload of many."""
    loads = [Load(f'w{n}', 0.3) for n in range(4)]
    before, after = (
        workspace_load.Simulation(loads, 3, shared=shared).run(6.0)
        for shared in (False, True)
    )
    for load in loads:
        assert len(after[load.workspace].latencies_s) >= 0.95 * len(
            before[load.workspace].latencies_s
        )


def test_worst_tenth_of_many_workspaces() -> None:
    """Guards against workspaces that get nothing beside a flood."""
    loads = [Load(f'w{n}', 0.008) for n in range(81)]
    results = workspace_load.Simulation(
        [*loads, Load('flood', 3.0)], 3, warm_up_s=3.0
    ).run(12.0)
    served = sorted(results[load.workspace].served for load in loads)
    mean = statistics.mean(result.served for result in results.values())
    assert statistics.mean(served[:8]) >= 0.5 * mean
    assert mean > 0.9
