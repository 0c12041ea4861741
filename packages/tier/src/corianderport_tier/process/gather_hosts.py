"""corianderport_tier.process.gather_hosts

The other hosts to which this one can give gathers.
"""

import collections.abc
import concurrent.futures
import random
import threading

from corianderport_tier import clocks
from corianderport_tier import closing
from corianderport_tier.connection import pool
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import gather_roles
from corianderport_tier.process import membership
from corianderport_tier.process import rendezvous
from corianderport_tier.request import gather_messages

__all__ = ['GatherHost', 'GatherHosts', 'GatherJob']

# Hosts that each host keeps connections to, the first in rendezvous order of
# its data centre, so that those of a large fleet have a bounded number of
# connections.
_MAX_HOSTS = 3
_CONNECTIONS = 4
_IDLE_S = 30.0
_DIAL_TIMEOUT_S = 1.0
_PROBE_INTERVAL_S = 1.0
_PROBE_TIMEOUT_S = 0.25
# A host is not used if its last reply is older than this: two probes are
# missing.
_MAX_REPLY_AGE_S = 2.5
_MIN_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 8.0
# Gathers are given away if their replies take at least this fraction of the
# time until the goal on this host's own link.
_MIN_LINK_FRACTION = 0.15

PeerPool = pool.ConnectionPool[transports.PeerTransport]
GatherJob = pool.Job[transports.PeerTransport]


class GatherHost:
    """One host that gathers for this one, and what is known of it.

    Its state is guarded by a lock of its own, since results come from the
    tasks of its connections.
    """

    def __init__(
        self,
        member: membership.Member,
        connections: PeerPool,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
    ) -> None:
        self.member = member
        self._pool = connections
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._in_flight = 0
        self._probing = False
        self._replied_s = float('-inf')
        self._retry_at_s = float('-inf')
        self._backoff_s = 0.0

    @property
    def in_flight(self) -> int:
        """Number of gathers that this host has given to it."""
        return self._in_flight

    def usable(self, now_s: float) -> bool:
        """Whether it has replied lately and can be given one more gather."""
        return (
            now_s - self._replied_s <= _MAX_REPLY_AGE_S
            and now_s >= self._retry_at_s
            and self._in_flight < _CONNECTIONS
        )

    def submit(self, job: GatherJob) -> None:
        """Run a job on a connection; ``ended`` has to follow.

        :raises CorianderportError: it cannot be run.
        """
        with self._lock:
            self._in_flight += 1
        try:
            self._pool.submit(job)
        except errors.CorianderportError:
            with self._lock:
                self._in_flight -= 1
            raise

    def ended(self, reachable: bool) -> None:
        """Record the end of a job."""
        with self._lock:
            self._in_flight -= 1
        self._record(reachable)

    def probe_if_due(self) -> None:
        """Ask for a sign of life, and keep a connection open.

        Called periodically. Nothing else shows that an idle host has been cut
        off, and a new connection costs several round trips.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            due = now_s >= self._retry_at_s and (
                now_s - self._replied_s >= _PROBE_INTERVAL_S
                or not self._pool.idle
            )
            if self._probing or not due:
                return
            self._probing = True
        try:
            self._pool.submit(_Probe(self))
        except errors.CorianderportError as error:
            self.probed(error)

    def probed(self, reply: object) -> None:
        """Record the result of a probe."""
        with self._lock:
            self._probing = False
        # All connections may be in use, which is no failure.
        if not isinstance(reply, errors.Overloaded):
            self._record(not isinstance(reply, errors.TransportError))

    def suspect(self) -> None:
        """Leave the host out, since it has not replied in time."""
        self._record(reachable=False)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def _record(self, reachable: bool) -> None:
        with self._lock:
            now_s = self._clock.monotonic()
            changed = reachable == (self._backoff_s > 0)
            if reachable:
                self._replied_s, self._backoff_s = now_s, 0.0
                self._retry_at_s = float('-inf')
            else:
                self._backoff_s = min(
                    max(2 * self._backoff_s, _MIN_BACKOFF_S), _MAX_BACKOFF_S
                )
                self._retry_at_s = now_s + self._backoff_s
        if changed:
            self._log.record(
                decision_log.Decision(
                    'gather-host',
                    '',
                    self.member.name,
                    'replies again' if reachable else 'does not reply',
                    inputs={'backoff_ms': round(self._backoff_s * 1e3)},
                )
            )


class _Probe:
    """Connection job that asks whether a host takes gathers."""

    def __init__(self, host: GatherHost) -> None:
        self._host = host

    def perform(
        self, transport: transports.PeerTransport
    ) -> gather_messages.GatherAvailability:
        """Make the call."""
        return transport.gather_availability(_PROBE_TIMEOUT_S)

    def finish(self, reply: object) -> None:
        """Record the reply or the error."""
        self._host.probed(reply)


class GatherHosts(closing.Closing):
    """Chooses among the hosts of this data centre that gather for others.

    :param own: this host; one that gathers for others uses none itself.
    """

    def __init__(
        self,
        own: membership.Member,
        roles: gather_roles.GatherRoles,
        dialer: transports.PeerDialer,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._roles = roles
        self._dialer = dialer
        self._executor = executor
        self._clock = clock
        self._log = log
        self._rng = rng
        self._lock = threading.Lock()
        self._closed = False
        # By name and address, since a host may restart with another address.
        self._hosts: dict[tuple[str, str], GatherHost] = {}

    @property
    def own_name(self) -> str:
        """Name of this host."""
        return self._own.name

    def choose(self, size_bytes: int, time_left_s: float) -> GatherHost | None:
        """Return the host for a gather; None to gather the parts here.

        :param size_bytes: expected bytes of all replies.
        :param time_left_s: time until the goal.
        """
        link_s = size_bytes / max(1.0, self._own.link_bytes_s)
        if link_s < _MIN_LINK_FRACTION * time_left_s:
            return None
        now_s = self._clock.monotonic()
        usable = [h for h in self._listed() if h.usable(now_s)]
        return min(
            usable,
            key=lambda h: (h.in_flight, self._rng.random()),
            default=None,
        )

    def refresh(self) -> None:
        """Follow the membership and probe the hosts that are due."""
        wanted = {(m.name, m.peer_address): m for m in self._wanted()}
        with self._lock:
            if self._closed:
                return
            gone = [self._hosts.pop(k) for k in self._hosts.keys() - wanted]
            for key in wanted.keys() - self._hosts.keys():
                self._hosts[key] = self._open(wanted[key])
        for host in gone:
            host.close()
        for host in self._listed():
            host.probe_if_due()

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            self._closed = True
            hosts, self._hosts = self._hosts, {}
        for host in hosts.values():
            host.close()

    def _listed(self) -> collections.abc.Collection[GatherHost]:
        with self._lock:
            return tuple(self._hosts.values())

    def _wanted(self) -> list[membership.Member]:
        if self._own.name in self._roles.names:
            return []
        near = [
            m
            for m in self._roles.members
            if m.data_centre == self._own.data_centre
        ]
        near.sort(key=lambda m: rendezvous.weight(self._own.name, m.name))
        return near[-_MAX_HOSTS:]

    def _open(self, member: membership.Member) -> GatherHost:
        connections = PeerPool(
            lambda: self._dialer.dial(member, _DIAL_TIMEOUT_S),
            self._executor,
            self._clock,
            pool.PoolLimits(_CONNECTIONS, _IDLE_S),
        )
        return GatherHost(member, connections, self._clock, self._log)
