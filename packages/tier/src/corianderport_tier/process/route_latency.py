"""corianderport_tier.process.route_latency

How long searchers usually take for the requests of a route.

Routes that share searchers may differ in work by a multiple, so that a
latency says something of a searcher only in relation to its route.
"""

import collections

__all__ = ['RouteLatency']

_WINDOW_SAMPLES = 256
_LEAST_SAMPLES = 12
_REFRESH_SAMPLES = 16
_USUAL_QUANTILE = 0.5
_LATE_QUANTILE = 0.9


class RouteLatency:
    """Quantiles of the most recent latencies, seconds.

    :param assumed_s: taken for the usual latency until there are enough
        samples.
    """

    def __init__(self, assumed_s: float) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_WINDOW_SAMPLES
        )
        self._since_refresh = 0
        self.known = False
        self.usual_s = assumed_s
        self.hedge_after_s = 2 * assumed_s

    def record(self, seconds: float) -> None:
        """Add the latency of one answer."""
        self._samples.append(seconds)
        self._since_refresh += 1
        if len(self._samples) < _LEAST_SAMPLES:
            return
        if self._since_refresh >= _REFRESH_SAMPLES or not self.known:
            self._refresh()

    def _refresh(self) -> None:
        ordered = sorted(self._samples)
        self._since_refresh = 0
        self.known = True
        self.usual_s = ordered[int(_USUAL_QUANTILE * len(ordered))]
        self.hedge_after_s = ordered[int(_LATE_QUANTILE * len(ordered))]
