"""corianderport_tier.process.quota_hosts

What a host knows of the fleet when it divides quotas among the hosts.
"""

import collections.abc
import heapq
import typing

import attrs

from corianderport_tier.process import membership
from corianderport_tier.process import rendezvous

__all__ = [
    'MembershipHosts',
    'QuotaFleet',
    'QuotaHosts',
    'YOUNG_S',
    'first_hosts',
]

# A host that has just started grants nothing for this time, until all hosts
# know it and its predecessor among the owners has stopped granting.
YOUNG_S = 8.0
_MIN_KNOWN_SEEDS = 0.5


@attrs.frozen
class QuotaHosts:
    """Hosts among which quotas are divided.

    ``names`` are the hosts that may be granting tokens, including this one.
    ``dead`` are those of them that do not answer. ``forgotten`` is the
    number of hosts that have not answered for so long that others may have
    taken their place, but may still be granting.
    """

    names: tuple[str, ...]
    dead: frozenset[str] = frozenset()
    forgotten: int = 0

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
    def first_start(self) -> bool:
        """Whether no known host has started much earlier than this one."""


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
    :param young_since: an incarnation that sorts below this text started at
        least ``YOUNG_S`` before this process.
    """

    def __init__(
        self,
        members: membership.Membership,
        sending: collections.abc.Callable[[], tuple[str, ...]],
        joined: collections.abc.Callable[[], bool],
        known_seeds: collections.abc.Callable[[], float],
        young_since: str,
    ) -> None:
        self._members = members
        self._sending = sending
        self._joined = joined
        self._known_seeds = known_seeds
        self._young_since = young_since
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
        """Whether this host has joined the fleet and is not leaving it.

        A host that has started while it was cut off from most of the fleet
        does not know the owners on the other side.
        """
        state = self._members.own.state
        return (
            self._joined()
            and self._known_seeds() > _MIN_KNOWN_SEEDS
            and state is membership.MemberState.LIVE
        )

    @property
    def first_start(self) -> bool:
        """Whether no known host has started much earlier than this one."""
        if self._known_seeds() < 1:
            return False
        view = self._members.view
        return not any(
            '' < m.incarnation < self._young_since
            for m in view.members
            if view.standings[m.name] < membership.Standing.GONE
        )

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
        hosts = QuotaHosts(names, frozenset(dead & listed), len(dead - listed))
        return view, names, hosts
