"""corianderport_tier.process.latency

Latency statistics of a service and of one searcher.
"""

import collections
import math

import attrs

__all__ = ['AttemptTimes', 'LatencyAverage', 'LatencyWindow']

_WINDOW_SAMPLES = 512
_MIN_SAMPLES = 20
_UPDATE_INTERVAL_SAMPLES = 16
_HEDGE_QUANTILE = 0.97
_MEDIAN_QUANTILE = 0.5
_MIN_HEDGE_S = 0.001
_TIMEOUT_FACTOR = 8.0
_MIN_TIMEOUT_S = 0.05
_RECENT_SMOOTHING = 0.2
_HALF_LIFE_S = 0.5
_LONG_TERM_SMOOTHING = 0.02


@attrs.frozen
class AttemptTimes:
    """Times in seconds that are derived from the observed latency.

    With too few samples, ``hedge_s`` and ``timeout_s`` are None and
    ``median_s`` is 0.
    """

    median_s: float = 0.0
    hedge_s: float | None = None
    timeout_s: float | None = None


@attrs.define
class LatencyAverage:
    """Exponential moving averages of a searcher's latency in seconds.

    The averages are 0 without a sample.
    """

    recent_s: float = 0.0
    long_term_s: float = 0.0
    last_s: float = 0.0
    samples: int = 0
    _sampled_s: float = 0.0

    def expected_s(self, now_s: float) -> float:
        """Return the recent average with exponential decay.

        Without the decay, a searcher with an old high latency would not be
        chosen again, so its average would never be updated.
        """
        age_s = max(0.0, now_s - self._sampled_s)
        return self.recent_s * math.exp2(-age_s / _HALF_LIFE_S)

    def record(self, seconds: float, now_s: float) -> None:
        """Add a sample."""
        self._sampled_s = now_s
        self.last_s = seconds
        if self.samples == 0:
            self.recent_s = self.long_term_s = seconds
        self.samples += 1
        self.recent_s += _RECENT_SMOOTHING * (seconds - self.recent_s)
        self.long_term_s += _LONG_TERM_SMOOTHING * (seconds - self.long_term_s)


class LatencyWindow:
    """The most recent latencies of a service in seconds."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_WINDOW_SAMPLES
        )
        self._new_samples = 0
        self._times = AttemptTimes()

    @property
    def times(self) -> AttemptTimes:
        """Times derived from the samples; may be read without a lock."""
        return self._times

    def record(self, seconds: float) -> None:
        """Add a sample."""
        self._samples.append(seconds)
        self._new_samples += 1
        if len(self._samples) < _MIN_SAMPLES:
            return
        # Sorting after every sample would cost more than all other
        # decisions for a request.
        if (
            self._new_samples >= _UPDATE_INTERVAL_SAMPLES
            or self._times.hedge_s is None
        ):
            self._new_samples = 0
            self._times = self._derive_times()

    def _derive_times(self) -> AttemptTimes:
        ordered = sorted(self._samples)
        high_s = ordered[int(_HEDGE_QUANTILE * len(ordered))]
        return AttemptTimes(
            median_s=ordered[int(_MEDIAN_QUANTILE * len(ordered))],
            hedge_s=max(_MIN_HEDGE_S, high_s),
            timeout_s=max(_MIN_TIMEOUT_S, _TIMEOUT_FACTOR * high_s),
        )
