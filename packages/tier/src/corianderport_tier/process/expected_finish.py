"""corianderport_tier.process.expected_finish

The placement policy that rates by the expected finish of a request.
"""

from corianderport_tier.process import cost_estimates
from corianderport_tier.process import placement

__all__ = ['ExpectedFinish']

RequestClass = cost_estimates.RequestClass

# Number of requests that the mean expected cost of a service is taken of.
_MEAN_REQUESTS = 100
# A class is expensive or cheap if its expected cost differs from the mean of
# the service by more than this factor. With 1.3, the noise of the estimates
# moved requests of equal costs: their p99 rose by 10% in the simulation.
_SEPARATION_RATIO = 1.5


class ExpectedFinish:
    """Rates by the time at which the request is expected to be finished.

    Expensive requests prefer the first searchers in an order that is the same
    on every host, cheap requests the last ones. A host of a large fleet sees
    too little of the searchers' work to find the idle ones by itself.
    """

    name = placement.EXPECTED_FINISH

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._requests = 0

    def cost(
        self,
        searcher: placement.Searcher,
        request: RequestClass,
        now_s: float,
    ) -> float:
        """Return the weighted seconds until the request is finished."""
        expected_s = request.expected_s
        cost = (
            (searcher.outstanding_s(now_s) / searcher.slots + expected_s)
            * searcher.relative_latency(now_s)
            * searcher.failure_factor
            * searcher.distance_factor
        )
        mean_s = self._mean_s
        if expected_s > _SEPARATION_RATIO * mean_s:
            return cost * searcher.separation if mean_s else cost
        if mean_s > _SEPARATION_RATIO * expected_s:
            return cost / searcher.separation
        return cost

    def record(self, request: RequestClass) -> None:
        """Update the mean expected cost of the service's requests."""
        self._requests = min(self._requests + 1, _MEAN_REQUESTS)
        self._mean_s += (request.expected_s - self._mean_s) / self._requests

    def reference_s(self, request: RequestClass) -> float:
        """Return the expected run time of the class."""
        return request.expected_s
