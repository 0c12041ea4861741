"""The quota of a workspace holds when all hosts restart repeatedly."""

import attrs
import hypothesis
from hypothesis import strategies

from corianderport_tier.version import workspaces

from . import restart_network

_STEP_S = 0.05
_LOAD = 4.0


@attrs.frozen
class _PowerLoss:
    """All hosts end and come back over ``spread_s`` after ``down_s``.

    The seeds, or one host in five, come back ``late_s`` later. ``off`` hosts
    don't refuse connections meanwhile.
    """

    down_s: float
    spread_s: float
    late: str
    late_s: float
    off: bool
    after_s: float


@attrs.frozen
class _Fault:
    """``picks`` choose the hosts that are cut off, frozen or restarted."""

    kind: str
    at_s: float
    for_s: float
    picks: int


@attrs.frozen
class _Run:
    rate: float
    burst: float
    seed: int
    skew_s: float
    seeds: tuple[int, ...]
    losses: tuple[_PowerLoss, ...]
    faults: tuple[_Fault, ...]


def _runs() -> strategies.SearchStrategy[_Run]:
    loss = strategies.builds(
        _PowerLoss,
        down_s=strategies.sampled_from([0.1, 1.0, 2.0]),
        spread_s=strategies.sampled_from([0.0, 1.0, 3.0]),
        late=strategies.sampled_from(['none', 'some', 'seeds']),
        late_s=strategies.sampled_from([0.5, 2.0, 4.0, 8.0]),
        off=strategies.booleans(),
        after_s=strategies.sampled_from([0.2, 1.0, 3.0, 9.0]),
    )
    fault = strategies.builds(
        _Fault,
        kind=strategies.sampled_from(['cut', 'freeze', 'restart']),
        at_s=strategies.sampled_from([0.5, 2.0, 5.0, 9.0, 14.0]),
        for_s=strategies.sampled_from([0.5, 2.0, 6.0, 10.0]),
        picks=strategies.integers(0, 2**32),
    )
    return strategies.builds(
        _Run,
        rate=strategies.sampled_from([0.5, 11.0, 60.0]),
        burst=strategies.sampled_from([0.0, 11.0, 30.0]),
        seed=strategies.integers(0, 2**32),
        skew_s=strategies.sampled_from([0.02, 0.4]),
        seeds=strategies.sampled_from([(0, 1, 2), (0,), (0, 1, 2, 3, 4)]),
        losses=strategies.lists(loss, min_size=1, max_size=4).map(tuple),
        faults=strategies.lists(fault, max_size=3).map(tuple),
    )


class _Simulation:
    """Applies the faults and the demand of a run to hosts."""

    def __init__(self, hosts: int, run: _Run) -> None:
        self._run = run
        self.workspace = workspaces.Workspace('kami', 0, run.rate, run.burst)
        self.network = restart_network.Network(
            hosts, run.seed, [self.workspace], run.seeds, run.skew_s
        )
        self._rng = self.network.rng
        self._hosts = list(self.network.hosts.values())
        self.network.use_up(self.workspace)

    def execute(self, duration_s: float) -> None:
        network = self.network
        due_s = 0.0
        for loss in self._run.losses:
            network.at(due_s, lambda loss=loss: self._lose_power(loss))
            due_s += loss.down_s + loss.after_s
        for fault in self._run.faults:
            network.at(fault.at_s, lambda fault=fault: self._begin(fault))
            end_s = fault.at_s + fault.for_s
            network.at(end_s, lambda fault=fault: self._end(fault))
        begin_s = network.now_s
        due_s = begin_s
        while network.now_s - begin_s < duration_s:
            network.advance(_STEP_S)
            self._check_known()
            while due_s <= network.now_s:
                due_s += self._rng.expovariate(_LOAD * self._run.rate)
                host = self._rng.choice(self._hosts)
                network.request(host, self.workspace.name)

    def _check_known(self) -> None:
        """Check that hosts that rely on being known know each other."""
        names = {
            host.name: host.process.fleet.hosts.names
            for host in self._hosts
            if host.process is not None and host.process.fleet.confirmed
        }
        for known in names.values():
            assert names.keys() <= set(known)

    def _lose_power(self, loss: _PowerLoss) -> None:
        for host in self._hosts:
            self.network.stop(host, loss.off)
            delay_s = loss.down_s + self._rng.uniform(0, loss.spread_s)
            some = self._rng.random() < 0.2
            seed = host.address in self.network.seeds
            if (loss.late == 'some' and some) or (
                loss.late == 'seeds' and seed
            ):
                delay_s += loss.late_s
            self.network.at(delay_s, lambda host=host: self._start(host))

    def _start(self, host: restart_network.Host) -> None:
        if host.process is None:
            self.network.start(host)

    def _chosen(self, fault: _Fault) -> list[restart_network.Host]:
        return [
            host
            for number, host in enumerate(self._hosts)
            if (fault.picks >> number % 32) & 7 == 0
        ]

    def _begin(self, fault: _Fault) -> None:
        for host in self._chosen(fault):
            if fault.kind == 'cut':
                host.group = 1
            elif fault.kind == 'freeze':
                host.frozen = host.process is not None
            elif host.process is not None and host is not self._hosts[0]:
                self.network.stop(host)
                self.network.at(
                    fault.for_s / 5, lambda host=host: self._start(host)
                )

    def _end(self, fault: _Fault) -> None:
        for host in self._chosen(fault):
            if fault.kind == 'cut':
                host.group = 0
            elif fault.kind == 'freeze' and host.frozen:
                self.network.resume(host)


def _excess(hosts: int, run: _Run, duration_s: float) -> float:
    simulation = _Simulation(hosts, run)
    simulation.execute(duration_s)
    excess = simulation.network.excess(simulation.workspace)
    hypothesis.target(max(excess, -1e6), label='excess')
    return excess


# The seeds come back 12 s after the other hosts, which don't find each other
# before.
_LATE_SEEDS = _Run(
    60.0,
    0.0,
    1,
    0.02,
    (0, 1, 2),
    (_PowerLoss(1.0, 1.0, 'seeds', 12.0, False, 9.0),),
    (),
)


@hypothesis.settings(max_examples=60)
@hypothesis.example(_LATE_SEEDS)
@hypothesis.given(_runs())
def test_no_window_exceeds_the_bound_with_six_hosts(run: _Run) -> None:
    """Guards against more requests than the quota permits in any window.

    All hosts lose power repeatedly; some come back late, are cut off, freeze
    or restart again meanwhile.
    """
    assert _excess(6, run, 20.0) <= 0


@hypothesis.settings(max_examples=8)
@hypothesis.example(_LATE_SEEDS)
@hypothesis.given(_runs())
def test_no_window_exceeds_the_bound_with_40_hosts(run: _Run) -> None:
    """Guards against more requests than the quota permits in any window.

    Heartbeats alone take longer than the hosts wait to tell all of each
    other.
    """
    assert _excess(40, run, 15.0) <= 0
