"""corianderport_tier.process.latency

Observed latency of a service and of one searcher.
"""

import collections
import math

import attrs

__all__ = ['LatencyAverage', 'LatencyWindow']

_WINDOW_SAMPLES = 512
_MIN_SAMPLES = 20
_REFRESH_SAMPLES = 16
_FAST_WEIGHT = 0.2
_HALF_LIFE_S = 0.5
_SLOW_WEIGHT = 0.02


@attrs.define
class LatencyAverage:
    """Moving averages of one searcher, seconds; 0 without a sample."""

    recent_s: float = 0.0
    usual_s: float = 0.0
    samples: int = 0
    _sampled_s: float = 0.0

    def expected_s(self, now_s: float) -> float:
        """Return the recent average, halved with each half-life.

        Without the decay, a searcher with one old high latency would not
        be chosen again, so that its average would never change.
        """
        age_s = max(0.0, now_s - self._sampled_s)
        return self.recent_s * math.exp2(-age_s / _HALF_LIFE_S)

    def record(self, seconds: float, now_s: float) -> None:
        """Add a sample."""
        self._sampled_s = now_s
        if self.samples == 0:
            self.recent_s = self.usual_s = seconds
        self.samples += 1
        self.recent_s += _FAST_WEIGHT * (seconds - self.recent_s)
        self.usual_s += _SLOW_WEIGHT * (seconds - self.usual_s)


class LatencyWindow:
    """The most recent latencies of a service, seconds."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_WINDOW_SAMPLES
        )
        self._sorted: list[float] = []
        self._new = 0

    def record(self, seconds: float) -> None:
        """Add a sample."""
        self._samples.append(seconds)
        self._new += 1

    def quantile(self, fraction: float) -> float | None:
        """Return a quantile, seconds; None with too few samples."""
        if len(self._samples) < _MIN_SAMPLES:
            return None
        if not self._sorted or self._new >= _REFRESH_SAMPLES:
            self._sorted = sorted(self._samples)
            self._new = 0
        index = int(fraction * len(self._sorted))
        return self._sorted[min(index, len(self._sorted) - 1)]
