"""Tests of the placement policies."""

import math
import random
import typing

import attrs

from corianderport_tier.process import placement
from corianderport_tier.process import searcher_state
from corianderport_tier.process import stated_availability

from . import entries

_OWN = 'dc-a'


class _Pool:
    def submit(self, job: object, reuse: object = None) -> None:
        raise AssertionError('nothing is sent here')

    def limit_connections(self, limit: int) -> None:
        return

    def limit_idle_time(self, idle_s: float) -> None:
        return

    def close(self) -> None:
        return


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
        registration, _Pool(), stated_availability.StatedAvailability()
    )
    state.set_registration(registration, _OWN)
    state.latency_half_life_s = half_life_s
    return state


def test_least_loaded_costs_what_it_cost_before() -> None:
    """Guards against a deployment whose choices change with the policies.

    The costs are compared bit for bit, on random histories.
    """
    policy: typing.Final = placement.policy('least-loaded')
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
                state.start(key, now_s, median_s)
                former.in_flight += 1
                former.pending[key] = (now_s, median_s)
            assert policy.cost(state, now_s) == former.cost(now_s)
