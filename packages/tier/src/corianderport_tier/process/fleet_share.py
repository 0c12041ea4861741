"""corianderport_tier.process.fleet_share

This host's share of the bounds that apply to all hosts together.

Every bound is divided by the number of hosts that may be sending, so that
the sum over all hosts stays within it without coordination per request.
"""

import collections.abc

import attrs

from corianderport_tier import clocks
from corianderport_tier.process import rendezvous

__all__ = ['FleetBounds', 'FleetShare']

HostNames = collections.abc.Callable[[], collections.abc.Sequence[str]]
NameSet = collections.abc.Callable[[], collections.abc.Set[str]]

# Clients other than these hosts may hold connections too, and a searcher
# accepts fewer connections while its queue is long.
_CONNECTION_FACTOR = 0.85
# Hosts that gather for others send most of their requests. They get this
# fraction of a searcher's connections, and no more for each than the gathers
# that it runs at the same time can use.
_GATHER_HOSTS_FRACTION = 0.5
_MAX_GATHER_HOST_CONNECTIONS = 3
# Hosts may disagree about the number of hosts for several seconds.
_RATE_FACTOR = 0.8
# The windows of different hosts are not aligned.
_RATIO_FACTOR = 0.75
# A restarted host does not know how much it has spent before the restart, so
# it starts with a small part of its slack. Both parts together stay within the
# bound if every host restarts in the same window.
_SLACK_FACTOR = 0.75
_SLACK_FACTOR_AFTER_RESTART = 0.25


@attrs.frozen
class FleetBounds:
    """Bounds that apply to all hosts together.

    ``extra_ratio`` and ``extra_slack`` limit the sends beyond the first
    one of each request in ``extra_window_s``. ``cold_factor`` and
    ``cold_slack`` are applied to the rate that a cold searcher states.
    ``expected_hosts`` is the minimum number of hosts to divide by.
    """

    extra_ratio: float
    extra_slack: float
    extra_window_s: float
    cold_factor: float
    cold_slack: float
    expected_hosts: int = 6


class FleetShare:
    """Divides the bounds by the number of known hosts.

    :param hosts: returns the names of all hosts that may be sending,
        including this one.
    :param restarted: whether the host may have been sending before it
        started.
    :param gather_hosts: returns the names of the hosts that gather for
        others.
    """

    def __init__(
        self,
        bounds: FleetBounds,
        own_name: str,
        hosts: HostNames,
        clock: clocks.Clock,
        restarted: bool = False,
        gather_hosts: NameSet = frozenset,
    ) -> None:
        self._bounds = bounds
        self._own_name = own_name
        self._hosts = hosts
        self._clock = clock
        self._gather_hosts = gather_hosts
        self._restarted_s = clock.monotonic() if restarted else float('-inf')
        # A sequence of hosts and, for each searcher, this host's rank among
        # them. Services read the pair under different locks, so it is
        # replaced as a whole.
        self._ranks: tuple[collections.abc.Sequence[str], dict[str, int]]
        self._ranks = ((), {})
        # The same for the hosts that do not gather for others.
        self._receiving_ranks: tuple[
            collections.abc.Sequence[str],
            collections.abc.Set[str],
            dict[str, int],
        ]
        self._receiving_ranks = ((), frozenset(), {})

    def set_bounds(self, bounds: FleetBounds) -> None:
        """Replace the bounds."""
        self._bounds = bounds

    @property
    def hosts(self) -> int:
        """Number of hosts to divide the bounds by."""
        return max(self._bounds.expected_hosts, len(self._hosts()))

    def connections(self, searcher: str, max_connections: int) -> int:
        """Return how many connections to a searcher this host may hold.

        If there are fewer connections than hosts, rendezvous hashing
        selects the hosts that may hold one.

        :param max_connections: number that the searcher accepts in total.
        :return: 0 if only other hosts use the searcher.
        """
        bound = _CONNECTION_FACTOR * max_connections
        hosts = self.hosts
        gather_hosts = self._gather_hosts()
        part = self._gather_host_connections(bound, len(gather_hosts))
        if part <= bound / hosts:
            return _even_part(bound, hosts, lambda: self._rank(searcher))
        if self._own_name in gather_hosts:
            return part
        return _even_part(
            bound - part * len(gather_hosts),
            hosts - len(gather_hosts),
            lambda: self._receiving_rank(searcher, gather_hosts),
        )

    @property
    def extra_ratio(self) -> float:
        """Permitted extra sends for each request of this host."""
        return _RATIO_FACTOR * self._bounds.extra_ratio

    @property
    def extra_window_s(self) -> float:
        """Length of the window for extra sends in seconds."""
        return self._bounds.extra_window_s

    @property
    def extra_slack(self) -> float:
        """Permitted extra sends in a window in addition to the ratio."""
        age_s = self._clock.monotonic() - self._restarted_s
        factor = (
            _SLACK_FACTOR_AFTER_RESTART
            if age_s < self._bounds.extra_window_s
            else _SLACK_FACTOR
        )
        return factor * self._bounds.extra_slack / self.hosts

    def cold_rate(self, searcher: str, rate: float) -> int:
        """Return how many requests this host may send in any second.

        If there is less than one request for each host, rendezvous hashing
        selects the hosts that may send one.

        :param rate: requests a second that the cold searcher accepts from
            all hosts.
        """
        bound = _RATE_FACTOR * (
            rate * self._bounds.cold_factor + self._bounds.cold_slack
        )
        hosts = self.hosts
        if bound >= hosts:
            return int(bound / hosts)
        return int(self._rank(searcher) < int(bound))

    @staticmethod
    def _gather_host_connections(bound: float, gather_hosts: int) -> int:
        """Return the connections of each host that gathers for others."""
        if not gather_hosts:
            return 0
        part = int(_GATHER_HOSTS_FRACTION * bound / gather_hosts)
        return min(part, _MAX_GATHER_HOST_CONNECTIONS)

    def _rank(self, searcher: str) -> int:
        hosts = self._hosts()
        ranked_hosts, ranks = self._ranks
        if ranked_hosts is not hosts:
            ranks = {}
            self._ranks = (hosts, ranks)
        return self._rank_among(hosts, searcher, ranks)

    def _receiving_rank(
        self, searcher: str, gather_hosts: collections.abc.Set[str]
    ) -> int:
        hosts = self._hosts()
        ranked_hosts, excluded, ranks = self._receiving_ranks
        if ranked_hosts is not hosts or excluded is not gather_hosts:
            ranks = {}
            self._receiving_ranks = (hosts, gather_hosts, ranks)
        receiving = (name for name in hosts if name not in gather_hosts)
        return self._rank_among(receiving, searcher, ranks)

    def _rank_among(
        self,
        hosts: collections.abc.Iterable[str],
        searcher: str,
        ranks: dict[str, int],
    ) -> int:
        rank = ranks.get(searcher)
        if rank is None:
            own_weight = rendezvous.weight(searcher, self._own_name)
            rank = sum(
                rendezvous.weight(searcher, name) > own_weight
                for name in hosts
                if name != self._own_name
            )
            ranks[searcher] = rank
        return rank


def _even_part(
    bound: float, hosts: int, rank: collections.abc.Callable[[], int]
) -> int:
    """Divide connections evenly; the first hosts get one if there are few."""
    if bound >= hosts:
        return int(bound / hosts)
    return int(rank() < max(1, int(bound)))
