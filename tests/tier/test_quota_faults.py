"""The quota of a workspace holds through partitions and restarts."""

import math
import random

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from corianderport_tier.process import quota_hosts
from corianderport_tier.version import workspaces

from . import quota_network

_NAME = 'kami'


@attrs.frozen
class _Fault:
    """A fault that begins at ``at_s`` and ends after ``for_s``.

    ``picks`` choose the hosts or the side of each host by index.
    """

    kind: str
    at_s: float
    for_s: float
    picks: int


@attrs.frozen
class _Run:
    """One run; the demand is a multiple of the rate on some of the hosts."""

    rate: float
    burst: float
    load: float
    demand: str
    seed: int
    faults: tuple[_Fault, ...]
    reply_loss: float
    skew_s: float = 0.05


_KINDS = (
    'partition',
    'restart',
    'restart-owners',
    'restart-all',
    'freeze',
    'stop',
    'raise',
    'lower',
    'remove',
)


def _runs(duration_s: float) -> strategies.SearchStrategy[_Run]:
    fault = strategies.builds(
        _Fault,
        kind=strategies.sampled_from(_KINDS),
        at_s=strategies.floats(1, duration_s),
        for_s=strategies.floats(0.1, duration_s),
        picks=strategies.integers(0, 2**32),
    )
    return strategies.builds(
        _Run,
        rate=strategies.sampled_from([0.5, 2.0, 11.0, 60.0]),
        burst=strategies.sampled_from([0.0, 5.0, 11.0, 120.0]),
        load=strategies.sampled_from([0.8, 3.0, 20.0]),
        demand=strategies.sampled_from(['one', 'all', 'moving', 'bursts']),
        seed=strategies.integers(0, 2**32),
        faults=strategies.lists(fault, max_size=5).map(
            lambda faults: tuple(sorted(faults, key=lambda f: f.at_s))
        ),
        reply_loss=strategies.sampled_from([0.0, 0.02]),
        skew_s=strategies.sampled_from([0.05, 100.0]),
    )


class _Simulation:
    """Applies the faults and the demand of a run to a fleet."""

    def __init__(self, hosts: int, run: _Run, duration_s: float) -> None:
        self._run = run
        self._duration_s = duration_s
        self._rng = random.Random(run.seed)
        self._base = workspaces.Workspace(_NAME, 0, run.rate, run.burst)
        self.fleet = quota_network.Fleet(
            hosts, run.seed, [self._base], run.reply_loss, run.skew_s
        )
        self._members = list(self.fleet.hosts.values())
        self._events = []
        for number, fault in enumerate(run.faults):
            self._events.append((fault.at_s, 2 * number, fault, True))
            end_s = fault.at_s + fault.for_s
            self._events.append((end_s, 2 * number + 1, fault, False))
        self._events.sort(key=lambda event: event[:2])

    def execute(self) -> None:
        begin_s = self.fleet.now_s
        due_s = 0.0
        while self.fleet.now_s - begin_s < self._duration_s:
            self.fleet.advance(quota_network.STEP_S)
            at_s = self.fleet.now_s - begin_s
            while self._events and self._events[0][0] <= at_s:
                _, _, fault, begins = self._events.pop(0)
                self._apply(fault, begins)
            if self._run.demand == 'bursts' and int(at_s) % 3:
                due_s = at_s
                continue
            while due_s <= at_s:
                due_s += self._rng.expovariate(self._run.load * self._run.rate)
                self.fleet.request(self._place(at_s), _NAME)

    def _place(self, at_s: float) -> quota_network.Host:
        if self._run.demand == 'one':
            return self._members[0]
        if self._run.demand == 'moving':
            return self._members[int(at_s / 0.7) % len(self._members)]
        return self._rng.choice(self._members)

    def _apply(self, fault: _Fault, begins: bool) -> None:
        rng = random.Random(fault.picks)
        some = [m for m in self._members if rng.random() < 0.2]
        if fault.kind == 'partition':
            sides = [rng.randrange(3) if begins else 0 for _ in self._members]
            self.fleet.partition(sides)
        elif fault.kind == 'freeze':
            for host in some:
                if host.running and host.frozen != begins:
                    (self.fleet.freeze if begins else self.fleet.resume)(host)
        elif fault.kind in ('raise', 'lower', 'remove'):
            self.fleet.publish(self._version(fault.kind if begins else ''))
        else:
            self._restart(fault, begins, some)

    def _restart(
        self, fault: _Fault, begins: bool, some: list[quota_network.Host]
    ) -> None:
        if fault.kind == 'restart-all':
            some = self._members
        elif fault.kind == 'restart-owners':
            names = self.fleet.owners(_NAME)
            some = [self.fleet.hosts[name] for name in names]
        for host in some:
            if host is self.fleet.seed and fault.kind != 'restart-all':
                continue
            if begins and host.running:
                self.fleet.stop(host)
            if not begins and not host.running:
                self.fleet.restart(host)
            elif begins and fault.kind == 'restart':
                self.fleet.restart(host)

    def _version(self, kind: str) -> list[workspaces.Workspace]:
        factor = {'raise': 4.0, 'lower': 0.25}.get(kind, 1.0)
        if kind == 'remove':
            return []
        return [
            attrs.evolve(
                self._base,
                rate_per_s=factor * self._run.rate,
                burst=factor * self._run.burst,
            )
        ]


def _excess(hosts: int, run: _Run, duration_s: float) -> float:
    simulation = _Simulation(hosts, run, duration_s)
    simulation.execute()
    return quota_network.excess(simulation.fleet, _NAME)


@hypothesis.given(_runs(40.0))
def test_no_window_exceeds_the_bound_with_six_hosts(run: _Run) -> None:
    """Guards against more requests than the quota permits in any window.

    The hosts are partitioned, restarted and frozen at random, their clocks
    differ, replies are lost, and the limits change.
    """
    excess = _excess(6, run, 40.0)
    hypothesis.target(max(excess, -1e6), label='excess')
    assert excess <= 0


@hypothesis.settings(max_examples=20)
@hypothesis.given(_runs(30.0))
def test_no_window_exceeds_the_bound_with_80_hosts(run: _Run) -> None:
    """Guards against more requests than the quota permits in any window.

    News takes longer than most faults last to reach all of 80 hosts.
    """
    excess = _excess(80, run, 30.0)
    hypothesis.target(max(excess, -1e6), label='excess')
    assert excess <= 0


@pytest.mark.parametrize('hosts', [6, 80])
@pytest.mark.parametrize('demand', ['one', 'all'])
def test_long_partition_keeps_the_bound(hosts: int, demand: str) -> None:
    """Guards against both sides of a partition granting the whole quota.

    After two minutes each side forgets the hosts of the other one and takes
    their places as owners; afterwards the partition heals.
    """
    fault = _Fault('partition', 2.0, 160.0, 7)
    run = _Run(60.0, 60.0, 4.0, demand, 3, (fault,), 0.0)
    assert _excess(hosts, run, 200.0) <= 0


@pytest.mark.parametrize('hosts', [6, 80])
def test_owners_that_restart_in_turn_keep_the_bound(hosts: int) -> None:
    """Guards against a saved burst at each of several changes of owners."""
    faults = tuple(
        _Fault('restart-owners', 2.0 + 6 * n, 1.5, 0) for n in range(6)
    )
    run = _Run(11.0, 120.0, 20.0, 'all', 4, faults, 0.0)
    assert _excess(hosts, run, 45.0) <= 0


@pytest.mark.parametrize('hosts', [6, 36, 80])
def test_quota_is_served_soon_after_all_hosts_have_restarted(
    hosts: int,
) -> None:
    """Guards against seconds of refusals after a loss of power."""
    fault = _Fault('restart-all', 5.0, 1.0, 0)
    run = _Run(40.0, 40.0, 2.0, 'all', 5, (fault,), 0.0)
    simulation = _Simulation(hosts, run, 20.0)
    begin_s = simulation.fleet.now_s
    simulation.execute()
    after_s = [
        at_s - begin_s - 6.0
        for at_s in simulation.fleet.admitted[_NAME]
        if at_s - begin_s > 6.0
    ]
    first_s, fortieth_s = after_s[0], after_s[40]
    print(f'{hosts} hosts: first after {first_s:.2f}, 40th {fortieth_s:.2f} s')
    assert fortieth_s < quota_hosts.YOUNG_S
    assert quota_network.excess(simulation.fleet, _NAME) <= 0


def test_measure_finds_an_excess() -> None:
    """Guards against a check that no run can fail."""
    workspace = workspaces.Workspace(_NAME, 0, 10, 10)
    fleet = quota_network.Fleet(6, 1, [workspace])
    fleet.admitted[_NAME] = [fleet.now_s + n / 20 for n in range(96)]
    bound = (10 * 5 + 10) * 1.25 + 20
    assert math.isclose(quota_network.excess(fleet, _NAME), 96 - bound)
