"""What callers get with each placement policy, on simulated time.

The seeds are fixed, so that the results are the same in every run. The table
of docs/measurements.md has more and longer runs.
"""

import functools

import pytest

from corianderport_tier.process import cost_estimates
from corianderport_tier.process import placement

from . import placement_cases

_REQUESTS = 8_000
_SEED = 3


class _LatencyAlone(placement.LeastLoaded):
    """Rates by the relative latency and ignores the requests in flight."""

    name = 'latency-alone'

    def cost(
        self,
        searcher: placement.Searcher,
        request: cost_estimates.RequestClass,
        now_s: float,
    ) -> float:
        return (
            searcher.relative_latency(now_s)
            * searcher.failure_factor
            * searcher.distance_factor
        )


@functools.cache
def _run(case: str, policy: str) -> dict[str, placement_cases.Summary]:
    return placement_cases.run(
        placement_cases.CASES[case], policy, _SEED, _REQUESTS
    )


def _both(
    case: str, kind: str = 'cheap'
) -> tuple[placement_cases.Summary, placement_cases.Summary]:
    former, new = (_run(case, p)[kind] for p in placement_cases.POLICIES)
    return former, new


@pytest.mark.parametrize(
    ('case', 'kind'),
    [
        ('equal costs, 6 hosts', 'cheap'),
        ('equal costs, 76 hosts', 'cheap'),
        ('cheap alone, 6 hosts', 'cheap'),
        ('cheap alone, 76 hosts', 'cheap'),
        ('heavy tail in one class', 'any'),
        ('one slow searcher, equal costs', 'cheap'),
    ],
)
def test_equal_costs_are_served_as_before(case: str, kind: str) -> None:
    """Guards against a policy that costs something where it can't help."""
    former, new = _both(case, kind)
    assert new.mean_s <= 1.03 * former.mean_s
    assert new.p50_s <= 1.03 * former.p50_s


@pytest.mark.parametrize(
    'case',
    [
        '1:10, load 0.5, 6 hosts',
        '1:10, load 0.5, 76 hosts',
        '1:10, load 0.7, 6 hosts',
        '1:10, load 0.7, 76 hosts',
        '1:10 by path of one route',
        'drift from 1:1 to 1:10',
        '1:3:17, load 0.6, 76 hosts',
    ],
)
def test_cheap_requests_wait_less_for_expensive_ones(case: str) -> None:
    """Guards against cheap requests that are sent behind expensive ones."""
    former, new = _both(case)
    assert new.p99_s < 0.9 * former.p99_s
    assert new.mean_s < former.mean_s


def test_slow_searcher_gets_few_of_the_expensive_requests() -> None:
    """Guards against an order of searchers that outweighs their speed."""
    former, new = _both('one slow searcher, 1:10', 'expensive')
    assert new.mean_s < 1.1 * former.mean_s
    assert _both('one slow searcher, 1:10')[1].mean_s < 1.1 * (
        _both('one slow searcher, 1:10')[0].mean_s
    )


@pytest.mark.parametrize(
    'case', ['1:10, swapped estimates', '1:10, random estimates']
)
def test_false_estimates_cost_no_more_than_latency_alone(
    case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a policy that relies on its estimates."""
    monkeypatch.setitem(placement._POLICIES, _LatencyAlone.name, _LatencyAlone)
    alone = _run(case, _LatencyAlone.name)
    new = _run(case, 'expected-finish')
    for kind, summary in new.items():
        assert summary.mean_s <= alone[kind].mean_s
        assert summary.p99_s <= alone[kind].p99_s
