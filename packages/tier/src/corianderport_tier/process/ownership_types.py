"""corianderport_tier.process.ownership_types

Types of ownership and its leases, without behaviour.
"""

import collections.abc
import enum
import typing

import attrs

from corianderport_tier.process import membership

__all__ = [
    'AlwaysFull',
    'IdleService',
    'LeaseCheck',
    'LeaseRequest',
    'LeaseState',
    'LeaseTimes',
    'Ownership',
    'WarmSearchers',
]


WarmSearchers = collections.abc.Callable[[str], tuple[str, ...]]
IdleService = collections.abc.Callable[[str], bool]


class LeaseState(enum.Enum):
    """What this host may send to the searchers of a service.

    ``RESTRICTED`` allows only searchers that are warm, at half their
    limit; ``NONE`` allows nothing.
    """

    FULL = 'full'
    RESTRICTED = 'restricted'
    NONE = 'none'


class LeaseCheck(typing.Protocol):
    """Says what an owner may send now."""

    def may_send(self, service: str) -> LeaseState:
        """Return what may be sent to the searchers of a service."""

    def term(self, service: str) -> int:
        """Return a number that changes when ownership was interrupted.

        What is known of the searchers from an earlier term is outdated.
        """

    def inherited(self, service: str) -> frozenset[str]:
        """Return the searchers that were warm for the earlier owner."""


class AlwaysFull:
    """Lets a host send that is the only one."""

    def may_send(self, service: str) -> LeaseState:
        """Return ``FULL``."""
        return LeaseState.FULL

    def term(self, service: str) -> int:
        """Return the same number always."""
        return 0

    def inherited(self, service: str) -> frozenset[str]:
        """Return no searcher."""
        return frozenset()


@attrs.frozen
class LeaseRequest:
    """A first owner's wish for a lease.

    ``settled`` says that it has been an owner for so long that no lease
    which it does not know of can be valid; of a service that is given up,
    that nothing is in flight. ``warm`` names the searchers
    that a next owner may send to before its lease begins.
    """

    service: str
    settled: bool = False
    warm: tuple[str, ...] = ()


@attrs.frozen
class LeaseTimes:
    """Duration of a lease, in seconds."""

    lease_s: float = 3.0


@attrs.frozen
class Ownership:
    """The owners in the present view, by service, the first one first.

    :param majority: whether more than half of the region's hosts are
        believed live.
    :param starting: whether each of the region's hosts is reached and has
        started only just now, so that no earlier owner can exist.
    :param maximum_deadline_s: longest time that a request may run.
    """

    owners: collections.abc.Mapping[str, tuple[membership.Member, ...]]
    majority: bool = True
    starting: bool = False
    maximum_deadline_s: float = 0.5
