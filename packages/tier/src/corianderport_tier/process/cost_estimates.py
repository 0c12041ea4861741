"""corianderport_tier.process.cost_estimates

Expected run times of requests at searchers, by class of request.

The estimates are learned from replies. They are read without a lock: the
latest samples may be missing from an estimate.
"""

import collections
import math
import threading
import zlib

from corianderport_tier.process import route_latency
from corianderport_tier.version import routes

__all__ = ['CostEstimates', 'RequestClass', 'size_class']

_MAX_CLASSES = 256
_WINDOW_SAMPLES = 64
# Stands for a run without load: most replies of a busy searcher include the
# wait for other requests.
_QUANTILE = 0.25
# A class with fewer samples derives its estimate anew from each reply, one
# with more after as many further replies.
_REFRESH_SAMPLES = 8
# Assumed run time of a new class, as a fraction of its route's latency goal.
_INITIAL_GOAL_FRACTION = 0.25

# Paths of a route are divided into this many classes by a hash: each path is
# always in the same class, and paths that are all different share the classes
# evenly. Without it, the simulated paths of costs 1:10 gained nothing.
_PATH_CLASSES = 8

# Time constant of the mean run time without overload. It may not follow the
# replies of the moments before an overload is noticed.
_CALM_TIME_S = 30.0
# The first samples replace the assumed time.
_MIN_CALM_SAMPLES = 20

# Name of a route, size class of a body and class of a path.
_Key = tuple[str, int, int]


def size_class(body_bytes: int) -> int:
    """Return the class of a body by its size, in powers of four."""
    return (body_bytes.bit_length() + 1) // 2


class RequestClass:
    """Requests that are expected to cost searchers about the same.

    :param latency: latency statistics of the class's route.
    :param assumed_s: expected run time until there is a sample.
    :param limit_s: upper bound of the expected run time.
    """

    def __init__(
        self,
        latency: route_latency.RouteLatency,
        assumed_s: float,
        limit_s: float,
    ) -> None:
        self.expected_s = min(assumed_s, limit_s)
        # Mean time while no workspace took too much of its service.
        self.calm_s = self.expected_s
        self._calm_samples = 0
        self._calm_at_s = 0.0
        self.limit_s = limit_s
        self._latency = latency
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_WINDOW_SAMPLES
        )
        self._since_refresh = 0

    @property
    def median_s(self) -> float:
        """Median latency of the route in seconds."""
        return self._latency.median_s

    def record(self, seconds: float) -> None:
        """Add the time from the sending of a request to the reply."""
        self._samples.append(seconds)
        self._since_refresh += 1
        if len(self._samples) > _REFRESH_SAMPLES > self._since_refresh:
            return
        self._since_refresh = 0
        samples = list(self._samples)
        # If all replies since the last refresh took longer, the cost has
        # risen. The quantile alone follows only after three quarters of the
        # window.
        least_recent_s = min(samples[-_REFRESH_SAMPLES:])
        samples.sort()
        expected_s = samples[int(_QUANTILE * len(samples))]
        expected_s = max(expected_s, least_recent_s)
        self.expected_s = min(expected_s, self.limit_s)

    def record_calm(
        self, seconds: float, now_s: float, contended: bool
    ) -> None:
        """Add the time of a reply of a service that is used fairly.

        :param contended: whether replies take longer than usual.
        """
        age_s = max(0.0, now_s - self._calm_at_s) if self._calm_at_s else 0.0
        weight = 1 - math.exp(-age_s / _CALM_TIME_S)
        if self._calm_samples < _MIN_CALM_SAMPLES and not contended:
            self._calm_samples += 1
            weight = 1 / self._calm_samples
        self.calm_s += weight * (min(seconds, self.limit_s) - self.calm_s)
        self._calm_at_s = now_s


class CostEstimates:
    """The classes of recent requests; the number of classes is bounded."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._classes: collections.OrderedDict[_Key, RequestClass]
        self._classes = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of classes."""
        return len(self._classes)

    def request_class(
        self,
        route: routes.Route,
        latency: route_latency.RouteLatency,
        body_bytes: int,
        path: str,
    ) -> RequestClass:
        """Return the class of a request."""
        key = _key(route, body_bytes, path)
        with self._lock:
            found = self._classes.get(key)
            if found is not None:
                self._classes.move_to_end(key)
                # A later version of the route may have another timeout.
                found.limit_s = route.timeout_s
                return found
            if len(self._classes) >= _MAX_CLASSES:
                self._classes.popitem(last=False)
            found = self._classes[key] = _new_class(route, latency)
            return found

    def peek(
        self,
        route: routes.Route,
        latency: route_latency.RouteLatency,
        body_bytes: int,
        path: str,
    ) -> RequestClass:
        """Return the class of a request without adding it."""
        with self._lock:
            found = self._classes.get(_key(route, body_bytes, path))
        return found or _new_class(route, latency)


def _key(route: routes.Route, body_bytes: int, path: str) -> _Key:
    path_class = zlib.crc32(path.encode()) % _PATH_CLASSES
    return (route.name, size_class(body_bytes), path_class)


def _new_class(
    route: routes.Route, latency: route_latency.RouteLatency
) -> RequestClass:
    return RequestClass(
        latency, _INITIAL_GOAL_FRACTION * route.goal_s, route.timeout_s
    )
