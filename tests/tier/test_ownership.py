"""One owner at a time sends to a service, whatever fails."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from corianderport_testkit.process import control_group

_NAMES = [f'host-{n}' for n in range(6)]


def _settled() -> control_group.ControlGroup:
    group = control_group.ControlGroup(_NAMES)
    group.hosts['host-0'].store.offer(control_group.build_document(1))
    group.list_hosts()
    group.run(4.0)
    return group


class ControlGroupMachine(stateful.RuleBasedStateMachine):
    """Faults in any order; the invariants hold after each step."""

    def __init__(self) -> None:
        super().__init__()
        self.group = _settled()
        self.version = 1
        self.seen: dict[str, int] = {}
        self.full_s: dict[tuple[str, str], float] = {}

    @stateful.rule(steps=strategies.integers(1, 24))
    def advance(self, steps: int) -> None:
        self._run(steps)

    def _run(self, steps: int) -> None:
        for _ in range(steps):
            self.group.run(0.5)
            self._check_senders()

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def kill(self, name: str) -> None:
        if name in self.group.hosts and len(self.group.hosts) > 2:
            self.group.kill(name)
            self.group.paused.discard(name)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def restart(self, name: str) -> None:
        if name not in self.group.hosts:
            self.group.start(name)
            self.group.list_hosts()

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def pause_or_resume(self, name: str) -> None:
        if name in self.group.hosts:
            self.group.paused ^= {name}
            self._check_senders()

    @stateful.rule(cut=strategies.sets(strategies.sampled_from(_NAMES)))
    def partition(self, cut: set[str]) -> None:
        self.group.partition(cut, set(_NAMES) - cut)

    @stateful.rule(
        service=strategies.sampled_from(control_group.SERVICES),
        owners=strategies.sampled_from([(0,), (1,), (0, 1)]),
        others=strategies.sets(strategies.sampled_from(_NAMES), max_size=2),
        steps=strategies.integers(1, 24),
    )
    def cut_off_owners(
        self,
        service: str,
        owners: tuple[int, ...],
        others: set[str],
        steps: int,
    ) -> None:
        host = next(iter(self.group.hosts.values()))
        present = host.owners.owners(service)
        cut = others | {present[n].name for n in owners if n < len(present)}
        self.group.partition(cut, set(_NAMES) - cut)
        self._run(steps)

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
    def versions_never_go_back(self) -> None:
        for host in self.group.hosts.values():
            before = self.seen.get(host.incarnation, 0)
            assert host.store.version >= before
            self.seen[host.incarnation] = host.store.version

    def _check_senders(self) -> None:
        now_s = self.group.clock.monotonic()
        for service in control_group.SERVICES:
            for name in self.group.full(service):
                identity = self.group.hosts[name].incarnation
                self.full_s[service, identity] = now_s
            running = [
                host
                for (of, host), at_s in self.full_s.items()
                if of == service
                and now_s - at_s < control_group.MAXIMUM_DEADLINE_S
            ]
            assert len(running) <= 1, (service, running)

    def teardown(self) -> None:
        """After the faults end, all agree and each service is served."""
        group = self.group
        group.partition()
        group.paused.clear()
        group.run(30.0)
        newest = max(h.store.version for h in group.hosts.values())
        for host in group.hosts.values():
            assert host.store.version == newest
            live = {m.name for m in host.members.live()}
            assert live == set(group.hosts)
        for service in control_group.SERVICES:
            assert len(group.full(service)) == 1


ControlGroupMachine.TestCase.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=20,
    # Shrinking a failure takes minutes.
    phases=[hypothesis.Phase.generate],
)
TestControlGroup = ControlGroupMachine.TestCase
