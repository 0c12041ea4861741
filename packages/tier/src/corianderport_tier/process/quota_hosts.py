"""corianderport_tier.process.quota_hosts

What a host knows of the fleet when it divides quotas among the hosts.
"""

import collections.abc
import heapq
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier.process import membership
from corianderport_tier.process import rendezvous

__all__ = [
    'MAX_SKEW_S',
    'MembershipHosts',
    'QuotaFleet',
    'QuotaHosts',
    'TOGETHER_S',
    'YOUNG_S',
    'first_hosts',
]

# A host that has just started grants nothing for this time, until all hosts
# know it and its predecessor among the owners has stopped granting.
YOUNG_S = 8.0
# Hosts that start within this time of each other, as after a loss of power,
# may grant earlier.
TOGETHER_S = 4.0
# Greatest difference of two hosts' clocks with which they do.
MAX_SKEW_S = 1.0
_MIN_KNOWN_SEEDS = 0.5


@attrs.frozen
class QuotaHosts:
    """Hosts among which quotas are divided.

    ``names`` are the hosts that may be granting tokens, including this one.
    ``dead`` are those of them that do not answer. ``forgotten`` is the
    number of hosts that have not answered for so long that others may have
    taken their place, but may still be granting. ``late`` are hosts that have
    started so long after this one that they do not grant before all know them.
    """

    names: tuple[str, ...]
    dead: frozenset[str] = frozenset()
    forgotten: int = 0
    late: frozenset[str] = frozenset()

    @property
    def known_fraction(self) -> float:
        """Fraction of the fleet that is in ``names``."""
        return len(self.names) / (len(self.names) + self.forgotten)


class QuotaFleet(typing.Protocol):
    """This host's knowledge of the fleet."""

    @property
    def hosts(self) -> QuotaHosts:
        """The hosts; the same object until something changes."""

    @property
    def serving(self) -> bool:
        """Whether this host has joined the fleet and is not leaving it."""

    @property
    def connected(self) -> bool:
        """Whether this host has found the fleet."""

    @property
    def first_start(self) -> bool:
        """Whether no known host has started much earlier than this one."""

    @property
    def all_young(self) -> bool:
        """Whether all known hosts are certainly younger than ``YOUNG_S``."""

    @property
    def confirmed(self) -> bool:
        """Whether ``hosts`` has all hosts that also rely on being known.

        Two hosts for which this is true know each other.
        """

    @property
    def grants_in_s(self) -> float:
        """Time after which hosts that started with this one may grant."""


def first_hosts(
    key: str, names: collections.abc.Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the first hosts in rendezvous order."""
    return tuple(
        heapq.nlargest(count, names, key=lambda n: rendezvous.weight(key, n))
    )


class MembershipHosts:
    """Implements ``QuotaFleet`` with the membership of the fleet.

    :param sending: returns the names of the hosts that may be sending.
    :param joined: returns whether this host has joined the fleet.
    :param known_seeds: returns the fraction of the seeds that are known, or
        known not to run.
    :param confirmed_in_s: returns the time after which the names may have
        all hosts that also rely on being known, 0 if they have.
    :param started_s: returns the start time of an incarnation, in seconds
        since the Unix epoch.
    """

    def __init__(
        self,
        members: membership.Membership,
        sending: collections.abc.Callable[[], tuple[str, ...]],
        joined: collections.abc.Callable[[], bool],
        known_seeds: collections.abc.Callable[[], float],
        confirmed_in_s: collections.abc.Callable[[], float],
        started_s: collections.abc.Callable[[str], float],
        clock: clocks.Clock,
    ) -> None:
        self._members = members
        self._sending = sending
        self._joined = joined
        self._known_seeds = known_seeds
        self._confirmed_in_s = confirmed_in_s
        self._started_s = started_s
        self._clock = clock
        self._own_started_s = started_s(members.own.incarnation)
        # The first and the last start in a view.
        self._starts_of: tuple[membership.View | None, tuple[float, float]] = (
            None,
            (0.0, 0.0),
        )
        # The view and the names for which the hosts were built. Tasks read
        # them without a lock, so they are replaced as a whole.
        self._built: tuple[membership.View, tuple[str, ...], QuotaHosts]
        self._built = self._build(members.view, sending())

    @property
    def hosts(self) -> QuotaHosts:
        """The hosts; the same object until something changes."""
        view, names = self._members.view, self._sending()
        if self._built[0] is not view or self._built[1] is not names:
            self._built = self._build(view, names)
        return self._built[2]

    @property
    def serving(self) -> bool:
        """Whether this host has joined the fleet and is not leaving it."""
        state = self._members.own.state
        return (
            (self._joined() or self.confirmed)
            and self.connected
            and state is membership.MemberState.LIVE
        )

    @property
    def connected(self) -> bool:
        """Whether this host has found the fleet.

        A host that has started while it was cut off from most of the fleet
        does not know the owners on the other side.
        """
        return self._known_seeds() > _MIN_KNOWN_SEEDS

    @property
    def first_start(self) -> bool:
        """Whether no known host has started much earlier than this one."""
        if self._known_seeds() < 1:
            return False
        earliest_s = self._own_started_s - TOGETHER_S
        return self._starts()[0] >= earliest_s

    @property
    def all_young(self) -> bool:
        """Whether all known hosts are certainly younger than ``YOUNG_S``."""
        now_s = self._clock.time()
        earliest_s, latest_s = self._starts()
        return (
            now_s - YOUNG_S + MAX_SKEW_S <= earliest_s
            and latest_s <= now_s + MAX_SKEW_S
        )

    @property
    def confirmed(self) -> bool:
        """Whether ``hosts`` has all hosts that also rely on being known."""
        return self._confirmed_in_s() <= 0

    @property
    def grants_in_s(self) -> float:
        """Time after which hosts that started with this one may grant."""
        if self._clock.time() - self._own_started_s >= YOUNG_S:
            return 0.0
        return self._confirmed_in_s()

    def _starts(self) -> tuple[float, float]:
        """Return the first and the last start of hosts that may be running."""
        view = self._members.view
        if self._starts_of[0] is not view:
            starts = [
                self._started_s(m.incarnation)
                for m in view.members
                if view.standings[m.name] < membership.Standing.GONE
                and m.incarnation
            ]
            first_s = min(starts, default=0.0)
            self._starts_of = (view, (first_s, max(starts, default=0.0)))
        return self._starts_of[1]

    def _build(
        self, view: membership.View, names: tuple[str, ...]
    ) -> tuple[membership.View, tuple[str, ...], QuotaHosts]:
        listed = set(names)
        dead = {
            m.name
            for m in view.members
            if view.standings[m.name] is membership.Standing.DEAD
            and m.state is membership.MemberState.LIVE
        }
        latest_s = self._own_started_s + TOGETHER_S + MAX_SKEW_S
        late = frozenset(
            m.name
            for m in view.members
            if m.incarnation and self._started_s(m.incarnation) > latest_s
        )
        hosts = QuotaHosts(
            names, frozenset(dead & listed), len(dead - listed), late
        )
        return view, names, hosts
