"""Hedges that are charged by their expected cost, and the table of results.

``python -m tests.tier.hedge_charge_cases`` from the root of the repository
prints the table of docs/measurements.md. The product charges each hedge once;
the charge by cost exists only here.
"""

import concurrent.futures
import itertools
import random
import statistics

import attrs

from corianderport_tier.process import fleet_share
from corianderport_tier.process import searcher_state
from corianderport_tier.process import service_searchers

from . import entries
from . import placement_cases
from . import placement_simulation

_SECONDS = 60.0
_SEEDS = 10
_PROCESSES = 3
_PAUSE_S = 0.2
_PAUSE_EVERY_S = 4.5
# As in the product: minimum delay of a hedge in median latencies, and median
# latencies between a hedge and the goal.
_MIN_DELAY_RATIO = 1.3
_GOAL_RESERVE_RATIO = 2.5
_RESERVE = 0.3
# Least ratio of a class's cost to the mean of the service that is charged.
_CHARGED_RATIO = 3.0
# Charged once; by cost, if the budget has as much; by cost, if the budget has
# one send, so that it may be overdrawn.
ONCE, IN_ADVANCE, OVERDRAWN = CHARGES = ('once', 'in advance', 'overdrawn')
_USUAL = placement_simulation.BOUNDS
_TIGHT = attrs.evolve(_USUAL, extra_ratio=0.05, extra_slack=6)
_NOT_FAILED = searcher_state.SendResult(failed=False)

Request = placement_simulation.Request


def _kind(
    name: str, rank: int, mean_s: float, goal_s: float, load: float
) -> placement_simulation.Kind:
    return placement_simulation.Kind(
        name,
        entries.route(name=name, rank=rank, goal_s=goal_s, timeout_s=2.5),
        f'/find/{name}',
        lambda rng, passed: mean_s * rng.uniform(0.8, 1.2),
        mean_s,
        load,
    )


def _case(
    cheap: float,
    expensive: float,
    goal_s: float,
    bounds: fleet_share.FleetBounds = _USUAL,
    hosts: int = 6,
) -> placement_simulation.Case:
    """Return a case; ``goal_s`` is the goal of the expensive requests."""
    return placement_simulation.Case(
        (
            _kind('cheap', 0, 0.01, 0.062, cheap),
            _kind('expensive', 2, 0.1, goal_s, expensive),
        ),
        hosts=hosts,
        bounds=bounds,
    )


_TOLERANT_S, _URGENT_S = 0.7, 0.3
CASES = {
    'load 0.3': _case(0.15, 0.15, _URGENT_S),
    'load 0.5': _case(0.25, 0.25, _URGENT_S),
    'load 0.6': _case(0.3, 0.3, _URGENT_S),
    'load 0.6, tolerant': _case(0.3, 0.3, _TOLERANT_S),
    'load 0.3, tight budget': _case(0.15, 0.15, _URGENT_S, _TIGHT),
    'load 0.5, tight budget': _case(0.25, 0.25, _URGENT_S, _TIGHT),
    'load 0.3, 76 hosts': _case(0.15, 0.15, _URGENT_S, hosts=76),
    'load 0.5, 76 hosts': _case(0.25, 0.25, _URGENT_S, hosts=76),
}


class HedgedSimulation(placement_simulation.Simulation):
    """Searchers pause in turn; late requests are hedged once.

    :param charge: how a hedge of a class is charged whose expected cost is
        several times the mean of the service.
    """

    def __init__(
        self, case: placement_simulation.Case, seed: int, charge: str
    ) -> None:
        super().__init__(case, 'least-loaded', seed)
        self._charge = charge
        rng = random.Random(seed)
        self._phases_s = [rng.uniform(0, _PAUSE_EVERY_S) for _ in case.speeds]
        self._hedged: dict[int, Request] = {}
        self._done: set[int] = set()
        self._mean_s = 0.0
        self._counted = 0
        self.hedges = dict.fromkeys(self.latencies_s, 0)

    def _run_time_s(self, number: int, work_s: float) -> float:
        """Return the time that work takes from now, including pauses."""
        now_s = self._clock.monotonic()
        at_s, left_s = now_s, work_s
        while True:
            in_cycle_s = (at_s + self._phases_s[number]) % _PAUSE_EVERY_S
            if in_cycle_s < _PAUSE_S:
                at_s += _PAUSE_S - in_cycle_s
                in_cycle_s = _PAUSE_S
            until_pause_s = _PAUSE_EVERY_S - in_cycle_s
            if left_s <= until_pause_s:
                return at_s + left_s - now_s
            at_s += until_pause_s
            left_s -= until_pause_s

    def _start(
        self, request: Request, choice: service_searchers.Choice | None
    ) -> None:
        super()._start(request, choice)
        if id(request) in self._hedged:
            return
        self._counted += 1
        cost_s = request.host.request_class(request.kind).expected_s
        self._mean_s += (cost_s - self._mean_s) / min(self._counted, 1_000)
        latency = request.host.latencies[request.kind.route.name]
        spare_s = (
            request.arrived_s
            + request.kind.route.goal_s
            - request.sent_s
            - _GOAL_RESERVE_RATIO * latency.median_s
        )
        delay_s = max(
            latency.hedge_after_s, _MIN_DELAY_RATIO * latency.median_s, spare_s
        )
        self._at(request.sent_s + delay_s, lambda: self._hedge(request))

    def _hedge(self, request: Request) -> None:
        if id(request) in self._done:
            return
        assert request.choice is not None
        host = request.host
        request_class = host.request_class(request.kind)
        choice = host.service.choose(
            (request.choice.state.name,), request_class
        )
        if not isinstance(choice, service_searchers.Choice):
            return
        ratio = request_class.expected_s / self._mean_s
        charge = 1
        if self._charge != ONCE and ratio >= _CHARGED_RATIO:
            charge = int(ratio)
        now_s = self._clock.monotonic()
        slack = (
            host.share.extra_slack * (1 - _RESERVE)
            + host.service._extra._rounding
        )
        budget = host.service._extra._budget
        if self._charge == IN_ADVANCE:
            slack -= charge - 1
        if not budget.may_spend(now_s, slack=slack):
            host.service.finish(choice, _NOT_FAILED)
            return
        for _ in range(charge):
            budget.spend(now_s)
        self.hedges[request.kind.name] += 1
        second = attrs.evolve(request, choice=None)
        self._hedged[id(second)] = request
        self._start(second, choice)

    def _reply(self, request: Request) -> None:
        first = self._hedged.get(id(request), request)
        if id(first) in self._done:
            # The other send has replied.
            assert request.choice is not None
            request.host.service.finish(request.choice, _NOT_FAILED)
            return
        self._done.add(id(first))
        super()._reply(request)


@attrs.frozen
class Result:
    """Latencies of one kind of request and the part that was hedged."""

    p50_s: float
    p99_s: float
    in_time: float
    hedged: float


def run(
    case: placement_simulation.Case,
    charge: str,
    seed: int,
    seconds: float = _SECONDS,
) -> dict[str, Result]:
    """Return the results of one run by kind of request."""
    simulation = HedgedSimulation(case, seed, charge)
    found = simulation.run(seconds)
    results = {}
    for kind in case.kinds:
        ordered = sorted(found[kind.name])
        results[kind.name] = Result(
            ordered[len(ordered) // 2],
            ordered[int(0.99 * len(ordered))],
            sum(t <= kind.route.goal_s for t in ordered) / len(ordered),
            simulation.hedges[kind.name] / len(ordered),
        )
    return results


def _cell(runs: list[Result]) -> str:
    p50_ms, p99_ms, in_time, hedged = (
        statistics.median(getattr(r, field) for r in runs) * scale
        for field, scale in (
            ('p50_s', 1e3),
            ('p99_s', 1e3),
            ('in_time', 1.0),
            ('hedged', 1.0),
        )
    )
    return f'{p50_ms:.0f} / {p99_ms:.0f} / {in_time:.4f} / {hedged:.3f}'


def _run_job(job: tuple[str, str, int]) -> dict[str, Result]:
    name, charge, seed = job
    return run(CASES[name], charge, seed)


def main() -> None:
    """Print the table; the latencies are in milliseconds."""
    jobs = list(itertools.product(CASES, CHARGES, range(_SEEDS)))
    with concurrent.futures.ProcessPoolExecutor(_PROCESSES) as executor:
        results = dict(zip(jobs, executor.map(_run_job, jobs), strict=True))
    placement_cases.write_table(CASES, CHARGES, results, _cell, _SEEDS)


if __name__ == '__main__':
    main()
