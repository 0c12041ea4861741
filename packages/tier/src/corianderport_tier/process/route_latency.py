"""corianderport_tier.process.route_latency

Latency quantiles of the requests of one route.

Routes that share searchers may differ several times over in the work per
request, so the latency of a searcher is meaningful only relative to that of
the route.
"""

import collections

from corianderport_tier.version import routes

__all__ = ['RouteLatencies', 'RouteLatency']

_WINDOW_SAMPLES = 256
_MIN_SAMPLES = 12
_REFRESH_SAMPLES = 16
_MEDIAN_QUANTILE = 0.5
_HEDGE_QUANTILE = 0.9
# Assumed typical latency of a route without samples, as a fraction of its
# latency goal.
_INITIAL_GOAL_FRACTION = 0.25


class RouteLatency:
    """Quantiles of the most recent latencies, in seconds.

    :param assumed_s: median assumed until there are enough samples.
    """

    def __init__(self, assumed_s: float) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_WINDOW_SAMPLES
        )
        self._since_refresh = 0
        self._has_quantiles = False
        self.median_s = assumed_s
        self.hedge_after_s = 2 * assumed_s

    def record(self, seconds: float) -> None:
        """Add the latency of one reply."""
        self._samples.append(seconds)
        self._since_refresh += 1
        if len(self._samples) < _MIN_SAMPLES:
            return
        if self._since_refresh >= _REFRESH_SAMPLES or not self._has_quantiles:
            self._refresh()

    def _refresh(self) -> None:
        ordered = sorted(self._samples)
        self._since_refresh = 0
        self._has_quantiles = True
        self.median_s = ordered[int(_MEDIAN_QUANTILE * len(ordered))]
        self.hedge_after_s = ordered[int(_HEDGE_QUANTILE * len(ordered))]


class RouteLatencies:
    """Latencies of all routes, by the name of the route."""

    def __init__(self) -> None:
        self._latencies: dict[str, RouteLatency] = {}

    def of(self, route: routes.Route) -> RouteLatency:
        """Return the latencies of a route; add them if they are new."""
        latency = self._latencies.get(route.name)
        if latency is None:
            latency = self._latencies.setdefault(route.name, _assumed(route))
        return latency

    def peek(self, route: routes.Route) -> RouteLatency:
        """Return the latencies of a route without adding them."""
        return self._latencies.get(route.name) or _assumed(route)


def _assumed(route: routes.Route) -> RouteLatency:
    return RouteLatency(_INITIAL_GOAL_FRACTION * route.goal_s)
