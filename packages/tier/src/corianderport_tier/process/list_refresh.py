"""corianderport_tier.process.list_refresh

Decides when a host asks another one for all rumours.
"""

from corianderport_tier import clocks

__all__ = ['ListRefresh']

# A rumour has up to 120 bytes, so that lists take at most 4.8 KB of the bytes
# that a host receives in a second.
_S_PER_HOST = 0.025
# Lists repair what rumours miss after the loss of many hosts; the last host
# learns of the loss later if they are rarer.
_MIN_PERIOD_S = 3.0
# A list with fewer rumours than this and than half of the known hosts is that
# of a host that has just started.
_LONG_LIST = 500


class ListRefresh:
    """Times of the replies with all rumours that this host has received.

    A rumour may end before it has reached all hosts, so that a host asks for
    all of them now and then. Tasks set the time without a lock.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._received_s = float('-inf')

    def due(self, hosts: int) -> bool:
        """Return whether the first heartbeat to a new neighbour should ask.

        :param hosts: number of known hosts.
        """
        waited_s = self._clock.monotonic() - self._received_s
        return waited_s >= max(_MIN_PERIOD_S, _S_PER_HOST * hosts)

    def received(self, rumours: int, hosts: int) -> None:
        """Note that a reply with all rumours has arrived.

        :param rumours: number of rumours in the reply.
        """
        if rumours >= min(hosts // 2, _LONG_LIST):
            self._received_s = self._clock.monotonic()

    def expire(self) -> None:
        """Ask the next new neighbour, since rumours may have been missed."""
        self._received_s = float('-inf')
