"""corianderport_tier.process.placement

Policies that rate the searchers of a service for one more request.
"""

import collections.abc
import typing

from corianderport_tier.process import cost_estimates

__all__ = [
    'AUTO',
    'EXPECTED_FINISH',
    'LEAST_LOADED',
    'LeastLoaded',
    'PlacementPolicy',
    'PlacementSetting',
    'SETTINGS',
    'Searcher',
    'policy',
]

AUTO = 'auto'
LEAST_LOADED = 'least-loaded'
EXPECTED_FINISH = 'expected-finish'
# Values of the setting ``placement``.
SETTINGS = (AUTO, LEAST_LOADED, EXPECTED_FINISH)

RequestClass = cost_estimates.RequestClass


class Searcher(typing.Protocol):
    """Properties of a searcher that a policy may use."""

    @property
    def in_flight(self) -> int:
        """Number of requests of this host in flight."""

    @property
    def slots(self) -> float:
        """This host's part of the requests that run at once, at least 1."""

    @property
    def separation(self) -> float:
        """Cost factor for expensive requests, the same on every host.

        It depends on the searcher's position among those of the service.
        """

    @property
    def failure_factor(self) -> float:
        """Cost factor for refusals and failures; 1 without any."""

    @property
    def distance_factor(self) -> float:
        """Cost factor for another data centre; 1 for the own one."""

    def relative_latency(self, now_s: float) -> float:
        """Return the latency relative to the usual one; 1 if it is usual."""

    def outstanding_s(self, now_s: float) -> float:
        """Return the work that the searcher still has to do, in seconds."""


class PlacementPolicy(typing.Protocol):
    """Rates the searchers of one service.

    The state of the service is locked during each call.
    """

    @property
    def name(self) -> str:
        """Name of the policy in settings, logs and metrics."""

    def cost(
        self, searcher: Searcher, request: RequestClass, now_s: float
    ) -> float:
        """Return the cost of one more request; the lowest cost is chosen.

        The call changes nothing.
        """

    def record(self, request: RequestClass) -> None:
        """Record that a searcher was chosen for a request."""

    def reference_s(self, request: RequestClass) -> float:
        """Return the usual latency of a request, in seconds.

        The latency of a searcher is measured relative to it.
        """


class LeastLoaded:
    """Rates by the number of requests in flight and the relative latency.

    An idle searcher in this data centre without failures costs 1.
    """

    name = LEAST_LOADED

    def cost(
        self, searcher: Searcher, request: RequestClass, now_s: float
    ) -> float:
        """Return the cost of one more request."""
        return (
            (searcher.in_flight + 1)
            * searcher.relative_latency(now_s)
            * searcher.failure_factor
            * searcher.distance_factor
        )

    def record(self, request: RequestClass) -> None:
        """Do nothing: the requests in flight are all that counts."""

    def reference_s(self, request: RequestClass) -> float:
        """Return the median latency of the route."""
        return request.median_s


def _expected_finish() -> PlacementPolicy:
    # Most deployments never use it.
    from corianderport_tier.process import expected_finish

    return expected_finish.ExpectedFinish()


_POLICIES: dict[str, collections.abc.Callable[[], PlacementPolicy]] = {
    LEAST_LOADED: LeastLoaded,
    EXPECTED_FINISH: _expected_finish,
}


def policy(name: str) -> PlacementPolicy:
    """Return the policy with this name, for use by one service."""
    return _POLICIES[name]()


class PlacementSetting:
    """The setting ``placement``, which may change while the host runs."""

    def __init__(self, value: str = AUTO) -> None:
        self.value = value

    def policy_name(self, mixed_ranks: bool) -> str:
        """Return the name of the policy of a service.

        :param mixed_ranks: whether routes of the highest priority share the
            service with others.
        """
        if self.value != AUTO:
            return self.value
        return EXPECTED_FINISH if mixed_ranks else LEAST_LOADED
