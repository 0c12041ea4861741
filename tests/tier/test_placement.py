"""Tests of the placement policies."""

import math
import random

import attrs
import pytest

from corianderport_tier.process import cost_estimates
from corianderport_tier.process import placement
from corianderport_tier.process import searcher_state
from corianderport_tier.process import stated_availability

from . import entries
from . import placement_simulation

_OWN = 'dc-a'


@attrs.define
class _FormerRule:
    """The cost as it was computed before there were policies.

    Copied from ``SearcherState`` of commit 48fc52c with its constants.
    """

    data_centre: str
    half_life_s: float
    in_flight: int = 0
    relative: float = 1.0
    at_s: float = float('-inf')
    failure_rate: float = 0.0
    pending: dict[int, tuple[float, float]] = attrs.Factory(dict)

    def decayed(self, now_s: float) -> float:
        age_s = now_s - self.at_s
        return 1.0 + (self.relative - 1.0) * math.exp2(
            -age_s / self.half_life_s
        )

    def overdue(self, now_s: float) -> float:
        worst = 0.0
        for started_s, median_s in self.pending.values():
            if median_s > 0:
                worst = max(worst, (now_s - started_s) / median_s)
        return worst if worst >= 2.0 else 0.0

    def cost(self, now_s: float) -> float:
        relative = max(self.decayed(now_s), self.overdue(now_s))
        cost = (self.in_flight + 1) * relative
        cost *= 1 + 8.0 * self.failure_rate
        if self.data_centre != _OWN:
            cost *= 1.6
        return cost

    def finish(
        self, key: int, result: searcher_state.SendResult, now_s: float
    ) -> None:
        self.in_flight -= 1
        self.pending.pop(key, None)
        if result.elapsed_s is not None and result.median_s > 0:
            relative = self.decayed(now_s)
            ratio = min(result.elapsed_s / result.median_s, 40.0)
            weight = 0.5 if ratio > relative else 0.2
            self.relative = relative + weight * (ratio - relative)
            self.at_s = now_s
        if result.failed or result.full:
            self.failure_rate += 0.2 * (1 - self.failure_rate)
        if not result.failed and result.answered:
            self.failure_rate -= 0.2 * self.failure_rate


def _random_result(rng: random.Random) -> searcher_state.SendResult:
    elapsed_s = rng.choice([None, rng.expovariate(20.0)])
    return searcher_state.SendResult(
        failed=rng.random() < 0.2,
        answered=rng.random() < 0.6,
        unreachable=rng.random() < 0.1,
        full=rng.random() < 0.1,
        elapsed_s=elapsed_s,
        median_s=rng.choice([0.0, 0.01, 0.03]),
    )


def _state(
    data_centre: str, half_life_s: float
) -> searcher_state.SearcherState:
    registration = entries.registration('s1', data_centre=data_centre)
    state = searcher_state.SearcherState(
        registration,
        placement_simulation.Pool(),
        stated_availability.StatedAvailability(),
    )
    state.set_registration(registration, _OWN, 6)
    state.latency_half_life_s = half_life_s
    return state


def test_least_loaded_costs_what_it_cost_before() -> None:
    """Guards against a deployment whose choices change with the policies.

    The costs are compared bit for bit, on random histories.
    """
    policy = placement.policy('least-loaded')
    request = entries.request_class()
    for seed in range(60):
        rng = random.Random(seed)
        data_centre = rng.choice(['dc-a', 'dc-b'])
        half_life_s = rng.choice([1.5, 7.3])
        former = _FormerRule(data_centre, half_life_s)
        state = _state(data_centre, half_life_s)
        now_s = 1_000.0
        for key in range(120):
            now_s += rng.expovariate(30.0)
            if former.pending and rng.random() < 0.5:
                ended = rng.choice(sorted(former.pending))
                result = _random_result(rng)
                state.finish(ended, result, now_s)
                former.finish(ended, result, now_s)
            else:
                median_s = rng.choice([0.0, 0.01, 0.03])
                state.start(key, now_s, median_s, rng.expovariate(10.0))
                former.in_flight += 1
                former.pending[key] = (now_s, median_s)
            assert policy.cost(state, request, now_s) == former.cost(now_s)


@attrs.define
class _Searcher:
    """Searcher with fixed properties."""

    work_s: float = 0.0
    slots: float = 1.0
    separation: float = 1.0
    relative: float = 1.0
    in_flight: int = 0
    failure_factor: float = 1.0
    distance_factor: float = 1.0

    def relative_latency(self, now_s: float) -> float:
        return self.relative

    def outstanding_s(self, now_s: float) -> float:
        return self.work_s


def test_expected_finish_is_the_outstanding_work_and_the_own_cost() -> None:
    policy = placement.policy('expected-finish')
    request = entries.request_class(expected_s=0.01)
    searcher = _Searcher(
        work_s=0.2,
        slots=4.0,
        relative=2.0,
        failure_factor=1.5,
        distance_factor=1.6,
    )
    cost = policy.cost(searcher, request, 0.0)
    assert cost == pytest.approx((0.2 / 4 + 0.01) * 2 * 1.5 * 1.6)


def test_expensive_and_cheap_requests_prefer_different_searchers() -> None:
    """Guards against mixing costs where a host knows nothing of the others.

    The order of the searchers counts only for requests whose cost differs
    from the mean.
    """
    policy = placement.policy('expected-finish')
    cheap, usual, expensive = (
        entries.request_class(expected_s=s) for s in (0.01, 0.05, 0.2)
    )
    searchers = _Searcher(separation=0.7), _Searcher(separation=1.4)

    def costs(request: cost_estimates.RequestClass) -> tuple[float, ...]:
        return tuple(policy.cost(s, request, 0.0) for s in searchers)

    # Without any request before, there is no mean to differ from.
    first, last = costs(expensive)
    assert first == last
    policy.record(usual)
    first, last = costs(expensive)
    assert first < last
    first, last = costs(cheap)
    assert first > last
    first, last = costs(usual)
    assert first == last


def test_outstanding_work_is_that_of_all_hosts() -> None:
    """Guards against leaving out the work of other hosts."""
    state = _state('dc-a', 1.5)
    state.slots = 2.0
    state.start(1, 0.0, 0.01, 0.01)
    state.start(2, 0.0, 0.05, 0.05)
    assert state.outstanding_s(0.0) == pytest.approx(0.06)
    # The reply to the second request took 8 ms longer than its cost and the
    # half of the first request that each of the two slots had to do.
    result = searcher_state.SendResult(
        False, answered=True, elapsed_s=0.063, median_s=0.05
    )
    state.finish(2, result, 0.063)
    others_s = 0.2 * 0.008 * 2
    assert state.outstanding_s(0.063) == pytest.approx(0.01 + others_s)
    state.finish(1, searcher_state.SendResult(False), 0.063)
    assert state.outstanding_s(1.563) == pytest.approx(others_s / 2)


def test_excess_of_one_reply_is_bounded() -> None:
    """Guards against one request of unexpected cost that moves all others."""
    state = _state('dc-a', 1.5)
    state.start(1, 0.0, 0.01, 0.01)
    result = searcher_state.SendResult(
        False, answered=True, elapsed_s=5.0, median_s=0.01
    )
    state.finish(1, result, 5.0)
    assert state.outstanding_s(5.0) == pytest.approx(0.2 * 0.01)


@pytest.mark.parametrize(
    ('setting', 'mixed_ranks', 'expected'),
    [
        ('auto', False, 'least-loaded'),
        ('auto', True, 'expected-finish'),
        ('least-loaded', True, 'least-loaded'),
        ('expected-finish', False, 'expected-finish'),
    ],
)
def test_policy_of_a_service(
    setting: str, mixed_ranks: bool, expected: str
) -> None:
    """Guards against a changed policy where nothing asks for one."""
    name = placement.PlacementSetting(setting).policy_name(mixed_ranks)
    assert placement.policy(name).name == expected


def test_services_with_mixed_ranks() -> None:
    """Guards against expected-finish for routes of one priority."""
    routing = entries.routing(
        1,
        entries.route(('a', 'b'), name='urgent', rank=0),
        entries.route(('b', 'c'), name='usual', rank=1),
        entries.route(('c',), name='late', rank=2),
        entries.route(('a',), name='urgent too', rank=0),
    )
    assert routing.mixed_rank_services == {'b'}


def test_result_of_an_unknown_send_adds_no_work() -> None:
    """Guards against an error on the task that reports a result twice."""
    state = _state('dc-a', 1.5)
    state.start(1, 0.0, 0.01, 0.01)
    state.finish(1, searcher_state.SendResult(False), 0.02)
    state.finish(1, searcher_state.SendResult(False), 0.02)
    assert state.outstanding_s(0.02) == 0.0
