"""corianderport_tier.process.fleet_share

This host's part of the bounds that hold for all hosts together.

Every bound is divided by the number of hosts that may be sending, so that
the sum over hosts keeps to it without a message for each request.
"""

import collections.abc

import attrs
import xxhash

__all__ = ['FleetBounds', 'FleetShare']

HostNames = collections.abc.Callable[[], collections.abc.Sequence[str]]

# Other callers than this fleet may hold connections too, and a searcher
# accepts fewer while its queue is long.
_CONNECTION_USE = 0.85
# Hosts may disagree about the number of hosts for some seconds.
_RATE_USE = 0.8
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

    def use_bounds(self, bounds: FleetBounds) -> None:
        """Take over bounds that have changed."""
        self._bounds = bounds

    @property
    def hosts(self) -> int:
        """Number of hosts to divide by."""
        return max(self._bounds.expected_hosts, len(self._hosts()))

    def connections(self, most: int) -> int:
        """Return how many connections to one searcher this host may hold.

        :param most: what the searcher accepts from all hosts.
        """
        return max(1, int(_CONNECTION_USE * most / self.hosts))

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
        own = _weight(self._own_name, searcher)
        return sum(
            _weight(name, searcher) > own
            for name in self._hosts()
            if name != self._own_name
        )


def _weight(host: str, searcher: str) -> int:
    return xxhash.xxh64_intdigest(f'{host}/{searcher}'.encode())
