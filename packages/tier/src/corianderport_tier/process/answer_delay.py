"""corianderport_tier.process.answer_delay

How late this host produces the answers that it plans for a given time.
"""

import collections

__all__ = ['AnswerDelay']

_WINDOW_SAMPLES = 64
_QUANTILE = 0.9
# Assumed at least until there are enough samples for the quantile.
_ASSUMED_S = 0.0025
_MIN_SAMPLES = 10
# A longer delay is a pause of the process, which no margin can make up for.
_MAX_S = 0.02


class AnswerDelay:
    """Quantile of the latest delays of timers, merging and writing.

    With few samples it is the longest of them: in a large fleet most hosts
    never have many.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_WINDOW_SAMPLES
        )
        self._expected_s = _ASSUMED_S

    @property
    def expected_s(self) -> float:
        """Delay in seconds that nine in ten answers do not exceed."""
        return self._expected_s

    def record(self, seconds: float) -> None:
        """Add the delay of one answer."""
        if not 0 <= seconds <= _MAX_S:
            return
        self._samples.append(seconds)
        ordered = sorted(self._samples)
        self._expected_s = ordered[int(_QUANTILE * len(ordered))]
        if len(ordered) < _MIN_SAMPLES:
            self._expected_s = max(self._expected_s, _ASSUMED_S)
