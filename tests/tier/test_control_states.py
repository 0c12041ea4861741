"""State tests that hosts agree again after any sequence of faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from corianderport_testkit.process import control_group
from corianderport_tier.version import configuration

_NAMES = [f'host-{n}' for n in range(6)]


def _converged_group() -> control_group.ControlGroup:
    group = control_group.ControlGroup(_NAMES)
    group.hosts['host-0'].store.offer(control_group.build_document(1))
    group.refresh_host_lists()
    group.run(4.0)
    return group


class ControlGroupMachine(stateful.RuleBasedStateMachine):
    """Injects faults in any order and checks invariants after each step.

    Guards against hosts that keep different versions or members after a
    partition, a pause or a restart.
    """

    def __init__(self) -> None:
        super().__init__()
        self.group = _converged_group()
        self.version = 1
        self.last_versions: dict[str, int] = {}

    @stateful.rule(steps=strategies.integers(1, 24))
    def advance(self, steps: int) -> None:
        self._run_steps(steps)

    def _run_steps(self, steps: int) -> None:
        for _ in range(steps):
            self.group.run(0.5)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def kill(self, name: str) -> None:
        if name in self.group.hosts and len(self.group.hosts) > 2:
            self.group.kill(name)
            self.group.paused.discard(name)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def restart(self, name: str) -> None:
        if name not in self.group.hosts:
            self.group.start(name)
            self.group.refresh_host_lists()

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def pause_or_resume(self, name: str) -> None:
        if name in self.group.hosts:
            self.group.paused ^= {name}

    @stateful.rule(cut=strategies.sets(strategies.sampled_from(_NAMES)))
    def partition(self, cut: set[str]) -> None:
        self.group.partition(cut, set(_NAMES) - cut)

    @stateful.rule(
        searcher=strategies.sampled_from(control_group.SEARCHERS),
        others=strategies.sets(strategies.sampled_from(_NAMES), max_size=2),
        steps=strategies.integers(1, 24),
    )
    def cut_off_warming_host(
        self, searcher: configuration.Searcher, others: set[str], steps: int
    ) -> None:
        cut = others | set(self.group.hosts_warming(searcher))
        self.group.partition(cut, set(_NAMES) - cut)
        self._run_steps(steps)

    @stateful.rule(
        name=strategies.sampled_from(_NAMES),
        older=strategies.booleans(),
    )
    def publish(self, name: str, older: bool) -> None:
        host = self.group.hosts.get(name)
        if host is None or name in self.group.paused:
            return
        self.version += not older
        number = max(1, self.version - older)
        out = ((), ('dc-a',), ('dc-b',))[number % 3]
        control_group.offer(host, number, out)

    @stateful.invariant()
    def versions_never_decrease(self) -> None:
        for host in self.group.hosts.values():
            before = self.last_versions.get(host.incarnation, 0)
            assert host.store.version >= before
            self.last_versions[host.incarnation] = host.store.version

    def teardown(self) -> None:
        """Check agreement after the faults have ended.

        All hosts have the newest version and the same live hosts, and
        exactly one host warms up each searcher.
        """
        group = self.group
        group.partition()
        group.paused.clear()
        group.run(30.0)
        newest = max(h.store.version for h in group.hosts.values())
        for host in group.hosts.values():
            assert host.store.version == newest
            live = {m.name for m in host.members.live()}
            assert live == set(group.hosts)
        for searcher in control_group.SEARCHERS:
            assert len(group.hosts_warming(searcher)) == 1


ControlGroupMachine.TestCase.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=20,
    # Shrinking a failure takes minutes.
    phases=[hypothesis.Phase.generate],
)
TestControlGroup = ControlGroupMachine.TestCase
