"""corianderport_tier.process.answer_delay

How late this host produces the answers that it plans for a given time.
"""

import collections

__all__ = ['AnswerDelay']

_WINDOW_SAMPLES = 64
_MIN_SAMPLES = 8
_QUANTILE = 0.9
# Assumed until there are enough samples.
_ASSUMED_S = 0.0025
# A longer delay is a pause of the process, which no margin can make up for.
_MAX_S = 0.02


class AnswerDelay:
    """Quantile of the latest delays of timers and of merging, in seconds."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_WINDOW_SAMPLES
        )
        self._expected_s = _ASSUMED_S

    @property
    def expected_s(self) -> float:
        """Delay that nine in ten answers do not exceed."""
        return self._expected_s

    def record(self, seconds: float) -> None:
        """Add the delay of one answer."""
        if not 0 <= seconds <= _MAX_S:
            return
        self._samples.append(seconds)
        if len(self._samples) >= _MIN_SAMPLES:
            ordered = sorted(self._samples)
            self._expected_s = ordered[int(_QUANTILE * len(ordered))]
