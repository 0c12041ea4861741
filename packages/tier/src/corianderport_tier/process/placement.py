"""corianderport_tier.process.placement

Policies that rate the searchers of a service for one more request.
"""

import collections.abc
import typing

__all__ = ['LeastLoaded', 'PlacementPolicy', 'Searcher', 'policy']

LEAST_LOADED = 'least-loaded'


class Searcher(typing.Protocol):
    """Properties of a searcher that a policy may use."""

    @property
    def in_flight(self) -> int:
        """Number of requests of this host in flight."""

    @property
    def failure_factor(self) -> float:
        """Cost factor for refusals and failures; 1 without any."""

    @property
    def distance_factor(self) -> float:
        """Cost factor for another data centre; 1 for the own one."""

    def relative_latency(self, now_s: float) -> float:
        """Return the latency relative to the median; 1 if it is usual."""


class PlacementPolicy(typing.Protocol):
    """Rates a searcher for one more request.

    The state of the service is locked during the call.
    """

    @property
    def name(self) -> str:
        """Name of the policy in settings, logs and metrics."""

    def cost(self, searcher: Searcher, now_s: float) -> float:
        """Return the cost of one more request; the lowest cost is chosen."""


class LeastLoaded:
    """Rates by the number of requests in flight and the relative latency.

    An idle searcher in this data centre without failures costs 1.
    """

    name = LEAST_LOADED

    def cost(self, searcher: Searcher, now_s: float) -> float:
        """Return the cost of one more request."""
        return (
            (searcher.in_flight + 1)
            * searcher.relative_latency(now_s)
            * searcher.failure_factor
            * searcher.distance_factor
        )


_POLICIES: dict[str, collections.abc.Callable[[], PlacementPolicy]] = {
    LEAST_LOADED: LeastLoaded,
}


def policy(name: str) -> PlacementPolicy:
    """Return the policy with this name."""
    return _POLICIES[name]()
