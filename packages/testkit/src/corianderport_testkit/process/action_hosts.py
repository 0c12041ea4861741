"""corianderport_testkit.process.action_hosts

Hosts in one process, with seeded faults on every link between them.
"""

import collections
import collections.abc
import concurrent.futures
import contextlib
import enum
import functools
import random
import threading
import types
import typing

import attrs

from corianderport_testkit import clock as manual_clock
from corianderport_testkit.version import deployments
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import action_service
from corianderport_tier.process import aggregator
from corianderport_tier.process import configuration_store
from corianderport_tier.process import decision_log
from corianderport_tier.process import entry
from corianderport_tier.process import hand_over
from corianderport_tier.process import handed_over
from corianderport_tier.process import membership
from corianderport_tier.process import owned_services
from corianderport_tier.process import ownership
from corianderport_tier.process import ownership_types
from corianderport_tier.process import peers
from corianderport_tier.process import routing
from corianderport_tier.process import selection
from corianderport_tier.process import shutdown
from corianderport_tier.process import ticket_table
from corianderport_tier.process import tickets
from corianderport_tier.request import actions
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier.version import configuration
from corianderport_wire import faults
from corianderport_wire.version import document

__all__ = ['ActionHost', 'Fault', 'Stage', 'World']

_LIMITS = ticket_table.TicketLimits(
    lifetime_ms=5_000, retention_ms=5_000, unexpired=8
)
_SIGNER = tickets.TicketSigner.from_config('shared key of the tests')

T = typing.TypeVar('T')


class Fault(enum.Enum):
    """What happens to one message."""

    NONE = 'none'
    NO_CONNECTION = 'no connection'
    REFUSED = 'refused'
    PAUSED = 'sender paused before sending'
    CUT_BEFORE = 'cut before it was acted on'
    CUT_AFTER = 'cut after it was acted on'
    LATE_ANSWER = 'answer after the timeout'
    LATE_DELIVERY = 'delivered after the timeout'
    LOST = 'never delivered, connection silent'
    KILLED = 'receiver killed after it acted'


_FAULTS = frozenset(Fault) - {Fault.NONE}
# Faults after which another searcher is tried are drawn more often.
_SEARCHER_FAULTS = (
    *(f for f in Fault if f in _FAULTS - {Fault.KILLED}),
    *(3 * (Fault.NO_CONNECTION, Fault.REFUSED)),
)
_PEER_FAULTS = tuple(f for f in Fault if f in _FAULTS - {Fault.REFUSED})


class Stage(enum.Enum):
    """Points in the sending of an action at which a test may step in."""

    CONNECTED = 'connected, nothing sent'
    RUNNING = 'running at the searcher'


class World:
    """Hosts, searchers and the links between them.

    ``on_stage`` is called by the task that sends an action; ``lease`` is
    what every host may send.
    """

    def __init__(
        self,
        seed: int,
        fault_rate: float,
        hosts: collections.abc.Iterable[str],
        executor: concurrent.futures.Executor,
    ) -> None:
        self.clock = manual_clock.ManualClock()
        self.executor = executor
        self.fault_rate = fault_rate
        self.faults: collections.Counter[Fault] = collections.Counter()
        self.runs: collections.Counter[str] = collections.Counter()
        self.hosts: dict[str, ActionHost] = {}
        self.on_stage: collections.abc.Callable[[Stage], None] | None = None
        self.lease = ownership_types.LeaseState.FULL
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._late: list[collections.abc.Callable[[], object]] = []
        self._started = 0
        self._by_address: dict[str, ActionHost] = {}
        self._stack = contextlib.ExitStack()
        self.store = configuration_store.ConfigurationStore(
            document.JsonDocument(), self.clock
        )
        self.publish(1)
        for name in hosts:
            self.start(name)
        self.update_membership()

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._stack.close()

    def publish(
        self, version: int, out_of_service: tuple[str, ...] = ()
    ) -> None:
        """Put a configuration in force on all hosts."""
        self.store.offer(_document(version, out_of_service))

    def reach(self, stage: Stage) -> None:
        """Let the test step in."""
        if self.on_stage is not None:
            self.on_stage(stage)

    def start(self, name: str) -> None:
        """Start a host, or a new incarnation of it."""
        self._started += 1
        host = ActionHost(self, name, f'address-{self._started}')
        self._stack.enter_context(host)
        self.hosts[name] = host
        self._by_address[host.member.peer_address] = host

    def update_membership(self) -> None:
        """Tell all hosts of all others."""
        view = [h.member for h in self.hosts.values()]
        for host in self.hosts.values():
            host.members.replace(view)

    def find(self, address: str) -> 'ActionHost':
        """Return the host that listens on an address.

        :raises ConnectFailed: none does.
        """
        host = self._by_address[address]
        if not host.alive:
            raise errors.ConnectFailed(f'nothing listens on {address}')
        return host

    def draw(self, kinds: collections.abc.Sequence[Fault]) -> Fault:
        """Choose and count the fault of one message."""
        with self._lock:
            if self._rng.random() >= self.fault_rate:
                return Fault.NONE
            fault = self._rng.choice(kinds)
            self.faults[fault] += 1
            return fault

    def pause(self) -> None:
        """Let time pass, as if a process had been stopped."""
        with self._lock:
            seconds = self._rng.choice((0.01, 0.5, 4.0))
        self.clock.advance(seconds)

    def count_run(self, payload: str) -> None:
        """Record that a searcher ran an action."""
        with self._lock:
            self.runs[payload] += 1

    def deliver(
        self,
        fault: Fault,
        act: collections.abc.Callable[[], T],
        timeout_s: float,
        kill: collections.abc.Callable[[], None],
    ) -> T:
        """Deliver one message with a fault and return the answer."""
        if fault is Fault.CUT_BEFORE:
            raise errors.ConnectionBroken(fault.value)
        if fault in (Fault.LATE_DELIVERY, Fault.LOST):
            if fault is Fault.LATE_DELIVERY:
                with self._lock:
                    self._late.append(act)
            self.clock.advance(timeout_s)
            raise errors.ConnectionSilent(fault.value)
        answer = act()
        if fault is Fault.KILLED:
            kill()
        if fault in (Fault.CUT_AFTER, Fault.KILLED):
            raise errors.ConnectionBroken(fault.value)
        if fault is Fault.LATE_ANSWER:
            self.clock.advance(timeout_s)
            raise errors.ConnectionSilent(fault.value)
        return answer

    def deliver_late(self) -> None:
        """Deliver the messages that were held back."""
        while self._late:
            act = self._late.pop()
            with contextlib.suppress(errors.CorianderportError):
                act()


class ActionHost:
    """One incarnation of a host."""

    def __init__(self, world: World, name: str, address: str) -> None:
        self.world = world
        self.alive = True
        self.member = membership.Member(name, 'dc-a', address)
        self.members = membership.Membership(self.member, world.clock)
        self._clock = world.clock
        self._stack = contextlib.ExitStack()
        self._gate = shutdown.RequestGate(world.clock)
        self._peer_gate = shutdown.RequestGate(world.clock)
        self._kept = handed_over.HandedOverTickets(world.clock)
        self._log = decision_log.DecisionLog()
        self._local = self._build_local()
        self._remote = self._stack.enter_context(
            peers.Peers(_PeerDialer(world), world.executor, world.clock)
        )
        self._router = routing.Router(
            ownership.OwnershipTable(world.store, self.members),
            self.members,
            self._local,
            self._remote,
        )
        self._table = ticket_table.TicketTable(
            name, address, _SIGNER, _LIMITS, world.clock
        )
        self._actions = action_service.ActionService(
            self._table,
            self._kept,
            _SIGNER,
            self.members,
            self._remote,
            self._run,
            world.clock,
        )
        self.entry = entry.Entry(
            world.store,
            self._router,
            self._actions,
            self._gate,
            world.clock,
            self._log,
        )

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._stack.close()

    def kill(self) -> None:
        """End the process without warning."""
        self.alive = False

    def stop(self) -> shutdown.StopReport:
        """Run the planned stop; the process ends when it is killed."""
        task = hand_over.HandOverTask(
            self._table, self._kept, self.members, self._remote, self._clock
        )
        return shutdown.PlannedStop(
            shutdown.Readiness(self.world.store),
            self._gate,
            self._peer_gate,
            lambda: None,
            self._table.seal,
            task.run,
            shutdown.StopTimes(0.0, 0.0),
            self._clock,
        ).run()

    def serve_act(self, call: messages.ActionCall) -> messages.ActionAnswer:
        """Serve an action as the owner, for another host."""
        with self._peer_gate.enter():
            return self._local.act(call)

    def serve_act_with_ticket(
        self, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        """Serve an action that another host forwards."""
        with self._peer_gate.count():
            return self._actions.act_with_ticket(request)

    def serve_hand_over(self, part: handed_over.HandOver) -> None:
        """Keep outcomes of a host that stops."""
        self._kept.accept(part)

    def _build_local(self) -> aggregator.LocalAggregator:
        services = self._stack.enter_context(
            owned_services.OwnedServices(
                self.world.store,
                _SearcherDialer(self.world),
                self.world.executor,
                self._clock,
                selection.policy('random'),
                random.Random(1),
            )
        )
        return aggregator.LocalAggregator(
            services,
            self.world.executor,
            self._clock,
            self._log,
            _Lease(self.world),
        )

    def _run(self, request: messages.ActionRequest) -> messages.ActionAnswer:
        return actions.ActionTask(
            request,
            self.world.store.current(),
            self._router,
            self._clock,
            self._log,
        ).run()


@attrs.frozen
class _Lease:
    """Lets every host send what the test says."""

    world: World

    def may_send(self, service: str) -> ownership_types.LeaseState:
        return self.world.lease

    def term(self, service: str) -> int:
        return 0

    def inherited(self, service: str) -> frozenset[str]:
        return frozenset()


@attrs.frozen
class _SearcherDialer:
    """Connects a host to the stand-ins of searchers."""

    world: World

    def dial(
        self, searcher: configuration.Searcher, timeout_s: float
    ) -> transports.UpstreamTransport:
        link = _SearcherLink(self.world)
        return typing.cast(transports.UpstreamTransport, link)


@attrs.frozen
class _SearcherLink:
    """A connection to a stand-in that runs every action it receives."""

    world: World

    def act(
        self,
        call: messages.UpstreamAction,
        timeout_s: float,
        check: transports.SendCheck,
    ) -> messages.UpstreamActionReply | messages.UpstreamRefusal:
        fault = self.world.draw(_SEARCHER_FAULTS)
        if fault is Fault.NO_CONNECTION:
            raise errors.ConnectFailed(fault.value)
        if fault is Fault.PAUSED:
            self.world.pause()
        self.world.reach(Stage.CONNECTED)
        check()
        if fault is Fault.REFUSED:
            return messages.UpstreamRefusal(messages.RefusalReason.SHED)
        return self.world.deliver(
            fault, lambda: self._run(call), timeout_s, lambda: None
        )

    def close(self) -> None:
        pass

    def _run(
        self, call: messages.UpstreamAction
    ) -> messages.UpstreamActionReply:
        self.world.count_run(call.payload)
        self.world.reach(Stage.RUNNING)
        return messages.UpstreamActionReply(
            call.request_id, call.attempt_id, True, f'ran {call.payload}'
        )


@attrs.frozen
class _PeerDialer:
    """Connects a host to the others."""

    world: World

    def dial(
        self, member: membership.Member, timeout_s: float
    ) -> transports.PeerTransport:
        host = self.world.find(member.peer_address)
        fault = self.world.draw(_PEER_FAULTS)
        if fault is Fault.NO_CONNECTION:
            raise errors.ConnectFailed(fault.value)
        link = _PeerLink(self.world, host, fault)
        return typing.cast(transports.PeerTransport, link)


@attrs.frozen
class _PeerLink:
    """A connection to another host; deadlines cross it as durations."""

    world: World
    host: ActionHost
    fault: Fault

    def act(
        self, call: messages.ActionCall, timeout_s: float
    ) -> messages.ActionAnswer:
        remaining_s = call.request.deadline.remaining(self.world.clock)

        def serve() -> messages.ActionAnswer:
            request = self._received(call.request, remaining_s)
            return self.host.serve_act(attrs.evolve(call, request=request))

        return self._deliver(serve, timeout_s)

    def act_with_ticket(
        self, request: messages.ActionRequest, timeout_s: float
    ) -> messages.ActionAnswer:
        remaining_s = request.deadline.remaining(self.world.clock)

        def serve() -> messages.ActionAnswer:
            return self.host.serve_act_with_ticket(
                self._received(request, remaining_s)
            )

        return self._deliver(serve, timeout_s)

    def hand_over(self, part: handed_over.HandOver, timeout_s: float) -> None:
        self._deliver(lambda: self.host.serve_hand_over(part), timeout_s)

    def close(self) -> None:
        pass

    def _received(
        self, request: messages.ActionRequest, remaining_s: float
    ) -> messages.ActionRequest:
        deadline = deadlines.Deadline.after(self.world.clock, remaining_s)
        return attrs.evolve(request, deadline=deadline)

    def _deliver(
        self, act: collections.abc.Callable[[], T], timeout_s: float
    ) -> T:
        if self.fault is Fault.PAUSED:
            self.world.pause()

        def serve() -> T:
            if not self.host.alive:
                raise errors.ConnectionBroken('the host has ended')
            try:
                return act()
            except errors.CorianderportError as error:
                raise faults.from_code(error.code, str(error)) from error

        return self.world.deliver(self.fault, serve, timeout_s, self.host.kill)


@functools.cache
def _document(version: int, out_of_service: tuple[str, ...]) -> bytes:
    deployment = deployments.Deployment(services=1)
    names = [
        name
        for centre in deployments.DATA_CENTRES
        for name in deployment.searcher_names(centre)
    ]
    addresses = {
        name: f'127.0.0.1:{port}' for port, name in enumerate(names, start=1)
    }
    return document.JsonDocument().encode(
        deployment.build(version, addresses, out_of_service)
    )
