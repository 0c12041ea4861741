"""corianderport_tier.process.membership

Membership of the hosts, from the host list and from gossip.
"""

import collections.abc
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier.process import members as data
from corianderport_tier.process import pause_detector
from corianderport_tier.process import rumour_changes
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

_MAX_RUMOURS_FOR_JOINING = 1_000

# Other modules use these types through this module.
Member = data.Member
MemberState = data.MemberState
Rumour = data.Rumour
Standing = data.Standing
View = data.View


@attrs.frozen
class MembershipTimes:
    """Timing of failure detection in seconds."""

    suspicion_s: float = 3.0
    # A longer interval between two steps means that the process was paused.
    pause_s: float = 2.5


RegionOf = collections.abc.Callable[[str], str | None]


def _unknown_region(data_centre: str) -> str | None:
    return None


class Membership:
    """Combines the host list with the rumours in heartbeats.

    :param own: this host with the incarnation of this process.
    :param region_of: returns the region of a data centre, None if unknown.
        This host never suspects a host of another region.
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
        self._ended_incarnations: dict[str, str] = {}
        self._suspected_s: dict[str, float] = {}
        self._queue = rumour_queue.RumourQueue()
        self._changes = rumour_changes.RumourChanges()
        self._pauses = pause_detector.PauseDetector(
            self._clock, self._times.pause_s
        )
        self._view_stale = False
        self._view = View(0, (own,), (own,), {own.name: Standing.ALIVE})

    @property
    def own(self) -> Member:
        """This host."""
        return self._own.member

    @property
    def own_rumour(self) -> Rumour:
        """The rumour that this host sends about itself."""
        return self._own

    @property
    def list_known(self) -> bool:
        """Whether a host list has been received."""
        return self._list_known

    @property
    def awaiting_reply(self) -> bool:
        """Whether this host was paused and has had no reply since."""
        with self._lock:
            return self._pauses.awaiting_reply

    @property
    def view(self) -> View:
        """The current view."""
        if not self._view_stale:
            return self._view
        with self._lock:
            if self._view_stale:
                self._view = self._new_view()
                self._view_stale = False
            return self._view

    def members(self) -> tuple[Member, ...]:
        """Return the hosts of the host list and of rumours, sorted by name."""
        return self.view.members

    def live(self) -> tuple[Member, ...]:
        """Return the live hosts, which serve callers and other hosts."""
        return self.view.live

    def replace(self, members: collections.abc.Iterable[Member]) -> None:
        """Replace the host list; this host is always a member."""
        listed = {member.name: member for member in members}
        with self._lock:
            # An unchanged list must not create a new view, since neighbours
            # and warming hosts are recomputed for each view.
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
                    # The list contains the successor of a dead process.
                    self._forget(name)
                    changed = True
            self._listed = listed
            self._list_known = True
            self._view_stale = self._view_stale or changed

    def rumour_about(self, name: str) -> Rumour | None:
        """Return the rumour about a host, None if there is none."""
        with self._lock:
            return self._records.get(name)

    def apply(self, rumour: Rumour) -> bool:
        """Store a rumour if it outranks the known one.

        :return: whether it was stored.
        """
        with self._lock:
            if rumour.member.name == self._own.member.name:
                self._refute(rumour)
                return False
            if not self._outranks(rumour):
                if self._records.get(rumour.member.name) == rumour:
                    self._queue.received_again(rumour.member.name)
                return False
            self._store(rumour)
            return True

    def on_reply(self, sent_s: float) -> None:
        """Handle the reply to a message that was sent at ``sent_s``."""
        with self._lock:
            self._pauses.on_reply(sent_s)

    def suspect(self, member: Member, gone: bool = False) -> None:
        """Handle a failure to reach a host.

        :param gone: whether its address refused the connection, so that no
            process listens there.
        """
        with self._lock:
            if self._pauses.awaiting_reply and not gone:
                return
            if not self._same_region(member):
                return
            record = self._records.get(member.name) or Rumour(member)
            if record.member.peer_address != member.peer_address:
                return
            if member.incarnation not in ('', record.member.incarnation):
                return
            standing = Standing.GONE if gone else Standing.SUSPECT
            if standing > record.standing:
                self._store(attrs.evolve(record, standing=standing))

    def step(self) -> None:
        """Declare hosts dead whose suspicion was not refuted in time.

        Must be called about once a second.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            if self._pauses.on_step():
                # Refutations may have been sent during the pause, when this
                # host did not read messages.
                self._suspected_s = dict.fromkeys(self._suspected_s, now_s)
                return
            for name, since_s in list(self._suspected_s.items()):
                if now_s - since_s >= self._times.suspicion_s:
                    record = self._records[name]
                    self._store(attrs.evolve(record, standing=Standing.DEAD))

    def leave(self) -> None:
        """Announce that this host is leaving."""
        with self._lock:
            self._announce(state=MemberState.LEAVING)

    def rumours(self, joining: bool = False) -> tuple[Rumour, ...]:
        """Return the rumours to send with one message, most urgent first.

        :param joining: whether the receiver has just started and needs all
            rumours.
        """
        with self._lock:
            if joining:
                worst = sorted(
                    self._records.values(), key=_standing, reverse=True
                )
                return tuple(worst[:_MAX_RUMOURS_FOR_JOINING])
            names = self._queue.take(lambda n: self._records[n].standing)
            return tuple(self._records[name] for name in names)

    def changes(self, after: int) -> tuple[int, tuple[Rumour, ...]]:
        """Return the rumours stored after a change, and the last change.

        :param after: number of the change, 0 for all rumours.
        """
        with self._lock:
            names = self._changes.after(after)
            rumours = tuple(self._records[name] for name in names)
            return self._changes.last, rumours

    def standing(self, member: Member) -> Standing:
        """Return the standing of one incarnation of a host."""
        with self._lock:
            record = self._records.get(member.name)
            ended = self._ended_incarnations.get(member.name, '')
            if member.incarnation and member.incarnation <= ended:
                return Standing.GONE
            if record is None:
                return Standing.ALIVE
            if record.member.incarnation > member.incarnation != '':
                return Standing.GONE
            return record.standing

    def _outranks(self, rumour: Rumour) -> bool:
        name = rumour.member.name
        incarnation = rumour.member.incarnation
        if incarnation and incarnation <= self._ended_incarnations.get(
            name, ''
        ):
            return False
        record = self._records.get(name)
        if record is None:
            return bool(incarnation) or name in self._listed
        return rumour.rank > record.rank

    def _store(self, rumour: Rumour) -> None:
        name = rumour.member.name
        self._records[name] = rumour
        if rumour.standing is Standing.SUSPECT:
            self._suspected_s[name] = self._clock.monotonic()
        else:
            self._suspected_s.pop(name, None)
        hosts = len(self._listed) + len(self._records)
        self._queue.add(name, hosts)
        self._changes.note(name)
        self._view_stale = True

    def _forget(self, name: str) -> None:
        record = self._records.pop(name, None)
        self._suspected_s.pop(name, None)
        self._queue.discard(name)
        self._changes.discard(name)
        if record is not None and record.member.incarnation:
            self._ended_incarnations[name] = record.member.incarnation

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
        self,
        known_refutation: int | None = None,
        state: MemberState | None = None,
    ) -> None:
        own = self._own
        self._own = Rumour(
            attrs.evolve(own.member, state=state or own.member.state),
            refutation=1 + max(own.refutation, known_refutation or 0),
        )
        self._view_stale = True

    def _same_region(self, member: Member) -> bool:
        own = self._region_of(self._own.member.data_centre)
        other = self._region_of(member.data_centre)
        return own is None or other is None or own == other

    def _new_view(self) -> View:
        by_name: dict[str, Member] = {}
        standings: dict[str, Standing] = {}
        for name in self._listed.keys() | self._records.keys():
            record = self._records.get(name)
            listed = self._listed.get(name)
            member = listed if record is None else record.member
            assert member is not None
            if listed is not None and listed.state is MemberState.LEAVING:
                member = attrs.evolve(member, state=MemberState.LEAVING)
            by_name[name] = member
            standings[name] = (
                Standing.ALIVE if record is None else record.standing
            )
        own = self._own.member
        by_name[own.name] = attrs.evolve(
            own, state=self._listed.get(own.name, own).state
        )
        if own.state is MemberState.LEAVING:
            by_name[own.name] = own
        standings[own.name] = Standing.ALIVE
        members = tuple(by_name[name] for name in sorted(by_name))
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
