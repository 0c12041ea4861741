"""Cases of the placement simulation, and the table of their results.

``python -m tests.tier.placement_cases`` from the root of the repository
prints the table of docs/measurements.md.
"""

import collections.abc
import concurrent.futures
import random
import statistics
import sys
import typing

import attrs

from . import entries
from . import placement_simulation

Kind = placement_simulation.Kind
Case = placement_simulation.Case

_SLOTS = 12
_REQUESTS = 15_000
_SEEDS = 5
_PROCESSES = 4
_TAIL_MEAN_S = 0.0142
POLICIES = ('least-loaded', 'expected-finish')


def _near(mean_s: float) -> placement_simulation.Work:
    return lambda rng, passed: mean_s * rng.uniform(0.8, 1.2)


def _tail(rng: random.Random, passed: float) -> float:
    """Return a cost whose largest values are a hundred times the median."""
    return min(0.5, 0.004 * rng.paretovariate(1.3))


def _drift(rng: random.Random, passed: float) -> float:
    """Return a cost that grows tenfold in the middle of the run."""
    return (0.01 if passed < 0.5 else 0.1) * rng.uniform(0.8, 1.2)


def _kind(
    name: str, mean_s: float, load: float, rank: int, route: str = ''
) -> Kind:
    return Kind(
        name,
        entries.route(
            name=route or name, rank=rank, goal_s=6 * mean_s, timeout_s=1.5
        ),
        f'/find/{name}',
        _near(mean_s),
        mean_s,
        load,
    )


def _cheap(load: float, route: str = '') -> Kind:
    return _kind('cheap', 0.01, load, 0, route)


def _expensive(load: float, route: str = '') -> Kind:
    return _kind('expensive', 0.1, load, 1, route)


def _swapped(kind: Kind, rng: random.Random) -> float:
    return 0.1 if kind.name == 'cheap' else 0.01


def _random(kind: Kind, rng: random.Random) -> float:
    return 0.01 * 10 ** rng.uniform(-1.0, 1.0)


_BOTH = (_cheap(0.35), _expensive(0.35))
_TAIL = attrs.evolve(
    _kind('any', 0.01, 0.6, 0), work=_tail, mean_s=_TAIL_MEAN_S
)
_DRIFT = attrs.evolve(_expensive(0.25), work=_drift, mean_s=0.055)

CASES: dict[str, Case] = {
    'equal costs, 6 hosts': Case((_cheap(0.7),)),
    'equal costs, 76 hosts': Case((_cheap(0.7),), hosts=76),
    'cheap alone, 6 hosts': Case((_cheap(0.35),)),
    'cheap alone, 76 hosts': Case((_cheap(0.35),), hosts=76),
    '1:10, load 0.5, 6 hosts': Case((_cheap(0.25), _expensive(0.25))),
    '1:10, load 0.5, 76 hosts': Case(
        (_cheap(0.25), _expensive(0.25)), hosts=76
    ),
    '1:10, load 0.7, 6 hosts': Case(_BOTH),
    '1:10, load 0.7, 76 hosts': Case(_BOTH, hosts=76),
    'heavy tail in one class': Case((_TAIL,)),
    '1:10 by path of one route': Case(
        (_cheap(0.35, 'mixed'), _expensive(0.35, 'mixed'))
    ),
    'drift from 1:1 to 1:10': Case((_cheap(0.3), _DRIFT)),
    'one slow searcher, equal costs': Case(
        (_cheap(0.7),), speeds=(0.25, 1.0, 1.0)
    ),
    'one slow searcher, 1:10': Case(
        (_cheap(0.3), _expensive(0.3)), speeds=(0.25, 1.0, 1.0)
    ),
    '1:10, swapped estimates': Case(_BOTH, falsify=_swapped),
    '1:10, random estimates': Case(_BOTH, falsify=_random),
    '1:3:17, load 0.6, 76 hosts': Case(
        (
            _cheap(0.2),
            _kind('census', 0.03, 0.2, 1),
            _kind('expensive', 0.175, 0.2, 2),
        ),
        hosts=76,
    ),
}


@attrs.frozen
class Summary:
    """Latencies of the requests of one kind."""

    mean_s: float
    p50_s: float
    p99_s: float


def run(
    case: Case, policy: str, seed: int, requests: int = _REQUESTS
) -> dict[str, Summary]:
    """Return the results of one run by kind of request."""
    slots = _SLOTS / 3 * sum(case.speeds)
    rate = sum(kind.load * slots / kind.mean_s for kind in case.kinds)
    simulation = placement_simulation.Simulation(case, policy, seed)
    summaries = {}
    for name, latencies_s in simulation.run(requests / rate).items():
        ordered = sorted(latencies_s)
        summaries[name] = Summary(
            statistics.mean(ordered),
            ordered[len(ordered) // 2],
            ordered[int(0.99 * len(ordered))],
        )
    return summaries


def _run_job(job: tuple[str, str, int]) -> dict[str, Summary]:
    name, policy, seed = job
    return run(CASES[name], policy, seed)


def _cell(runs: list[Summary]) -> str:
    figures = (
        statistics.median(getattr(r, field) for r in runs) * 1e3
        for field in ('mean_s', 'p50_s', 'p99_s')
    )
    return ' / '.join(f'{figure:.1f}' for figure in figures)


def write_table(
    cases: collections.abc.Mapping[str, placement_simulation.Case],
    variants: collections.abc.Sequence[str],
    results: collections.abc.Mapping[tuple[str, str, int], typing.Any],
    cell: collections.abc.Callable[[list[typing.Any]], str],
    seeds: int,
) -> None:
    """Write a line for each kind of request of each case.

    :param results: results by kind, for each case, variant and seed.
    :param cell: combines the results of all seeds.
    """
    lines = [f'| case | requests | {" | ".join(variants)} |']
    lines.append(f'| --- | --- |{" --- |" * len(variants)}')
    for name, case in cases.items():
        for kind in case.kinds:
            cells = [
                cell(
                    [
                        results[name, variant, seed][kind.name]
                        for seed in range(seeds)
                    ]
                )
                for variant in variants
            ]
            lines.append(f'| {name} | {kind.name} | {" | ".join(cells)} |')
    sys.stdout.write('\n'.join(lines) + '\n')


def main() -> None:
    """Print the table: mean, median and p99 in ms, medians of the seeds."""
    jobs = [
        (name, policy, seed)
        for name in CASES
        for policy in POLICIES
        for seed in range(_SEEDS)
    ]
    with concurrent.futures.ProcessPoolExecutor(_PROCESSES) as executor:
        results = dict(zip(jobs, executor.map(_run_job, jobs), strict=True))
    write_table(CASES, POLICIES, results, _cell, _SEEDS)


if __name__ == '__main__':
    main()
