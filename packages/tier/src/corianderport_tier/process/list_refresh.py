"""corianderport_tier.process.list_refresh

Decides when a host asks another one for all rumours.
"""

from corianderport_tier import clocks
from corianderport_tier.process import membership

__all__ = ['ListRefresh']

# A rumour has up to 120 bytes, so that lists take at most 4.8 KB of the bytes
# that a host receives in a second while its view does not change.
_S_PER_HOST = 0.025
_MIN_PERIOD_S = 3.0
# A list with fewer rumours than this and than half of the known hosts is that
# of a host that has just started.
_LONG_LIST = 500


class ListRefresh:
    """Times of the replies with all rumours that this host has received.

    A rumour may end before it has reached all hosts, so that a host asks for
    all of them now and then. While the view changes, it asks each new
    neighbour: with fewer lists, 195 hosts needed 20 s in place of 3.5 s to
    agree after two parts of them had been separated. Tasks set the values
    without a lock.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._received_s = float('-inf')
        self._epoch = -1

    def due(self, view: membership.View) -> bool:
        """Return whether the first heartbeat to a new neighbour should ask."""
        if view.epoch != self._epoch:
            return True
        waited_s = self._clock.monotonic() - self._received_s
        period_s = max(_MIN_PERIOD_S, _S_PER_HOST * len(view.members))
        return waited_s >= period_s

    def received(self, rumours: int, view: membership.View) -> None:
        """Note that a reply with all rumours has arrived.

        :param rumours: number of rumours in the reply.
        :param view: the view with these rumours.
        """
        if rumours >= min(len(view.members) // 2, _LONG_LIST):
            self._epoch = view.epoch
            self._received_s = self._clock.monotonic()

    def expire(self) -> None:
        """Ask the next new neighbour, since rumours may have been missed."""
        self._received_s = float('-inf')
