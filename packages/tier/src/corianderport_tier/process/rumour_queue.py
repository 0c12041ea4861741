"""corianderport_tier.process.rumour_queue

Queue of membership rumours to piggyback on outgoing gossip messages.
"""

import collections.abc

__all__ = ['RumourQueue']

_RUMOURS_PER_MESSAGE = 8
# Number of times that a rumour is sent, per doubling of the fleet size.
_SENDS_PER_DOUBLING = 3
# A rumour that comes back has spread already. Each copy received replaces one
# send, so that a rumour ends once most hosts know it; a larger number ends
# rumours before all hosts do.
_SENDS_SAVED_BY_DUPLICATE = 1


class RumourQueue:
    """Hosts with pending rumours and the remaining sends of each."""

    def __init__(self) -> None:
        self._sends: dict[str, int] = {}

    def add(self, name: str, hosts: int) -> None:
        """Queue the rumour about a host.

        :param hosts: size of the fleet that the rumour must reach.
        """
        self._sends[name] = _SENDS_PER_DOUBLING * hosts.bit_length()

    def discard(self, name: str) -> None:
        """Stop sending rumours about a host."""
        self._sends.pop(name, None)

    def received_again(self, name: str) -> None:
        """Send a rumour less often, as another host sends it too."""
        if name in self._sends:
            self._count_send(name, _SENDS_SAVED_BY_DUPLICATE)

    def take(self, urgency: collections.abc.Callable[[str], int]) -> list[str]:
        """Return the hosts to include in one message, most urgent first.

        :param urgency: returns the priority of a host; higher goes first.
        """
        names = sorted(
            self._sends,
            key=lambda n: (urgency(n), self._sends[n], n),
            reverse=True,
        )[:_RUMOURS_PER_MESSAGE]
        for name in names:
            self._count_send(name, 1)
        return names

    def _count_send(self, name: str, sends: int) -> None:
        self._sends[name] -= sends
        if self._sends[name] <= 0:
            del self._sends[name]
