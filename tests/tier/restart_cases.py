"""Restarts of all hosts, and the share of requests served afterwards."""

import attrs

from corianderport_tier.version import workspaces

from . import restart_network

_STEP_S = 0.02
PROBES = tuple(workspaces.Workspace(f'p{n}', 0, 40, 40) for n in range(12))


@attrs.frozen
class Case:
    """Hosts that lose power and come back over ``spread_s``.

    ``late`` hosts come back ``late_s`` after that, seeds first if
    ``late_seeds``. ``off`` hosts don't refuse connections until they are
    back. ``slow_s`` is the time for which the links of one data centre are
    slow after the first host is back.
    """

    name: str
    hosts: int = 80
    spread_s: float = 3.0
    store_s: float = 0.0
    late: int = 0
    late_s: float = 4.0
    late_seeds: bool = False
    off: bool = True
    slow_s: float = 0.0
    load: float = 0.9
    seeds: tuple[int, ...] = (0, 1, 2)
    duration_s: float = 12.0


CASES = (
    Case('0 to 3 s'),
    Case('0 to 3 s, refused', off=False),
    Case('at once', spread_s=0.1),
    Case('store 2 s later', store_s=2.0),
    Case('some 4 s later', late=8),
    Case('seeds 4 s later, refused', late=3, late_seeds=True, off=False),
    Case('slow links', slow_s=6.0),
    Case('6 hosts', hosts=6),
    Case('36 hosts', hosts=36),
    Case('all hosts are seeds', seeds=tuple(range(80))),
)


@attrs.define
class Result:
    """What a run gave.

    ``parts`` has the largest and the mean part at several times. ``shares``
    are the shares of requests served within 2, 4 and 8 s.
    """

    shares: tuple[float, ...]
    worst_2s: float
    excess: float
    parts: list[tuple[float, float, float]]
    exchanges: int
    # The rank, the delay and the time of each refusal with a retry delay.
    delays: list[tuple[int, float, float]]

    @property
    def largest_part(self) -> float:
        """Largest sum of the parts of a workspace that hosts grant."""
        return max(most for _, most, _ in self.parts)

    @property
    def complete_s(self) -> float:
        """Time from which 0.95 of the parts are granted."""
        return next((at for at, _, mean in self.parts if mean >= 0.95), 99.0)


def workspaces_of_fleet() -> tuple[workspaces.Workspace, ...]:
    """Return small workspaces and a large one."""
    small = [workspaces.Workspace(f'w{n}', n % 3, 11, 11) for n in range(6)]
    return (*small, workspaces.Workspace('large', 0, 120, 60))


def run(case: Case, seed: int = 1) -> Result:
    """Run a case from the time at which the first host is back."""
    used = workspaces_of_fleet()
    network = restart_network.Network(
        case.hosts, seed, (*used, *PROBES), case.seeds
    )
    rng = network.rng
    for workspace in used:
        network.use_up(workspace)
    network.advance(0.5)
    begin_s = network.now_s
    network.store_s = begin_s + case.store_s
    members = list(network.hosts.values())
    _start(network, case, members)
    due = {w.name: 0.0 for w in used}
    parts = []
    probe_s = 0.0
    while network.now_s - begin_s < case.duration_s:
        network.advance(_STEP_S)
        at_s = network.now_s - begin_s
        for workspace in used:
            while due[workspace.name] <= at_s:
                due[workspace.name] += rng.expovariate(
                    case.load * workspace.rate_per_s
                )
                network.request(rng.choice(members), workspace.name)
        if at_s >= probe_s:
            probe_s += 0.25
            sums = network.parts(w.name for w in PROBES)
            mean = sum(sums) / len(sums)
            parts.append((round(at_s, 2), max(sums), mean))
    shares = tuple(
        network.served_share(begin_s, begin_s + s) for s in (2.0, 4.0, 8.0)
    )
    windows = [
        network.served_share(begin_s + n / 2, begin_s + n / 2 + 2.0)
        for n in range(int(2 * case.duration_s) - 4)
        if any(
            begin_s + n / 2 < t <= begin_s + n / 2 + 2.0
            for t in network.allowed['large']
        )
    ]
    excess = max(network.excess(w) for w in used)
    ranks = {w.name: w.rank for w in used}
    delays = [
        (ranks[name], getattr(error, 'retry_after_s', 0.0), at_s - begin_s)
        for name, at_s, error in network.refusals
    ]
    return Result(
        shares, min(windows), excess, parts, network.exchanges, delays
    )


def _start(
    network: restart_network.Network,
    case: Case,
    members: list[restart_network.Host],
) -> None:
    late = members[: case.late] if case.late_seeds else []
    if not case.late_seeds and case.late:
        late = members[-case.late :]
    for number, host in enumerate(members):
        host.off = case.off
        if case.slow_s and host.data_centre == 'dc-1':
            host.slow_until_s = network.now_s + case.slow_s
        at_s = network.rng.uniform(0, case.spread_s)
        if number == len(members) // 2:
            at_s = 0.0
        if host in late:
            at_s = case.spread_s + case.late_s
        network.at(at_s, lambda host=host: network.start(host))


def table(seeds: tuple[int, ...] = (1, 2)) -> str:
    """Return a line for each case."""
    lines = [
        'case (seed) | 2 s | 4 s | 8 s | worst 2 s | largest part | '
        'complete after s | exchanges'
    ]
    for case in CASES:
        for seed in seeds:
            r = run(case, seed)
            shares = ' | '.join(f'{share:.2f}' for share in r.shares)
            lines.append(
                f'{case.name} ({seed}) | {shares} | {r.worst_2s:.2f} | '
                f'{r.largest_part:.2f} | {r.complete_s:.2f} | '
                f'{r.exchanges}'
            )
    return '\n'.join(lines)


if __name__ == '__main__':
    print(table())
