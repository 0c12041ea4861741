"""corianderport_tier.process.heartbeats

The heartbeat messages that hosts exchange periodically.
"""

import collections.abc

import attrs

from corianderport_tier.process import membership

__all__ = ['Heartbeat', 'HeartbeatExchange', 'VersionCallback']

# A reply with more changes is incomplete, as is that to a joining host.
_MAX_CHANGES = 1_000

VersionCallback = collections.abc.Callable[[membership.Member, int], None]


@attrs.frozen
class Heartbeat:
    """A heartbeat or the reply to one.

    ``version`` is the sender's configuration version, 0 for none.
    ``joining`` requests everything that the receiver knows about other
    hosts. ``known_change`` requests all rumours that the receiver has stored
    after this change of its own, and ``last_change`` of the reply is the
    last change that it includes.
    """

    sender: membership.Rumour
    version: int
    rumours: tuple[membership.Rumour, ...] = ()
    joining: bool = False
    known_change: int | None = None
    last_change: int | None = None


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

    def build_query(self, known_change: int) -> Heartbeat:
        """Return a heartbeat that asks for what has changed.

        It has no rumours, since it is sent so often that their limited
        number of sends would be used up.

        :param known_change: number of the receiver's last change that is
            known, 0 for none.
        """
        return Heartbeat(
            sender=self._members.own_rumour,
            version=self._version(),
            known_change=known_change,
        )

    def receive(self, heartbeat: Heartbeat) -> Heartbeat:
        """Process a heartbeat and return the reply."""
        self._apply(heartbeat)
        if heartbeat.known_change is not None:
            return self._changes(heartbeat.known_change)
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

    def _changes(self, known_change: int) -> Heartbeat:
        last_change, rumours = self._members.changes(known_change)
        complete = len(rumours) <= _MAX_CHANGES
        return Heartbeat(
            sender=self._members.own_rumour,
            version=self._version(),
            rumours=rumours[:_MAX_CHANGES],
            last_change=last_change if complete else None,
        )

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
