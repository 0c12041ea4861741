"""corianderport_tier.process.rumour_queue

Which rumours about hosts go out with the next message.
"""

import collections.abc

__all__ = ['RumourQueue']

_RUMOURS_PER_MESSAGE = 8
# A rumour is sent on this many times for each doubling of the fleet.
_SENDS_PER_DOUBLING = 3


class RumourQueue:
    """The hosts whose rumours are still to be sent, and how often."""

    def __init__(self) -> None:
        self._sends: dict[str, int] = {}

    def add(self, name: str, hosts: int) -> None:
        """Send the rumour about a host on.

        :param hosts: size of the fleet that it has to reach.
        """
        self._sends[name] = _SENDS_PER_DOUBLING * hosts.bit_length()

    def discard(self, name: str) -> None:
        """Send nothing more about a host."""
        self._sends.pop(name, None)

    def take(self, urgency: collections.abc.Callable[[str], int]) -> list[str]:
        """Return the hosts to tell of in one message, most urgent first.

        :param urgency: the greater one goes first.
        """
        names = sorted(
            self._sends,
            key=lambda n: (urgency(n), self._sends[n], n),
            reverse=True,
        )[:_RUMOURS_PER_MESSAGE]
        for name in names:
            self._sends[name] -= 1
            if self._sends[name] <= 0:
                del self._sends[name]
        return names
