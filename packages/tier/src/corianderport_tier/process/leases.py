"""corianderport_tier.process.leases

Whether this host may send to the searchers of a service now.
"""

import collections.abc
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier.process import membership
from corianderport_tier.process import ownership_types

__all__ = ['Leases']

# The granting host waits this much longer than the lease, since the clocks
# of two hosts run at different rates.
_DRIFT = 1.01
_PROBE_PERIOD_S = 0.2
_URGENT_S = 1.5


def _never_idle(service: str) -> bool:
    return False


def _none_warm(service: str) -> tuple[str, ...]:
    return ()


@attrs.define(eq=False)
class _Service:
    """What this host knows as an owner; times of its own clock."""

    since_s: float
    position: int
    lease_until_s: float = float('-inf')
    lease_from: str = ''
    grantee: membership.Member | None = None
    granted_until_s: float = float('-inf')
    blocked_until_s: float = float('-inf')
    sent_s: float = float('-inf')
    probed_s: float = float('-inf')
    settled_s: float = float('inf')
    predecessors: dict[str, float | None] = attrs.Factory(dict)
    released_by: str = ''
    changed_s: float = float('-inf')
    term: int = 0
    inherited: frozenset[str] = frozenset()


@attrs.frozen
class _Released:
    """A service given up, to be told to the hosts that wait for it."""

    targets: frozenset[str]
    since_s: float
    until_s: float


class Leases:
    """Leases that this host holds as first and grants as second owner.

    :param probe: asks for a check whether a host is reachable; called
        when requests for its services arrive at the second owner.
    """

    def __init__(
        self,
        members: membership.Membership,
        clock: clocks.Clock,
        times: ownership_types.LeaseTimes,
        probe: collections.abc.Callable[[membership.Member], None],
    ) -> None:
        self._probe = probe
        self._members = members
        self._clock = clock
        self._times = times
        self._lock = threading.Lock()
        self._ownership = ownership_types.Ownership({}, majority=False)
        self._services: dict[str, _Service] = {}
        self._released: dict[str, _Released] = {}
        self._first_full_s = float('inf')
        self._terms = 0
        # Returns the names of the warm searchers of a service.
        self.warm: ownership_types.WarmSearchers = _none_warm
        # Returns whether nothing may be running at a service's searchers.
        self.idle: ownership_types.IdleService = _never_idle

    def update(self, ownership: ownership_types.Ownership) -> None:
        """Take over a new view of who owns what."""
        own = self._members.own.name
        now_s = self._clock.monotonic()
        with self._lock:
            before = self._ownership
            if ownership is before:
                return
            self._ownership = ownership
            kept: dict[str, _Service] = {}
            for name, owners in ownership.owners.items():
                names = [member.name for member in owners]
                if own in names:
                    kept[name] = self._moved(
                        name, names.index(own), before.owners.get(name, ())
                    )
                    if kept[name].position == 0:
                        self._released.pop(name, None)
            for name, state in self._services.items():
                moved = ownership.owners.get(name) != before.owners.get(name)
                if name not in kept or (moved and kept[name].position > 0):
                    self._release(name, state, now_s)
            self._services = kept
            if ownership.majority and not before.majority:
                self._unsettle(now_s)

    def may_send(self, service: str) -> ownership_types.LeaseState:
        """Return what may be sent now; to be asked before each send."""
        allowed = self._may_send(service)
        if allowed is ownership_types.LeaseState.NONE:
            first = self._first_to_probe(service)
            if first is not None:
                self._probe(first)
        return allowed

    def _may_send(self, service: str) -> ownership_types.LeaseState:
        now_s = self._clock.monotonic()
        with self._lock:
            state = self._services.get(service)
            if state is None or state.position > 0:
                return ownership_types.LeaseState.NONE
            self._note_gone(state, now_s)
            if now_s < state.blocked_until_s and state.grantee is not None:
                return ownership_types.LeaseState.NONE
            allowed = self._state(service, state, now_s)
            state.sent_s = now_s
            if allowed is ownership_types.LeaseState.FULL:
                self._first_full_s = min(self._first_full_s, now_s)
            return allowed

    @property
    def established(self) -> bool:
        """Whether this host has sent to searchers for some time.

        A host is not at first, so that the hosts of a fleet that starts
        need not wait for each other's leases to expire.
        """
        now_s = self._clock.monotonic()
        return now_s >= self._first_full_s + self._times.lease_s

    def term(self, service: str) -> int:
        """Return a number that changes when ownership was interrupted."""
        with self._lock:
            state = self._services.get(service)
            return 0 if state is None else state.term

    def inherited(self, service: str) -> frozenset[str]:
        """Return the searchers that were warm for the earlier owner."""
        with self._lock:
            state = self._services.get(service)
            return frozenset() if state is None else state.inherited

    def requests(
        self, member: membership.Member
    ) -> tuple[ownership_types.LeaseRequest, ...]:
        """Return the leases to ask of a host."""
        now_s = self._clock.monotonic()
        wanted: dict[str, bool] = {}
        with self._lock:
            for name, state in self._services.items():
                self._note_gone(state, now_s)
                if (
                    state.position == 0
                    and now_s >= state.blocked_until_s
                    and self._second(name) == member.name
                ):
                    wanted[name] = self._settled(state, now_s)
        # Without the lock: a service asks for its lease while it holds the
        # lock that ``warm`` takes.
        return tuple(
            ownership_types.LeaseRequest(name, settled, self.warm(name))
            for name, settled in wanted.items()
        )

    def grantors(self) -> frozenset[str]:
        """Return the names of the hosts to ask for leases."""
        with self._lock:
            return (
                frozenset(
                    second
                    for name, state in self._services.items()
                    if state.position == 0
                    and (second := self._second(name)) is not None
                )
                | self._releasing()
            )

    def urgent(self) -> frozenset[str]:
        """Return the hosts to talk to at once, while owners change."""
        now_s = self._clock.monotonic()
        with self._lock:
            found = {
                target
                for released in self._released.values()
                if now_s < released.since_s + _URGENT_S
                for target in released.targets
            }
            for name, state in self._services.items():
                second = self._second(name)
                if (
                    state.position == 0
                    and second is not None
                    and now_s >= state.lease_until_s
                    and now_s < state.changed_s + _URGENT_S
                ):
                    found.add(second)
            return frozenset(found)

    def releases(
        self, member: membership.Member
    ) -> tuple[ownership_types.LeaseRequest, ...]:
        """Return the services that a host waits for and that were given up."""
        now_s = self._clock.monotonic()
        with self._lock:
            self._released = {
                name: released
                for name, released in self._released.items()
                if now_s < released.until_s
            }
            names = [
                name
                for name, released in self._released.items()
                if member.name in released.targets
            ]
        return tuple(
            ownership_types.LeaseRequest(n, self.idle(n), self.warm(n))
            for n in names
        )

    def released(
        self,
        member: membership.Member,
        releases: collections.abc.Iterable[ownership_types.LeaseRequest],
    ) -> None:
        """Learn that a host sends nothing more to these services."""
        now_s = self._clock.monotonic()
        with self._lock:
            for release in releases:
                state = self._services.get(release.service)
                if state is None:
                    continue
                if release.warm:
                    state.inherited = frozenset(release.warm)
                ended_s = now_s
                if not release.settled:
                    ended_s += self._ownership.maximum_deadline_s
                if _same_process(state.grantee, member) or (
                    state.released_by == member.name
                ):
                    state.released_by = member.name
                    self._end_grant(state, ended_s)
                self._predecessor_ended(state, member.name, ended_s)

    def grant(
        self,
        member: membership.Member,
        requests: collections.abc.Iterable[ownership_types.LeaseRequest],
    ) -> tuple[str, ...]:
        """Grant the leases that a first owner asks for, if possible.

        :return: the services for which the lease now runs.
        """
        now_s = self._clock.monotonic()
        asked = [(request, self.idle(request.service)) for request in requests]
        with self._lock:
            return tuple(
                request.service
                for request, idle in asked
                if self._grant(member, request, idle, now_s)
            )

    def granted(
        self,
        member: membership.Member,
        services: collections.abc.Iterable[str],
        asked_s: float,
    ) -> None:
        """Take leases granted in reply to a request.

        :param asked_s: when the request was made, by this host's clock.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            for name in services:
                state = self._services.get(name)
                if state is not None and self._second(name) == member.name:
                    state.settled_s = min(state.settled_s, now_s)
                    self._note_gap(state, asked_s)
                    state.lease_from = member.name
                    state.lease_until_s = asked_s + self._times.lease_s

    def _note_gap(self, state: _Service, asked_s: float) -> None:
        """Begin a term when another host may have sent meanwhile."""
        silent_s = asked_s - state.lease_until_s
        if silent_s > self._ownership.maximum_deadline_s:
            self._terms += 1
            state.term = self._terms

    def _first_to_probe(self, service: str) -> membership.Member | None:
        now_s = self._clock.monotonic()
        with self._lock:
            state = self._services.get(service)
            if (
                state is None
                or state.position == 0
                or now_s < state.probed_s + _PROBE_PERIOD_S
            ):
                return None
            state.probed_s = now_s
            return self._ownership.owners[service][0]

    def _releasing(self) -> frozenset[str]:
        return frozenset(
            target
            for released in self._released.values()
            for target in released.targets
        )

    def _release(self, name: str, state: _Service, now_s: float) -> None:
        owners = self._ownership.owners.get(name, ())
        targets = {member.name for member in owners} | {state.lease_from}
        targets -= {self._members.own.name, ''}
        self._released[name] = _Released(
            frozenset(targets), now_s, now_s + self._settle_s
        )
        state.lease_until_s = float('-inf')

    def _moved(
        self,
        name: str,
        position: int,
        before: tuple[membership.Member, ...],
    ) -> _Service:
        now_s = self._clock.monotonic()
        state = self._services.get(name)
        if state is None:
            # Without an earlier view its owners are unknown.
            self._terms += 1
            return _Service(
                now_s,
                position,
                predecessors={m.name: None for m in before},
                changed_s=now_s,
                term=self._terms,
            )
        if state.position == 0 and position > 0:
            # It may have sent until now.
            state.sent_s = now_s
        lost: dict[str, float | None] = {}
        if position == 0:
            lost = {m.name: None for m in before[1:]}
        owners = self._ownership.owners[name]
        for member in owners:
            lost.pop(member.name, None)
        lost.pop(self._members.own.name, None)
        if lost:
            # The former second owner may take over on the other side of
            # a partition, unless it tells that it does not.
            state.since_s = now_s
            state.settled_s = float('inf')
            state.predecessors = lost
        if state.position > 0 and position == 0:
            self._terms += 1
            state.term = self._terms
        state.position = position
        if owners != before:
            state.changed_s = now_s
        return state

    def _state(
        self, service: str, state: _Service, now_s: float
    ) -> ownership_types.LeaseState:
        if not self._ownership.majority or self._members.doubtful:
            return ownership_types.LeaseState.RESTRICTED
        if now_s < state.blocked_until_s:
            return ownership_types.LeaseState.RESTRICTED
        # A lease holds after its grantor stopped being the second owner.
        valid = now_s < state.lease_until_s or (
            self._second(service) is None and self._settled(state, now_s)
        )
        return (
            ownership_types.LeaseState.FULL
            if valid
            else ownership_types.LeaseState.RESTRICTED
        )

    def _grant(
        self,
        member: membership.Member,
        request: ownership_types.LeaseRequest,
        idle: bool,
        now_s: float,
    ) -> bool:
        state = self._services.get(request.service)
        if (
            state is None
            or state.position != 1
            or self._ownership.owners[request.service][0].name != member.name
            or not self._ownership.majority
            or self._members.doubtful
        ):
            return False
        self._note_gone(state, now_s)
        state.inherited = frozenset(request.warm)
        if not _same_process(state.grantee, member):
            if now_s < state.blocked_until_s:
                return False
        if (
            now_s < state.sent_s + self._ownership.maximum_deadline_s
            and not idle
        ):
            return False
        if not (request.settled or self._settled(state, now_s)):
            return False
        # From now on this host knows of every lease.
        state.settled_s = min(state.settled_s, now_s)
        state.grantee = member
        state.granted_until_s = now_s + _DRIFT * self._times.lease_s
        state.blocked_until_s = (
            state.granted_until_s + self._ownership.maximum_deadline_s
        )
        return True

    def _note_gone(self, state: _Service, now_s: float) -> None:
        """Shorten the wait for a grantee whose process has ended."""
        if state.grantee is None or now_s >= state.blocked_until_s:
            return
        if self._members.standing(state.grantee) is membership.Standing.GONE:
            self._end_grant(state, now_s + self._ownership.maximum_deadline_s)

    def _end_grant(self, state: _Service, ended_s: float) -> None:
        state.grantee = None
        state.blocked_until_s = min(state.blocked_until_s, ended_s)

    @property
    def _settle_s(self) -> float:
        """Time after which no lease of an earlier owner can be valid."""
        return (
            2 * _DRIFT * self._times.lease_s
            + self._ownership.maximum_deadline_s
        )

    def _settled(self, state: _Service, now_s: float) -> bool:
        for name, ended_s in list(state.predecessors.items()):
            record = self._members.record(name)
            gone = record is None or (
                record.standing is membership.Standing.GONE
            )
            if gone and ended_s is None:
                self._predecessor_ended(
                    state, name, now_s + self._ownership.maximum_deadline_s
                )
        return (
            now_s >= state.since_s + self._settle_s
            or now_s >= state.settled_s
            or self._starting_alone(state)
        )

    def _starting_alone(self, state: _Service) -> bool:
        """Whether all hosts have just started and no owner came before.

        Hosts count as starting for some time after their first lease, so
        that an owner of an earlier view may hold one.
        """
        ended = None not in state.predecessors.values()
        return self._ownership.starting and ended

    def _unsettle(self, now_s: float) -> None:
        """Assume other owners while this host was in a minority."""
        for state in self._services.values():
            state.since_s = now_s
            state.settled_s = float('inf')
            state.predecessors = {}

    def _predecessor_ended(
        self, state: _Service, name: str, ended_s: float
    ) -> None:
        if name not in state.predecessors:
            return
        state.predecessors[name] = ended_s
        if None not in state.predecessors.values():
            ends = [e for e in state.predecessors.values() if e is not None]
            state.settled_s = max(ends)

    def _second(self, service: str) -> str | None:
        owners = self._ownership.owners[service]
        return owners[1].name if len(owners) > 1 else None


def _same_process(
    one: membership.Member | None, other: membership.Member
) -> bool:
    return one is not None and (
        (one.name, one.incarnation) == (other.name, other.incarnation)
    )
