"""corianderport_tier.process.membership

The hosts that this host believes to be live.
"""

import collections.abc
import enum
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier.process import rumour_queue

__all__ = [
    'Member',
    'MemberState',
    'Membership',
    'MembershipTimes',
    'RegionOf',
    'Rumour',
    'Standing',
    'View',
]

_RUMOURS_FOR_JOINING = 1_000


class MemberState(enum.Enum):
    """State that a host has in the platform's list or announces itself."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Member:
    """One host; ``peer_address`` is ``ip:port``.

    ``incarnation`` is random text for each process start that sorts by
    the time of the start; it is empty when only the host list is known.
    """

    name: str
    data_centre: str
    peer_address: str
    state: MemberState = MemberState.LIVE
    incarnation: str = ''


class Standing(enum.IntEnum):
    """What is believed of a host; the greater one wins.

    ``GONE`` says that its process is known to have ended.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    GONE = 3


@attrs.frozen
class Rumour:
    """What one host believes of another.

    A host raises its own ``refutation`` to override what others believe
    of its incarnation.
    """

    member: Member
    standing: Standing = Standing.ALIVE
    refutation: int = 0

    @property
    def rank(self) -> tuple[str, int, int]:
        """Of two rumours on one host the one of greater rank holds."""
        return (self.member.incarnation, self.refutation, self.standing)


@attrs.frozen
class MembershipTimes:
    """Timing of suspicion, in seconds."""

    suspicion_s: float = 3.0
    # A longer gap between two steps means that the process was paused.
    pause_s: float = 2.5


@attrs.frozen
class View:
    """The members at one moment; ``epoch`` differs between views."""

    epoch: int
    members: tuple[Member, ...]
    live: tuple[Member, ...]
    standings: collections.abc.Mapping[str, Standing]


RegionOf = collections.abc.Callable[[str], str | None]


def _unknown_region(data_centre: str) -> str | None:
    return None


class Membership:
    """Joins the host list with what heartbeats tell.

    :param own: this host with the incarnation of this process.
    :param region_of: region of a data centre, None when unknown. A host
        of another region is never suspected by this one.
    """

    def __init__(
        self,
        own: Member,
        clock: clocks.Clock | None = None,
        region_of: RegionOf = _unknown_region,
        times: MembershipTimes | None = None,
    ) -> None:
        self._clock = clocks.SystemClock() if clock is None else clock
        self._region_of = region_of
        self._times = MembershipTimes() if times is None else times
        self._lock = threading.RLock()
        self._own = Rumour(own)
        self._listed: dict[str, Member] = {}
        self._list_known = False
        self._records: dict[str, Rumour] = {}
        self._ended: dict[str, str] = {}
        self._suspected_s: dict[str, float] = {}
        self._queue = rumour_queue.RumourQueue()
        self._last_step_s = self._clock.monotonic()
        self._doubtful = False
        self._doubtful_since_s = 0.0
        self._stale = False
        self._view = View(0, (own,), (own,), {own.name: Standing.ALIVE})

    @property
    def own(self) -> Member:
        """This host."""
        return self._own.member

    @property
    def own_rumour(self) -> Rumour:
        """What this host says of itself."""
        return self._own

    @property
    def list_known(self) -> bool:
        """Whether a host list has been read."""
        return self._list_known

    @property
    def doubtful(self) -> bool:
        """Whether this host was paused and has not heard others since."""
        with self._lock:
            self._check_pause()
            return self._doubtful

    @property
    def view(self) -> View:
        """The present view."""
        if not self._stale:
            return self._view
        with self._lock:
            if self._stale:
                self._view = self._new_view()
                self._stale = False
            return self._view

    def members(self) -> tuple[Member, ...]:
        """Return all hosts that are listed or heard, by name."""
        return self.view.members

    def live(self) -> tuple[Member, ...]:
        """Return the hosts that serve callers and other hosts."""
        return self.view.live

    def replace(self, members: collections.abc.Iterable[Member]) -> None:
        """Take over a new host list; this host always belongs to it."""
        listed = {member.name: member for member in members}
        with self._lock:
            # An unchanged list must not make a new view, since neighbours
            # and warming hosts are worked out for each view.
            changed = listed != self._listed or not self._list_known
            for name in self._listed.keys() - listed.keys():
                self._forget(name)
            for name, member in listed.items():
                record = self._records.get(name)
                if (
                    record is not None
                    and record.standing >= Standing.DEAD
                    and record.member.peer_address != member.peer_address
                ):
                    # The list names the successor of a dead process.
                    self._forget(name)
                    changed = True
            self._listed = listed
            self._list_known = True
            self._stale = self._stale or changed

    def record(self, name: str) -> Rumour | None:
        """Return what is believed of a host, None when never heard."""
        with self._lock:
            return self._records.get(name)

    def hear(self, rumour: Rumour) -> bool:
        """Take over a rumour when it outranks what is known.

        :return: whether it was new.
        """
        with self._lock:
            if rumour.member.name == self._own.member.name:
                self._refute(rumour)
                return False
            if not self._outranks(rumour):
                return False
            self._store(rumour)
            return True

    def confirm(self, sent_s: float) -> None:
        """Learn that a host replied to a message sent at this time.

        A message that was sent before a pause ended proves nothing.
        """
        with self._lock:
            self._check_pause()
            if sent_s >= self._doubtful_since_s:
                self._doubtful = False

    def suspect(self, member: Member, gone: bool = False) -> None:
        """Learn that a host cannot be reached.

        :param gone: its address answered that no process listens.
        """
        with self._lock:
            self._check_pause()
            if self._doubtful and not gone:
                return
            if not self._same_region(member):
                return
            known = self._records.get(member.name) or Rumour(member)
            if known.member.peer_address != member.peer_address:
                return
            if member.incarnation not in ('', known.member.incarnation):
                return
            standing = Standing.GONE if gone else Standing.SUSPECT
            if standing > known.standing:
                self._store(attrs.evolve(known, standing=standing))

    def step(self) -> None:
        """Turn suspicions that were not refuted in time into deaths.

        To be called about once a second.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            self._check_pause()
            self._last_step_s = now_s
            if self._doubtful:
                # What was not refuted meanwhile may have been refuted in
                # messages that this host did not read.
                self._suspected_s = dict.fromkeys(self._suspected_s, now_s)
                return
            for name, since_s in list(self._suspected_s.items()):
                if now_s - since_s >= self._times.suspicion_s:
                    known = self._records[name]
                    self._store(attrs.evolve(known, standing=Standing.DEAD))

    def leave(self) -> None:
        """Announce that this host is leaving."""
        with self._lock:
            self._announce(state=MemberState.LEAVING)

    def rumours(self, joining: bool = False) -> tuple[Rumour, ...]:
        """Return what to send with one message, most urgent first.

        :param joining: the receiver knows nothing yet.
        """
        with self._lock:
            if joining:
                worst = sorted(
                    self._records.values(), key=_standing, reverse=True
                )
                return tuple(worst[:_RUMOURS_FOR_JOINING])
            names = self._queue.take(lambda n: self._records[n].standing)
            return tuple(self._records[name] for name in names)

    def standing(self, member: Member) -> Standing:
        """Return what is believed of one incarnation of a host."""
        with self._lock:
            record = self._records.get(member.name)
            ended = self._ended.get(member.name, '')
            if member.incarnation and member.incarnation <= ended:
                return Standing.GONE
            if record is None:
                return Standing.ALIVE
            if record.member.incarnation > member.incarnation != '':
                return Standing.GONE
            return record.standing

    def _check_pause(self) -> None:
        now_s = self._clock.monotonic()
        if now_s - self._last_step_s > self._times.pause_s:
            self._last_step_s = now_s
            self._doubtful_since_s = now_s
            self._doubtful = True

    def _outranks(self, rumour: Rumour) -> bool:
        name = rumour.member.name
        incarnation = rumour.member.incarnation
        if incarnation and incarnation <= self._ended.get(name, ''):
            return False
        known = self._records.get(name)
        if known is None:
            return bool(incarnation) or name in self._listed
        return rumour.rank > known.rank

    def _store(self, rumour: Rumour) -> None:
        name = rumour.member.name
        self._records[name] = rumour
        if rumour.standing is Standing.SUSPECT:
            self._suspected_s[name] = self._clock.monotonic()
        else:
            self._suspected_s.pop(name, None)
        hosts = len(self._listed) + len(self._records)
        self._queue.add(name, hosts)
        self._stale = True

    def _forget(self, name: str) -> None:
        record = self._records.pop(name, None)
        self._suspected_s.pop(name, None)
        self._queue.discard(name)
        if record is not None and record.member.incarnation:
            self._ended[name] = record.member.incarnation

    def _refute(self, rumour: Rumour) -> None:
        own = self._own
        if rumour.member.incarnation != own.member.incarnation:
            return
        if rumour.standing > Standing.ALIVE or (
            rumour.refutation > own.refutation
        ):
            if rumour.refutation >= own.refutation:
                self._announce(rumour.refutation)

    def _announce(
        self, beyond: int | None = None, state: MemberState | None = None
    ) -> None:
        own = self._own
        self._own = Rumour(
            attrs.evolve(own.member, state=state or own.member.state),
            refutation=1 + max(own.refutation, beyond or 0),
        )
        self._stale = True

    def _same_region(self, member: Member) -> bool:
        own = self._region_of(self._own.member.data_centre)
        other = self._region_of(member.data_centre)
        return own is None or other is None or own == other

    def _new_view(self) -> View:
        found: dict[str, Member] = {}
        standings: dict[str, Standing] = {}
        for name in self._listed.keys() | self._records.keys():
            record = self._records.get(name)
            listed = self._listed.get(name)
            member = listed if record is None else record.member
            assert member is not None
            if listed is not None and listed.state is MemberState.LEAVING:
                member = attrs.evolve(member, state=MemberState.LEAVING)
            found[name] = member
            standings[name] = (
                Standing.ALIVE if record is None else record.standing
            )
        own = self._own.member
        found[own.name] = attrs.evolve(
            own, state=self._listed.get(own.name, own).state
        )
        if own.state is MemberState.LEAVING:
            found[own.name] = own
        standings[own.name] = Standing.ALIVE
        members = tuple(found[name] for name in sorted(found))
        return View(
            epoch=self._view.epoch + 1,
            members=members,
            live=tuple(
                m
                for m in members
                if m.state is MemberState.LIVE
                and standings[m.name] <= Standing.SUSPECT
            ),
            standings=standings,
        )


def _standing(rumour: Rumour) -> int:
    return rumour.standing
