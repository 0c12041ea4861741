"""corianderport_tier.process.heartbeats

The message that hosts exchange periodically, and its receiver.
"""

import collections.abc

import attrs

from corianderport_tier.process import membership

__all__ = ['Heartbeat', 'HeartbeatExchange', 'VersionCallback']

VersionCallback = collections.abc.Callable[[membership.Member, int], None]


@attrs.frozen
class Heartbeat:
    """A heartbeat or its reply.

    ``version`` is the sender's configuration version, 0 for none;
    ``joining`` asks for all that the receiver knows of other hosts.
    """

    sender: membership.Rumour
    version: int
    rumours: tuple[membership.Rumour, ...] = ()
    joining: bool = False


class HeartbeatExchange:
    """Builds heartbeats and takes those of others.

    :param version: returns the version in force, 0 for none.
    :param on_version: is told of the version of each sender.
    """

    def __init__(
        self,
        members: membership.Membership,
        version: collections.abc.Callable[[], int],
        on_version: VersionCallback,
    ) -> None:
        self._members = members
        self._version = version
        self._on_version = on_version

    def message(self, to: membership.Member, joining: bool) -> Heartbeat:
        """Return a heartbeat for a host."""
        return Heartbeat(
            sender=self._members.own_rumour,
            version=self._version(),
            rumours=self._rumours(to, False),
            joining=joining,
        )

    def receive(self, heartbeat: Heartbeat) -> Heartbeat:
        """Take a heartbeat and return the reply."""
        self._hear(heartbeat)
        sender = heartbeat.sender.member
        return Heartbeat(
            sender=self._members.own_rumour,
            version=self._version(),
            rumours=self._rumours(sender, heartbeat.joining),
        )

    def replied(self, reply: Heartbeat, sent_s: float) -> None:
        """Take the reply to a heartbeat that was built at a time."""
        self._members.confirm(sent_s)
        self._hear(reply)

    def _hear(self, heartbeat: Heartbeat) -> None:
        self._members.hear(heartbeat.sender)
        for rumour in heartbeat.rumours:
            self._members.hear(rumour)
        self._on_version(heartbeat.sender.member, heartbeat.version)

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
