"""corianderport_tier.process.heartbeats

The message that hosts exchange periodically, and its receiver.
"""

import collections.abc
import typing

import attrs

from corianderport_tier.process import membership
from corianderport_tier.process import ownership_types

__all__ = [
    'Heartbeat',
    'HeartbeatExchange',
    'LeaseExchange',
    'NoLeases',
    'VersionHeard',
]

VersionHeard = collections.abc.Callable[[membership.Member, int], None]


@attrs.frozen
class Heartbeat:
    """A heartbeat or its reply.

    ``version`` is the sender's configuration version, 0 for none.
    ``leases_granted`` is set in replies, by service.
    """

    sender: membership.Rumour
    version: int
    rumours: tuple[membership.Rumour, ...] = ()
    lease_requests: tuple[ownership_types.LeaseRequest, ...] = ()
    leases_granted: tuple[str, ...] = ()
    leases_released: tuple[ownership_types.LeaseRequest, ...] = ()
    joining: bool = False
    established: bool = True


class LeaseExchange(typing.Protocol):
    """What heartbeats carry for the leases of services."""

    @property
    def established(self) -> bool:
        """Whether this host has been an owner."""

    def requests(
        self, member: membership.Member
    ) -> tuple[ownership_types.LeaseRequest, ...]:
        """Return the leases to ask a host for."""

    def releases(
        self, member: membership.Member
    ) -> tuple[ownership_types.LeaseRequest, ...]:
        """Return the leases that a host is told to be free."""

    def released(
        self,
        member: membership.Member,
        releases: collections.abc.Iterable[ownership_types.LeaseRequest],
    ) -> None:
        """Learn that a host gave leases up."""

    def grant(
        self,
        member: membership.Member,
        requests: collections.abc.Iterable[ownership_types.LeaseRequest],
    ) -> tuple[str, ...]:
        """Return the services whose leases a host may have."""

    def granted(
        self,
        member: membership.Member,
        services: collections.abc.Iterable[str],
        asked_s: float,
    ) -> None:
        """Learn which requested leases a host agreed to."""


class NoLeases:
    """Hosts that all send to all searchers need no leases."""

    established = True

    def requests(
        self, member: membership.Member
    ) -> tuple[ownership_types.LeaseRequest, ...]:
        """Return none."""
        return ()

    def releases(
        self, member: membership.Member
    ) -> tuple[ownership_types.LeaseRequest, ...]:
        """Return none."""
        return ()

    def released(
        self,
        member: membership.Member,
        releases: collections.abc.Iterable[ownership_types.LeaseRequest],
    ) -> None:
        """Ignore them."""

    def grant(
        self,
        member: membership.Member,
        requests: collections.abc.Iterable[ownership_types.LeaseRequest],
    ) -> tuple[str, ...]:
        """Return none."""
        return ()

    def granted(
        self,
        member: membership.Member,
        services: collections.abc.Iterable[str],
        asked_s: float,
    ) -> None:
        """Ignore them."""


class HeartbeatExchange:
    """Builds heartbeats and takes those of others.

    :param version: returns the version in force, 0 for none.
    :param version_heard: is told of the version of each sender.
    """

    def __init__(
        self,
        members: membership.Membership,
        held: LeaseExchange,
        version: collections.abc.Callable[[], int],
        version_heard: VersionHeard,
    ) -> None:
        self._members = members
        self._leases = held
        self._version = version
        self._version_heard = version_heard

    def message(self, to: membership.Member, joining: bool) -> Heartbeat:
        """Return a heartbeat for a host."""
        return Heartbeat(
            sender=self._members.own_rumour,
            version=self._version(),
            rumours=self._rumours(to, False),
            lease_requests=self._leases.requests(to),
            leases_released=self._leases.releases(to),
            joining=joining,
            established=self._leases.established,
        )

    def receive(self, heartbeat: Heartbeat) -> Heartbeat:
        """Take a heartbeat and return the reply."""
        self._hear(heartbeat)
        sender = heartbeat.sender.member
        self._leases.released(sender, heartbeat.leases_released)
        return Heartbeat(
            sender=self._members.own_rumour,
            version=self._version(),
            rumours=self._rumours(sender, heartbeat.joining),
            established=self._leases.established,
            leases_granted=self._leases.grant(
                sender, heartbeat.lease_requests
            ),
        )

    def replied(self, reply: Heartbeat, sent_s: float) -> None:
        """Take the reply to a heartbeat that was built at a time."""
        self._members.confirm(sent_s)
        self._hear(reply)
        self._leases.granted(reply.sender.member, reply.leases_granted, sent_s)

    def _hear(self, heartbeat: Heartbeat) -> None:
        self._members.hear(heartbeat.sender)
        self._members.note_established(
            heartbeat.sender.member, heartbeat.established
        )
        for rumour in heartbeat.rumours:
            self._members.hear(rumour)
        self._version_heard(heartbeat.sender.member, heartbeat.version)

    def _rumours(
        self, receiver: membership.Member, joining: bool
    ) -> tuple[membership.Rumour, ...]:
        found = self._members.rumours(joining)
        own_view = self._members.record(receiver.name)
        if (
            own_view is not None
            and own_view.standing > membership.Standing.ALIVE
            and own_view not in found
        ):
            # Gives the receiver the chance to refute it.
            found = (*found, own_view)
        return found
