"""corianderport_tier.process.members

The data of the membership: hosts, their standing, rumours and views.
"""

import collections.abc
import enum

import attrs

__all__ = ['Member', 'MemberState', 'Rumour', 'Standing', 'View']


class MemberState(enum.Enum):
    """State of a host in the platform's list or as the host announces it."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Member:
    """One host; ``peer_address`` is ``ip:port``.

    ``incarnation`` is a random text that identifies a process start and sorts
    by start time. It is empty if only the host list contains the host.
    ``link_bytes_s`` is the capacity of the host's link in bytes per second,
    as the host states it; 0 if that is unknown.
    """

    name: str
    data_centre: str
    peer_address: str
    state: MemberState = MemberState.LIVE
    incarnation: str = ''
    link_bytes_s: float = 0.0


class Standing(enum.IntEnum):
    """Assumed liveness of a host; the greater value takes precedence.

    ``GONE`` means that the host's process is known to have ended.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    GONE = 3


@attrs.frozen
class Rumour:
    """A statement about one host that hosts pass on to each other.

    A host increases its own ``refutation`` to override the rumours about
    its incarnation.
    """

    member: Member
    standing: Standing = Standing.ALIVE
    refutation: int = 0

    @property
    def rank(self) -> tuple[str, int, int]:
        """Rank among rumours about one host; the greatest takes precedence."""
        return (self.member.incarnation, self.refutation, self.standing)


@attrs.frozen
class View:
    """An immutable snapshot of the members; each has its own ``epoch``."""

    epoch: int
    members: tuple[Member, ...]
    live: tuple[Member, ...]
    standings: collections.abc.Mapping[str, Standing]
