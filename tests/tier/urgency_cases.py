"""Cases of requests that compete for too few connections, and their table.

``python -m tests.tier.urgency_cases`` from the root of the repository prints
the table of docs/measurements.md.
"""

import statistics
import sys

import attrs

from . import entries
from . import placement_simulation

__all__ = ['CASES', 'Result', 'run']

Case = placement_simulation.Case
Kind = placement_simulation.Kind

_SEEDS = 5
_SECONDS = 60.0
# One connection to each searcher for each of the six hosts. A searcher runs
# four requests at once, so that requests wait at the hosts.
_CONNECTIONS = 8


def _kind(
    name: str, rank: int, mean_s: float, goal_s: float, load: float
) -> Kind:
    return Kind(
        name,
        entries.route(name=name, rank=rank, goal_s=goal_s, timeout_s=1.5),
        f'/find/{name}',
        lambda rng, passed: mean_s * rng.uniform(0.8, 1.2),
        mean_s,
        load,
    )


def _case(*loads: float, ranks: tuple[int, int, int] = (0, 1, 2)) -> Case:
    return Case(
        (
            _kind('urgent', ranks[0], 0.01, 0.062, loads[0]),
            _kind('census', ranks[1], 0.03, 0.235, loads[1]),
            _kind('tolerant', ranks[2], 0.175, 1.249, loads[2]),
        ),
        connections=_CONNECTIONS,
        by_urgency=len(set(ranks)) > 1,
    )


CASES: dict[str, Case] = {
    'load 0.5': _case(0.1, 0.2, 0.2),
    'load 0.7': _case(0.1, 0.2, 0.4),
    'load 0.9': _case(0.2, 0.3, 0.4),
    'load 0.9, mostly urgent': _case(0.7, 0.1, 0.1),
    'load 1.1': _case(0.2, 0.4, 0.5),
}


@attrs.frozen
class Result:
    """Latencies of one kind of request.

    ``in_time`` is the part that was answered by the goal, ``not_sent`` the
    part that was given up at the timeout, and ``wait_s`` the longest wait for
    a connection.
    """

    p50_s: float
    p99_s: float
    in_time: float
    not_sent: float
    wait_s: float


def run(
    case: Case, by_urgency: bool, seed: int, seconds: float = _SECONDS
) -> dict[str, Result]:
    """Return the results of one run by kind of request."""
    simulation = placement_simulation.Simulation(
        attrs.evolve(case, by_urgency=by_urgency), 'least-loaded', seed
    )
    found = simulation.run(seconds)
    results = {}
    for kind in case.kinds:
        ordered = sorted(found[kind.name])
        goal_s = kind.route.goal_s
        requests = len(ordered) + simulation.not_sent[kind.name]
        results[kind.name] = Result(
            ordered[len(ordered) // 2],
            ordered[int(0.99 * len(ordered))],
            sum(t <= goal_s for t in ordered) / requests,
            simulation.not_sent[kind.name] / requests,
            simulation.longest_wait_s[kind.name],
        )
    return results


def _cell(runs: list[Result]) -> str:
    p50_ms, p99_ms, in_time, not_sent, wait_ms = (
        statistics.median(getattr(r, field) for r in runs) * scale
        for field, scale in (
            ('p50_s', 1e3),
            ('p99_s', 1e3),
            ('in_time', 1.0),
            ('not_sent', 1.0),
            ('wait_s', 1e3),
        )
    )
    return (
        f'{p50_ms:.0f} / {p99_ms:.0f} / {in_time:.3f} / {not_sent:.3f} / '
        f'{wait_ms:.0f}'
    )


def main() -> None:
    """Print the table; the latencies and waits are in milliseconds."""
    lines = ['| case | requests | order of arrival | order by urgency |']
    lines.append('| --- | --- | --- | --- |')
    for name, case in CASES.items():
        by_order = [
            [run(case, by_urgency, seed) for seed in range(_SEEDS)]
            for by_urgency in (False, True)
        ]
        for kind in case.kinds:
            cells = [_cell([r[kind.name] for r in runs]) for runs in by_order]
            lines.append(f'| {name} | {kind.name} | {" | ".join(cells)} |')
    sys.stdout.write('\n'.join(lines) + '\n')


if __name__ == '__main__':
    main()
