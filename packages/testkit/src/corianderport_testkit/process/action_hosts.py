"""corianderport_testkit.process.action_hosts

Simulated hosts in one process, with seeded faults on all their links.
"""

import collections
import collections.abc
import concurrent.futures
import contextlib
import functools
import random
import threading
import typing

from corianderport_testkit import clock as manual_clock
from corianderport_testkit.process import action_links
from corianderport_testkit.version import deployments
from corianderport_tier import closing
from corianderport_tier import errors
from corianderport_tier.process import action_service
from corianderport_tier.process import aggregator
from corianderport_tier.process import configuration_store
from corianderport_tier.process import decision_log
from corianderport_tier.process import drain
from corianderport_tier.process import entry
from corianderport_tier.process import hand_over
from corianderport_tier.process import handed_over
from corianderport_tier.process import membership
from corianderport_tier.process import peers
from corianderport_tier.process import selection
from corianderport_tier.process import shutdown
from corianderport_tier.process import ticket_table
from corianderport_tier.process import tickets
from corianderport_tier.process import upstream_services
from corianderport_tier.request import actions
from corianderport_tier.request import messages
from corianderport_wire.version import document

__all__ = ['ActionHost', 'SimulatedCluster']

_LIMITS = ticket_table.TicketLimits(
    lifetime_ms=5_000, retention_ms=5_000, unexpired=8
)
_SIGNER = tickets.TicketSigner.from_config('shared key of the tests')

T = typing.TypeVar('T')


class SimulatedCluster(closing.Closing):
    """Hosts, searchers and the links between them.

    ``fault_rate`` is the probability that a message gets a fault.
    ``on_send_stage`` is called on the thread that sends an action.
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
        self.faults: collections.Counter[action_links.Fault] = (
            collections.Counter()
        )
        self.runs: collections.Counter[str] = collections.Counter()
        self.hosts: dict[str, ActionHost] = {}
        self.on_send_stage: (
            collections.abc.Callable[[action_links.SendStage], None] | None
        ) = None
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._delayed: list[collections.abc.Callable[[], object]] = []
        self._start_count = 0
        self._by_address: dict[str, ActionHost] = {}
        self._stack = contextlib.ExitStack()
        self.store = configuration_store.ConfigurationStore(
            document.DocumentCodec(), self.clock
        )
        self.publish(1)
        for name in hosts:
            self.start(name)
        self.update_membership()

    def close(self) -> None:
        """Close the connections of all hosts."""
        self._stack.close()

    def publish(
        self, version: int, out_of_service: tuple[str, ...] = ()
    ) -> None:
        """Apply a configuration on all hosts."""
        self.store.offer(_document(version, out_of_service))

    def notify_stage(self, stage: action_links.SendStage) -> None:
        """Call the hook of the test, if one is set."""
        if self.on_send_stage is not None:
            self.on_send_stage(stage)

    def start(self, name: str) -> None:
        """Start a host, or restart it as a new incarnation."""
        self._start_count += 1
        host = ActionHost(self, name, f'address-{self._start_count}')
        self._stack.enter_context(host)
        self.hosts[name] = host
        self._by_address[host.member.peer_address] = host

    def update_membership(self) -> None:
        """Replace the host list of every host with the current hosts."""
        host_list = [h.member for h in self.hosts.values()]
        for host in self.hosts.values():
            host.members.replace(host_list)

    def find_host(self, address: str) -> 'ActionHost':
        """Return the host that listens on an address.

        :raises ConnectFailed: none does.
        """
        host = self._by_address[address]
        if not host.alive:
            raise errors.ConnectFailed(f'no host listens on {address}')
        return host

    def draw_fault(
        self, kinds: collections.abc.Sequence[action_links.Fault]
    ) -> action_links.Fault:
        """Choose the fault of one message at random and count it."""
        with self._lock:
            if self._rng.random() >= self.fault_rate:
                return action_links.Fault.NONE
            fault = self._rng.choice(kinds)
            self.faults[fault] += 1
            return fault

    def pause_sender(self) -> None:
        """Advance the clock as if the sending process had been stopped."""
        with self._lock:
            seconds = self._rng.choice((0.01, 0.5, 4.0))
        self.clock.advance(seconds)

    def record_run(self, payload: str) -> None:
        """Record that a searcher ran an action."""
        with self._lock:
            self.runs[payload] += 1

    def deliver(
        self,
        fault: action_links.Fault,
        act: collections.abc.Callable[[], T],
        timeout_s: float,
        kill: collections.abc.Callable[[], None],
    ) -> T:
        """Deliver one message under a fault and return its answer.

        :param act: processes the message at the receiver.
        :param kill: crashes the receiver.
        """
        if fault is action_links.Fault.CUT_BEFORE:
            raise errors.ConnectionBroken(fault.value)
        if fault in (
            action_links.Fault.LATE_DELIVERY,
            action_links.Fault.LOST,
        ):
            if fault is action_links.Fault.LATE_DELIVERY:
                with self._lock:
                    self._delayed.append(act)
            self.clock.advance(timeout_s)
            raise errors.ConnectionSilent(fault.value)
        answer = act()
        if fault is action_links.Fault.KILLED:
            kill()
        if fault in (action_links.Fault.CUT_AFTER, action_links.Fault.KILLED):
            raise errors.ConnectionBroken(fault.value)
        if fault is action_links.Fault.LATE_ANSWER:
            self.clock.advance(timeout_s)
            raise errors.ConnectionSilent(fault.value)
        return answer

    def deliver_delayed(self) -> None:
        """Deliver the messages that were delayed beyond their timeout."""
        while self._delayed:
            act = self._delayed.pop()
            with contextlib.suppress(errors.CorianderportError):
                act()


class ActionHost(closing.Closing):
    """One incarnation of a host."""

    def __init__(
        self, cluster: SimulatedCluster, name: str, address: str
    ) -> None:
        self.cluster = cluster
        self.alive = True
        self.member = membership.Member(name, 'dc-a', address)
        self.members = membership.Membership(self.member, cluster.clock)
        self._clock = cluster.clock
        self._stack = contextlib.ExitStack()
        self._gate = shutdown.RequestGate(cluster.clock)
        self._peer_gate = shutdown.RequestGate(cluster.clock)
        self.drain = drain.Drain(cluster.clock)
        self._handed_over = handed_over.HandedOverTickets(cluster.clock)
        self._log = decision_log.DecisionLog()
        self._local = self._build_local()
        self._peers = self._stack.enter_context(
            peers.Peers(
                action_links.PeerDialer(cluster),
                cluster.executor,
                cluster.clock,
            )
        )
        self._table = ticket_table.TicketTable(
            name, address, _SIGNER, _LIMITS, cluster.clock
        )
        self._actions = action_service.ActionService(
            self._table,
            self._handed_over,
            _SIGNER,
            self.members,
            self._peers,
            self._run,
            cluster.clock,
        )
        self.entry = entry.EntryService(
            cluster.store,
            self._local,
            self._actions,
            self._gate,
            cluster.clock,
        )

    def close(self) -> None:
        """Close the connections of this host."""
        self._stack.close()

    def kill(self) -> None:
        """Crash the host: connections to it fail from now on."""
        self.alive = False

    def stop(self) -> shutdown.ShutdownReport:
        """Run the graceful shutdown; the host is reachable until ``kill``."""
        task = hand_over.HandOverTask(
            self._table,
            self._handed_over,
            self.members,
            self._peers,
            self._clock,
        )
        return shutdown.GracefulShutdown(
            shutdown.Readiness(self.cluster.store),
            self._gate,
            self._peer_gate,
            self.drain,
            lambda: None,
            self._table.seal,
            task.run,
            shutdown.ShutdownTimes(0.0, 0.0),
            self._clock,
        ).run()

    def serve_act_with_ticket(
        self, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        """Handle an action that another host forwards."""
        with self._peer_gate.count():
            return self._actions.act_with_ticket(request)

    def serve_hand_over(self, part: handed_over.HandOver) -> None:
        """Store the ticket outcomes of a host that shuts down."""
        self._handed_over.accept(part)

    def _build_local(self) -> aggregator.LocalAggregator:
        services = self._stack.enter_context(
            upstream_services.UpstreamServices(
                self.cluster.store,
                action_links.SearcherDialer(self.cluster),
                self.cluster.executor,
                self._clock,
                selection.policy('random'),
                random.Random(1),
            )
        )
        return aggregator.LocalAggregator(
            services, self._clock, self._log, self.drain
        )

    def _run(self, request: messages.ActionRequest) -> messages.ActionAnswer:
        return actions.ActionTask(
            request,
            self.cluster.store.current(),
            self._local,
            self._clock,
        ).run()


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
    return document.DocumentCodec().encode(
        deployment.build(version, addresses, out_of_service)
    )
