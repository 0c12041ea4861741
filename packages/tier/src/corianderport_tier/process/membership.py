"""corianderport_tier.process.membership

The hosts that this host believes to be live.
"""

import collections.abc
import enum
import threading

import attrs

__all__ = ['Member', 'MemberState', 'Membership']


class MemberState(enum.Enum):
    """State of a host in the platform's host list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Member:
    """One host; ``peer_address`` is ``ip:port``."""

    name: str
    data_centre: str
    peer_address: str
    state: MemberState = MemberState.LIVE


class Membership:
    """The present view of the hosts, replaced as a whole."""

    def __init__(self, own: Member) -> None:
        self._own = own
        self._lock = threading.Lock()
        self._members: dict[str, Member] = {own.name: own}

    @property
    def own(self) -> Member:
        """This host."""
        return self._own

    def replace(self, members: collections.abc.Iterable[Member]) -> None:
        """Take over a new host list; this host always belongs to it."""
        view = {member.name: member for member in members}
        view.setdefault(self._own.name, self._own)
        with self._lock:
            self._members = view

    def members(self) -> tuple[Member, ...]:
        """Return all listed hosts, by name."""
        with self._lock:
            view = self._members
        return tuple(view[name] for name in sorted(view))

    def live(self) -> tuple[Member, ...]:
        """Return the hosts that may own services."""
        return tuple(m for m in self.members() if m.state is MemberState.LIVE)
