"""Hosts that gather over links of limited capacity, on simulated time."""

import collections.abc
import concurrent.futures
import contextlib
import heapq
import itertools
import random
import threading
import typing

from corianderport_testkit import clock as clock_module
from corianderport_tier import closing
from corianderport_tier.connection import pool
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import directory
from corianderport_tier.process import fleet_share
from corianderport_tier.process import gather_capacity
from corianderport_tier.process import gather_hosts
from corianderport_tier.process import gather_roles
from corianderport_tier.process import membership
from corianderport_tier.process import service_searchers
from corianderport_tier.request import deadlines
from corianderport_tier.request import forward_messages
from corianderport_tier.request import forward_send
from corianderport_tier.request import forwarding
from corianderport_tier.request import gather_messages
from corianderport_tier.version import routes

from . import entries

# A link of 10.5 Mbit/s, and one of 100 Mbit/s.
SMALL_LINK = 1_312_500.0
WIDE_LINK = 12_500_000.0
_BOUNDS = fleet_share.FleetBounds(0.2, 430, 10, 1.5, 5)
_STEP_S = 0.0005
_WORK_S = 0.011
_PART_BYTES = 1_300

Event = tuple[float, int, collections.abc.Callable[[], None]]


def deadline_after(
    clock: clock_module.ManualClock, seconds: float
) -> deadlines.Deadline:
    """Return a deadline on simulated time."""
    return deadlines.Deadline.after(clock, seconds)


class _Searcher:
    """Transport to a searcher that replies over the host's link."""

    def __init__(self, proof: str) -> None:
        self._proof = proof
        self.aborted = False

    def send(self, call: forward_messages.SearcherCall) -> None:
        return

    def receive(
        self, call: forward_messages.SearcherCall
    ) -> forward_messages.SearcherReply:
        return forward_messages.SearcherReply(
            200, (), b'r' * 1_000, self._proof, True
        )

    def abort(self) -> None:
        self.aborted = True

    def close(self) -> None:
        return


class _SearcherPool:
    """Writes each send at once and lets its reply arrive later."""

    def __init__(self, host: 'SimulatedHost') -> None:
        self._host = host

    def submit(
        self,
        job: forward_send.SendAttempt,
        reuse: pool.Reuse = pool.ANY_CONNECTION,
    ) -> None:
        self._host.send(job)

    def limit_connections(self, limit: int) -> None:
        return

    def limit_idle_time(self, idle_s: float) -> None:
        return

    def close(self) -> None:
        return


class Caller:
    """The connection of a caller that stays until it is told to go."""

    def __init__(self) -> None:
        self.on_disconnect: collections.abc.Callable[[], None] | None = None

    @contextlib.contextmanager
    def watch(
        self, on_disconnect: collections.abc.Callable[[], None]
    ) -> collections.abc.Iterator[None]:
        self.on_disconnect = on_disconnect
        yield

    def call_when_sent(
        self, on_sent: collections.abc.Callable[[], None]
    ) -> None:
        return


class _PeerTransport:
    """Calls another simulated host on the task of the connection."""

    def __init__(self, host: 'SimulatedHost') -> None:
        self._host = host
        self._caller = Caller()

    def gather_availability(
        self, timeout_s: float
    ) -> gather_messages.GatherAvailability:
        if self._host.silent:
            self._host.wait(timeout_s)
            raise errors.ConnectionSilent('no reply')
        return self._host.gathers.availability()

    def gather(
        self, call: gather_messages.GatherCall, timeout_s: float
    ) -> forward_messages.ForwardAnswer:
        self._host.gathers_received += 1
        if self._host.breaks:
            raise errors.ConnectionBroken('reset')
        answer = self._host.gathers.gather(call, self._caller)
        if answer is None:
            raise errors.ConnectionBroken('aborted')
        return answer

    def abort(self) -> None:
        assert self._caller.on_disconnect is not None
        self._caller.on_disconnect()

    def close(self) -> None:
        return


class SimulatedHost:
    """One host with a link, and the searchers that it sends to."""

    def __init__(
        self,
        network: 'GatherNetwork',
        name: str,
        link_bytes_s: float,
        routing: routes.RoutingVersion,
    ) -> None:
        self._network = network
        self._link_bytes_s = link_bytes_s
        self._link_busy_until_s = 0.0
        self._condition = threading.Condition()
        # Searchers whose replies never arrive, by service.
        self.lost_services: set[str] = set()
        self.silent = False
        self.breaks = False
        self.gathers_received = 0
        self.sends: list[forward_send.SendAttempt] = []
        # Called on the task that has made a decision.
        self.on_decision: collections.abc.Callable[[str], None] | None = None
        self.log = decision_log.DecisionLog(observer=self)
        self.member = membership.Member(
            name, 'dc-a', f'{name}:1', link_bytes_s=link_bytes_s
        )
        rng = random.Random(1)
        share = fleet_share.FleetShare(
            _BOUNDS, name, lambda: (name,), network.clock
        )
        self.directory = directory.Directory(
            lambda service: service_searchers.ServiceSearchers(
                service,
                'dc-a',
                share,
                lambda registration, limit: _SearcherPool(self),
                network.clock,
                rng,
            ),
            network.clock,
            self.log,
        )
        self.hosts = gather_hosts.GatherHosts(
            self.member,
            gather_roles.GatherRoles(lambda: network.view),
            network,
            network.executor,
            network.clock,
            self.log,
            rng,
        )
        self.forwarder = forwarding.Forwarder(
            self.directory,
            network.clock,
            self.log,
            rng,
            gather_hosts=self.hosts,
        )
        self.gathers = self.forwarder.gathers(
            gather_capacity.GatherCapacity(link_bytes_s)
        )
        self.apply(routing)

    def apply(self, routing: routes.RoutingVersion) -> None:
        """Publish a routing version and its searchers to this host."""
        services = sorted(routing.named_services)
        changes = [entries.entry(routing.version, routing)]
        changes += [
            entries.entry(
                routing.version,
                entries.registration(f'{service}-{n}', service),
            )
            for service in services
            for n in range(3)
        ]
        self.directory.apply(changes)

    def send(self, job: forward_send.SendAttempt) -> None:
        """Write a send; its reply arrives after those before it."""
        self.sends.append(job)
        searcher = _Searcher(f'{job.searcher}-{len(self.sends)}')
        try:
            job.start(typing.cast(typing.Any, searcher))
        except errors.CorianderportError as error:
            job.finish(error)
            return
        if job.part.service.name in self.lost_services:
            return
        ready_s = self._network.clock.monotonic() + _WORK_S
        self._network.after(ready_s, lambda: self._receive(job, searcher))

    def decided(self, decision: decision_log.Decision) -> None:
        """Pass on the kind of a decision."""
        if self.on_decision is not None:
            self.on_decision(decision.kind)

    def wait(self, seconds: float) -> None:
        """Block the calling task for a simulated time."""
        with self._condition:
            self._network.clock.wait(self._condition, seconds)

    def _receive(
        self, job: forward_send.SendAttempt, searcher: _Searcher
    ) -> None:
        """Let a reply take its turn on the link."""
        now_s = self._network.clock.monotonic()
        self._link_busy_until_s = (
            max(now_s, self._link_busy_until_s)
            + _PART_BYTES / self._link_bytes_s
        )

        def arrive() -> None:
            transport = typing.cast(typing.Any, searcher)
            job.finish(job.complete(transport))

        self._network.after(self._link_busy_until_s, arrive)


class Request:
    """One request of a caller, which runs on a task."""

    def __init__(
        self, host: SimulatedHost, clock: clock_module.ManualClock
    ) -> None:
        self._clock = clock
        self._host = host
        self.caller = Caller()
        self.started_s = clock.monotonic()
        self.answered_s = float('inf')
        self.answer: forward_messages.ForwardAnswer | None = None

    @property
    def elapsed_s(self) -> float:
        """Time until the answer, infinite without one."""
        return self.answered_s - self.started_s

    def run(self) -> None:
        """Wait for the answer."""
        request = forward_messages.ForwardRequest(
            'q1',
            'a.example',
            '/find/x',
            forward_messages.Payload(b'GET', b'/find/x', (), b''),
            deadlines.Deadline.after(self._clock, 0.8),
            self.started_s,
        )
        self.answer = self._host.forwarder.answer(request, self.caller)
        self.answered_s = self._clock.monotonic()


class GatherNetwork(closing.Closing):
    """Simulated hosts; hosts ``h1`` to ``h4`` have small links.

    ``wide`` has a wide one. Time moves only while all tasks wait.
    """

    def __init__(self, services: int = 63) -> None:
        self.clock = clock_module.ManualClock()
        self._lock = threading.Lock()
        self._tasks = 0
        self._events: list[Event] = []
        self._numbers = itertools.count()
        self.routing = self.routing_version(1, services)
        links = {f'h{n}': SMALL_LINK for n in range(1, 5)}
        links['wide'] = WIDE_LINK
        self.view = membership.View(0, (), (), {})
        self.hosts = {
            name: SimulatedHost(self, name, link, self.routing)
            for name, link in links.items()
        }
        members = tuple(h.member for h in self.hosts.values())
        self.view = membership.View(1, members, members, {})
        self.refresh()

    @staticmethod
    def routing_version(
        version: int, services: int = 63
    ) -> routes.RoutingVersion:
        """Return a version with one gather over some services."""
        names = tuple(f's{n:02}' for n in range(services))
        route = entries.route(
            names, 0.95, name='sweep', goal_s=0.0953, timeout_s=0.8
        )
        return entries.routing(version, route)

    @property
    def executor(self) -> concurrent.futures.Executor:
        """Runs tasks that the network waits for; see ``submit``."""
        return typing.cast(concurrent.futures.Executor, self)

    def submit(self, task: collections.abc.Callable[[], object]) -> None:
        """Run a task on a thread."""
        with self._lock:
            self._tasks += 1

        def run() -> None:
            try:
                task()
            finally:
                with self._lock:
                    self._tasks -= 1

        threading.Thread(target=run, daemon=True).start()

    def close(self) -> None:
        """End the tasks of all connections between hosts."""
        for host in self.hosts.values():
            host.hosts.close()

    def dial(self, member: membership.Member, timeout_s: float) -> typing.Any:
        """Connect to a host."""
        host = self.hosts[member.name]
        if host.silent:
            host.wait(timeout_s)
            raise errors.ConnectFailed('no reply')
        return _PeerTransport(host)

    def after(
        self, at_s: float, event: collections.abc.Callable[[], None]
    ) -> None:
        """Call a function at a point in time."""
        with self._lock:
            heapq.heappush(self._events, (at_s, next(self._numbers), event))

    def start(self, name: str) -> Request:
        """Start a request at a host."""
        request = self.request(name)
        self.submit(request.run)
        return request

    def request(self, name: str) -> Request:
        """Return a request at a host that has not been started."""
        return Request(self.hosts[name], self.clock)

    def refresh(self) -> None:
        """Let all hosts follow the membership and probe each other."""
        for host in self.hosts.values():
            host.hosts.refresh()
        self.run(0.002)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until_s = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until_s:
            self._settle()
            while (event := self._due()) is not None:
                event()
                self._settle()
            self.clock.advance(_STEP_S)
        self._settle()

    def _due(self) -> collections.abc.Callable[[], None] | None:
        with self._lock:
            if self._events and self._events[0][0] <= self.clock.monotonic():
                return heapq.heappop(self._events)[2]
        return None

    def _settle(self) -> None:
        """Return once every task waits and none has been notified."""
        self.clock.await_idle(lambda: self._tasks)
