"""Hosts with the real membership and quotas on simulated time.

Each host runs the real gossip task, heartbeats, owners and accounts of quotas.
Only the transport between them, the clock and the executor are simulated.
"""

import collections
import collections.abc
import concurrent.futures
import heapq
import itertools
import math
import random
import threading
import typing

import attrs

from corianderport_daemon.process import incarnations
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import gossip
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import periodic_task
from corianderport_tier.process import quota_bucket
from corianderport_tier.process import quota_calls
from corianderport_tier.process import quota_hosts
from corianderport_tier.process import quota_messages
from corianderport_tier.process import quota_owner
from corianderport_tier.process import quotas
from corianderport_tier.process import seed_contact
from corianderport_tier.version import workspaces

BOUNDS = quota_bucket.QuotaBounds(window_s=5, excess=0.25, slack=20)
_DATA_CENTRES = 3
_EXPIRE_PERIOD_S = 0.25
_SILENT_S = 1.0
_SILENT_SEED_S = seed_contact.QUERY_TIMEOUT_S
# One way, in seconds.
_LATENCY_S = (0.0003, 0.0007)
_SLOW_LATENCY_S = (0.005, 0.05)
_EPOCH_S = 1_000_000.0

Step = collections.abc.Callable[[], None]


class HostClock:
    """Clock of one host; its time of day is off by ``skew_s``."""

    def __init__(self, network: 'Network', skew_s: float) -> None:
        self._network = network
        self._skew_s = skew_s

    def monotonic(self) -> float:
        return self._network.now_s + 3 * self._skew_s

    def time(self) -> float:
        return _EPOCH_S + self._network.now_s + self._skew_s

    def boottime(self) -> float:
        return self.monotonic()

    def wait(
        self, condition: threading.Condition, timeout_s: float | None
    ) -> bool:
        raise AssertionError('a request waits though no other one asks')


class Process(concurrent.futures.Executor):
    """One run of a host, and the executor of its tasks."""

    def __init__(self, network: 'Network', host: 'Host') -> None:
        self.network = network
        self.host = host
        self.clock = HostClock(network, host.skew_s)
        self.ended = False
        self.started_s = network.now_s
        self.workspaces: tuple[workspaces.Workspace, ...] | None = None
        self._periodic: dict[periodic_task.PeriodicTask, int] = {}
        own = membership.Member(
            host.name,
            host.data_centre,
            host.address,
            incarnation=incarnations.new_incarnation(self.clock),
        )
        self.members = membership.Membership(
            own, self.clock, lambda centre: 'r'
        )
        self.exchange = heartbeats.HeartbeatExchange(
            self.members, lambda: 1, lambda member, version: None
        )
        self.gossip = self._new_gossip()
        log = decision_log.DecisionLog()
        self.fleet = self._new_quota_fleet()
        self.owner = quota_owner.QuotaOwner(
            host.name,
            self.fleet,
            quota_owner.WorkspaceIndex(lambda: self.workspaces),
            lambda: BOUNDS,
            self.clock,
        )
        self.quotas = quotas.Quotas(
            quota_calls.QuotaCalls(
                host.name, self.fleet, self.owner, self, self.clock, log
            ),
            lambda: BOUNDS,
            self.clock,
            log,
            network.rng,
        )
        self._run(self.gossip)
        self._expire()

    def submit(  # type: ignore[override]
        self,
        task: collections.abc.Callable[..., typing.Any],
        /,
        *arguments: typing.Any,
    ) -> None:
        """Run a task later, after the round trip of its call."""
        owner = getattr(task, '__self__', None)
        if isinstance(owner, periodic_task.PeriodicTask):
            if task.__name__ == 'run':
                self._run(owner)
                return
        address = arguments[0] if arguments else ''
        delay_s = self.network.round_trip_s(self.host, address)
        self.network.at(delay_s, self._guard(lambda: task(*arguments)))

    def request(
        self,
        host: str,
        request: quota_messages.QuotaRequest,
        timeout_s: float,
    ) -> quota_messages.QuotaGrant:
        """Implements ``QuotaPeers``."""
        self.network.calls += 1
        other = self.network.hosts[host]
        try:
            process = self.network.reach(self.host, other)
        except errors.ConnectRefused:
            for member in self.members.members():
                if member.name == host:
                    self.members.suspect(member, gone=True)
            raise
        return process.owner.grant(request)

    def _new_gossip(self) -> gossip.Gossip:
        return gossip.Gossip(
            self.members,
            self.exchange,
            _Dialer(self),
            lambda centre: 'r',
            self.network.seeds,
            self,
            self.clock,
            gossip.GossipTimes(starting_s=quota_hosts.YOUNG_S),
            self.network.rng,
            lambda: None,
        )

    def _new_quota_fleet(self) -> quota_hosts.MembershipHosts:
        return quota_hosts.MembershipHosts(
            self.members,
            lambda: self.gossip.hosts,
            lambda: self.gossip.joined,
            lambda: self.gossip.known_seeds,
            lambda: self.gossip.confirmed_in_s,
            incarnations.started_s,
            self.clock,
        )

    def _guard(self, step: Step) -> Step:
        """Return a step that runs only while the process does."""

        def run() -> None:
            if self.ended:
                return
            if self.host.frozen:
                self.host.missed.append(run)
                return
            step()
            for task in list(self._periodic):
                if task._wake_requested:
                    task._wake_requested = False
                    self._schedule(task, 0.0)

        return run

    def _run(self, task: periodic_task.PeriodicTask) -> None:
        self._schedule(task, 0.0)

    def _schedule(
        self, task: periodic_task.PeriodicTask, delay_s: float
    ) -> None:
        number = self._periodic.get(task, 0) + 1
        self._periodic[task] = number

        def step() -> None:
            if task._closed:
                self._periodic.pop(task, None)
            elif self._periodic.get(task) == number:
                self._schedule(task, task.step())

        address = getattr(task, 'address', '')
        if task is not self.gossip:
            round_trip_s = self.network.round_trip_s(self.host, address)
            if isinstance(task, seed_contact.SeedContact):
                round_trip_s = min(round_trip_s, _SILENT_SEED_S)
            delay_s += round_trip_s
        self.network.at(delay_s, self._guard(step))

    def _expire(self) -> None:
        self.owner.expire()
        self.quotas.expire()
        self.network.at(_EXPIRE_PERIOD_S, self._guard(self._expire))


class _Dialer:
    def __init__(self, process: Process) -> None:
        self._process = process

    def dial(
        self, member: membership.Member, timeout_s: float
    ) -> '_Transport':
        network = self._process.network
        other = network.by_address[member.peer_address]
        process = network.reach(self._process.host, other)
        network.connected(self._process.host, other)
        return _Transport(self._process, process)


class _Transport:
    def __init__(self, own: Process, other: Process) -> None:
        self._own = own
        self._other = other

    def heartbeat(
        self, message: heartbeats.Heartbeat, timeout_s: float
    ) -> heartbeats.Heartbeat:
        network = self._own.network
        network.exchanges += 1
        if network.reach(self._own.host, self._other.host) is not self._other:
            raise errors.ConnectionBroken('ended')
        reply = self._other.exchange.receive(message)
        network.exchanged(self._own.host, self._other.host, message, reply)
        return reply

    def close(self) -> None:
        return

    def __getattr__(self, name: str) -> typing.Any:
        raise AssertionError(f'unexpected call of {name}')


@attrs.define(eq=False)
class Host:
    """One machine; ``off`` means that it does not even refuse connections."""

    name: str
    address: str
    data_centre: str
    skew_s: float
    process: Process | None = None
    off: bool = False
    group: int = 0
    frozen: bool = False
    slow_until_s: float = -math.inf
    missed: list[Step] = attrs.Factory(list)


class Network:
    """Hosts, the events of their tasks in the order of time, and requests.

    :param store_s: simulated time from which hosts read the configuration.
    """

    def __init__(
        self,
        hosts: int,
        seed: int,
        known: collections.abc.Iterable[workspaces.Workspace],
        seeds: collections.abc.Sequence[int] = (0, 1, 2),
        skew_s: float = 0.02,
    ) -> None:
        self.now_s = 1_000.0
        self.rng = random.Random(seed)
        self.store_s = -math.inf
        self.workspaces = tuple(known)
        self.calls = self.exchanges = self.rumours = 0
        self.admitted: dict[str, list[float]] = collections.defaultdict(list)
        # Requests that an ideal bucket would have admitted, by time.
        self.allowed: dict[str, list[float]] = collections.defaultdict(list)
        self.refusals: list[tuple[str, float, Exception]] = []
        self._ideal = {w.name: (w.burst, self.now_s) for w in self.workspaces}
        self._events: list[tuple[float, int, Step]] = []
        self._sequence = itertools.count()
        self.hosts: dict[str, Host] = {}
        self.by_address: dict[str, Host] = {}
        self.seeds: tuple[str, ...] = ()
        for number in range(hosts):
            host = Host(
                f'host-{number}',
                f'10.0.{number // 250}.{number % 250}:7740',
                f'dc-{number % _DATA_CENTRES}',
                self.rng.uniform(-skew_s, skew_s),
            )
            self.hosts[host.name] = self.by_address[host.address] = host
        members = list(self.hosts.values())
        self.seeds = tuple(members[n].address for n in seeds if n < hosts)

    def at(self, delay_s: float, step: Step) -> None:
        """Run a step after a delay."""
        due_s = self.now_s + max(0.0, delay_s)
        heapq.heappush(self._events, (due_s, next(self._sequence), step))

    def advance(self, seconds: float) -> None:
        """Run the steps of the next seconds."""
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, step = heapq.heappop(self._events)
            step()
        self.now_s = end_s

    def start(self, host: Host) -> None:
        """Start a new process of a host."""
        self.stop(host)
        host.off = host.frozen = False
        host.process = process = Process(self, host)
        read_s = max(self.store_s, self.now_s) + self.rng.uniform(0.05, 0.3)

        def read_store() -> None:
            process.workspaces = self.workspaces

        self.at(read_s - self.now_s, process._guard(read_store))

    def stop(self, host: Host, off: bool = False) -> None:
        """End the process of a host."""
        if host.process is not None:
            host.process.ended = True
        host.process = None
        host.off = off
        host.missed.clear()

    def resume(self, host: Host) -> None:
        """Let a frozen process continue."""
        host.frozen = False
        missed, host.missed = host.missed, []
        for step in missed:
            self.at(0.0, step)

    def reach(self, sender: Host, other: Host) -> Process:
        """Return the process that a message reaches.

        :raises TransportError: there is none.
        """
        if sender.group != other.group or other.off or other.frozen:
            raise errors.ConnectionSilent('no reply')
        if other.process is None:
            raise errors.ConnectRefused('refused')
        return other.process

    def connected(self, sender: Host, other: Host) -> None:
        """Observe a new connection; does nothing here."""

    def exchanged(
        self,
        sender: Host,
        other: Host,
        message: heartbeats.Heartbeat,
        reply: heartbeats.Heartbeat,
    ) -> None:
        """Observe a heartbeat and its reply."""
        self.rumours += len(message.rumours) + len(reply.rumours)

    def round_trip_s(self, sender: Host, address: object) -> float:
        """Return the duration of a call, also of one without a reply."""
        other = self.by_address.get(str(address))
        if other is not None and (
            other.off or other.frozen or other.group != sender.group
        ):
            return _SILENT_S
        ends = [sender] if other is None else [sender, other]
        slow = any(end.slow_until_s > self.now_s for end in ends)
        latency_s = _SLOW_LATENCY_S if slow else _LATENCY_S
        return 2 * self.rng.uniform(*latency_s)

    def request(self, host: Host, workspace: str) -> bool:
        """Admit a request of a caller; return whether it was admitted."""
        process = host.process
        if process is None or host.frozen or process.workspaces is None:
            return False
        known = next(w for w in process.workspaces if w.name == workspace)
        self._count_allowed(known)
        try:
            process.quotas.admit(known)
        except errors.Refusal as error:
            self.refusals.append((workspace, self.now_s, error))
            return False
        self.admitted[workspace].append(self.now_s)
        return True

    def parts(self, names: collections.abc.Iterable[str]) -> list[float]:
        """Return the parts of each workspace that hosts grant.

        A call takes a token of the workspaces, which must not be otherwise
        used.
        """
        sums = []
        for name in names:
            request = quota_messages.QuotaRequest(name, 1, 0)
            granting = 0
            for host in self.hosts.values():
                if host.process is None:
                    continue
                try:
                    host.process.owner.grant(request)
                    granting += 1
                except errors.Refusal:
                    continue
            sums.append(granting / quota_bucket.MAX_OWNERS)
        return sums

    def use_up(self, workspace: workspaces.Workspace) -> None:
        """Note the most requests that may have been admitted so far."""
        growth = 1 + BOUNDS.excess / 2
        rate = growth * workspace.rate_per_s
        times = [self.now_s] * int(BOUNDS.saved(workspace))
        used = int(rate * BOUNDS.window_s)
        times += [self.now_s - n / rate for n in range(used)]
        self.admitted[workspace.name] = sorted(times)

    def excess(self, workspace: workspaces.Workspace) -> float:
        """Return by how much the worst window exceeds the bound."""
        times = self.admitted[workspace.name]
        limit = workspace.rate_per_s * BOUNDS.window_s + workspace.burst
        bound = limit * (1 + BOUNDS.excess) + BOUNDS.slack
        worst, first = -math.inf, 0
        for last, end_s in enumerate(times):
            while times[first] <= end_s - BOUNDS.window_s:
                first += 1
            worst = max(worst, last - first + 1 - bound)
        return worst

    def served_share(self, since_s: float, until_s: float) -> float:
        """Return the share of the allowed requests that were admitted."""
        allowed = served = 0
        for name, times in self.allowed.items():
            allowed += _count(times, since_s, until_s)
            served += _count(self.admitted[name], since_s, until_s)
        return served / max(1, allowed)

    def _count_allowed(self, workspace: workspaces.Workspace) -> None:
        tokens, refilled_s = self._ideal[workspace.name]
        gained = workspace.rate_per_s * (self.now_s - refilled_s)
        tokens = min(max(workspace.burst, 1), tokens + gained)
        if tokens >= 1:
            tokens -= 1
            self.allowed[workspace.name].append(self.now_s)
        self._ideal[workspace.name] = (tokens, self.now_s)


def _count(times: list[float], since_s: float, until_s: float) -> int:
    return sum(since_s < t <= until_s for t in times)
