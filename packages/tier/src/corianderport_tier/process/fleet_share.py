"""corianderport_tier.process.fleet_share

This host's part of the bounds that hold for all hosts together.

Every bound is divided by the number of hosts that may be sending, so that
the sum over hosts keeps to it without a message for each request.
"""

import collections.abc

import attrs

from corianderport_tier.process import rendezvous

__all__ = ['FleetBounds', 'FleetShare']

HostNames = collections.abc.Callable[[], collections.abc.Sequence[str]]

# Other callers than this fleet may hold connections too, and a searcher
# accepts fewer while its queue is long.
_CONNECTION_USE = 0.85
# Hosts may disagree about the number of hosts for some seconds.
_RATE_USE = 0.8
# Hosts count requests in windows of their own.
_RATIO_USE = 0.75
# A host that has restarted does not know what it has spent before.
_SLACK_USE = 0.5


@attrs.frozen
class FleetBounds:
    """Bounds on all hosts together.

    ``extra_ratio`` and ``extra_slack`` bound the sends beyond the first
    of each request in ``extra_window_s``; ``cold_factor`` and
    ``cold_slack`` widen a cold searcher's own rate.
    ``expected_hosts`` is assumed while fewer hosts are known.
    """

    extra_ratio: float
    extra_slack: float
    extra_window_s: float
    cold_factor: float
    cold_slack: float
    expected_hosts: int = 6


class FleetShare:
    """Divides the bounds by the hosts that are known.

    :param hosts: the names of all hosts that may be sending, this one
        included.
    """

    def __init__(
        self, bounds: FleetBounds, own_name: str, hosts: HostNames
    ) -> None:
        self._bounds = bounds
        self._own_name = own_name
        self._hosts = hosts
        # The hosts of some time and this host's places for searchers among
        # them; replaced as one, since services use it under their own locks.
        self._places: tuple[collections.abc.Sequence[str], dict[str, int]]
        self._places = ((), {})

    def set_bounds(self, bounds: FleetBounds) -> None:
        """Take over bounds that have changed."""
        self._bounds = bounds

    @property
    def hosts(self) -> int:
        """Number of hosts to divide by."""
        return max(self._bounds.expected_hosts, len(self._hosts()))

    def connections(self, searcher: str, most: int) -> int:
        """Return how many connections to one searcher this host may hold.

        Where there is less than one for each host, the hosts that may hold
        one are chosen by rendezvous hashing.

        :param most: what the searcher accepts from all hosts.
        :return: 0 when other hosts use the searcher.
        """
        bound = _CONNECTION_USE * most
        hosts = self.hosts
        if bound >= hosts:
            return int(bound / hosts)
        return int(self._place(searcher) < max(1, int(bound)))

    @property
    def extra_ratio(self) -> float:
        """Extra sends in a window for each request of this host."""
        return _RATIO_USE * self._bounds.extra_ratio

    @property
    def extra_window_s(self) -> float:
        """Length of the window of extra sends, seconds."""
        return self._bounds.extra_window_s

    @property
    def extra_slack(self) -> float:
        """Extra sends in a window beside the share of the requests."""
        return _SLACK_USE * self._bounds.extra_slack / self.hosts

    def cold_rate(self, searcher: str, rate: float) -> int:
        """Return how many requests this host may send in any second.

        Where there is less than one request for each host, the hosts that
        may send one are chosen by rendezvous hashing.

        :param rate: what the cold searcher bears from all hosts.
        """
        bound = _RATE_USE * (
            rate * self._bounds.cold_factor + self._bounds.cold_slack
        )
        hosts = self.hosts
        if bound >= hosts:
            return int(bound / hosts)
        return int(self._place(searcher) < int(bound))

    def _place(self, searcher: str) -> int:
        hosts = self._hosts()
        among, places = self._places
        if among is not hosts:
            places = {}
            self._places = (hosts, places)
        place = places.get(searcher)
        if place is None:
            own = rendezvous.weight(searcher, self._own_name)
            place = sum(
                rendezvous.weight(searcher, name) > own
                for name in hosts
                if name != self._own_name
            )
            places[searcher] = place
        return place
