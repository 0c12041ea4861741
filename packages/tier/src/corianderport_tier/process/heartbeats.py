"""corianderport_tier.process.heartbeats

The heartbeat messages that hosts exchange periodically.
"""

import collections.abc

import attrs

from corianderport_tier.process import membership

__all__ = ['Heartbeat', 'HeartbeatExchange', 'VersionCallback']

VersionCallback = collections.abc.Callable[[membership.Member, int], None]


@attrs.frozen
class Heartbeat:
    """A heartbeat or the reply to one.

    ``version`` is the sender's configuration version, 0 for none.
    ``joining`` requests everything that the receiver knows about other
    hosts.
    """

    sender: membership.Rumour
    version: int
    rumours: tuple[membership.Rumour, ...] = ()
    joining: bool = False


class HeartbeatExchange:
    """Builds heartbeats and processes those of other hosts.

    :param version: returns the version in force, 0 for none.
    :param on_version: called with each sender and its version.
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

    def build(self, to: membership.Member, joining: bool) -> Heartbeat:
        """Return a heartbeat to send to a host."""
        return Heartbeat(
            sender=self._members.own_rumour,
            version=self._version(),
            rumours=self._rumours(to, False),
            joining=joining,
        )

    def receive(self, heartbeat: Heartbeat) -> Heartbeat:
        """Process a heartbeat and return the reply."""
        self._apply(heartbeat)
        sender = heartbeat.sender.member
        return Heartbeat(
            sender=self._members.own_rumour,
            version=self._version(),
            rumours=self._rumours(sender, heartbeat.joining),
        )

    def on_reply(self, reply: Heartbeat, sent_s: float) -> None:
        """Process the reply to a heartbeat.

        :param sent_s: time at which the heartbeat was built.
        """
        self._members.on_reply(sent_s)
        self._apply(reply)

    def _apply(self, heartbeat: Heartbeat) -> None:
        self._members.apply(heartbeat.sender)
        for rumour in heartbeat.rumours:
            self._members.apply(rumour)
        self._on_version(heartbeat.sender.member, heartbeat.version)

    def _rumours(
        self, receiver: membership.Member, joining: bool
    ) -> tuple[membership.Rumour, ...]:
        rumours = self._members.rumours(joining)
        rumour_about_receiver = self._members.rumour_about(receiver.name)
        if (
            rumour_about_receiver is not None
            and rumour_about_receiver.standing > membership.Standing.ALIVE
            and rumour_about_receiver not in rumours
        ):
            # The receiver can refute a rumour only if it gets it.
            rumours = (*rumours, rumour_about_receiver)
        return rumours
