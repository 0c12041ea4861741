"""corianderport_tier.process.admission_limit

How many requests a host runs at once, learned from what ends in time.
"""

import attrs

from corianderport_tier import errors
from corianderport_tier import options

__all__ = ['AdmissionLimits', 'RunningLimit']

_LATE_SHARE = 0.8
_DECREASE = 0.8
_MEAN_WEIGHT = 0.1
_FASTEST_DRIFT = 0.01


@attrs.frozen
class AdmissionLimits:
    """Bounds of the running limit, and of the queue before it."""

    minimum: int = 4
    initial: int = 16
    maximum: int = 256
    queue: int = 64

    @classmethod
    def from_config(
        cls, minimum: int, initial: int, maximum: int, queue: int
    ) -> 'AdmissionLimits':
        """Return checked limits.

        :raises SettingInvalid: a bound is out of range.
        """
        error = errors.SettingInvalid
        options.number('minimum', minimum, 1, maximum, error)
        options.number('initial', initial, minimum, maximum, error)
        options.number('queue', queue, 0, 10_000, error)
        return cls(minimum, initial, maximum, queue)


class RunningLimit:
    """Additive increase while requests end in time, else decrease.

    A request is late when it used most of the time that it had when it
    started. Only a host that runs as many requests as it may learns from
    them: with fewer, lateness has a cause that the limit cannot change.
    """

    def __init__(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._value = float(limits.initial)
        self._mean_s = 0.0
        self._fastest_s = 0.0
        self._decreased_s = float('-inf')

    @property
    def value(self) -> int:
        """Requests that may run at once."""
        return int(self._value)

    @property
    def mean_s(self) -> float:
        """Moving average of the run time, seconds."""
        return self._mean_s

    @property
    def fastest_s(self) -> float:
        """Lower envelope of the recent run times, seconds."""
        return self._fastest_s

    def finished(
        self, now_s: float, ran_s: float, had_s: float, running: int
    ) -> None:
        """Learn from a request that ended.

        :param ran_s: its run time, seconds.
        :param had_s: time to its deadline when it started, seconds.
        :param running: requests that ran until now, with this one.
        """
        self._observe(ran_s)
        if running < self.value:
            return
        if ran_s < _LATE_SHARE * had_s:
            raised = self._value + 1.0 / self._value
            self._value = min(float(self._limits.maximum), raised)
        elif now_s - self._decreased_s >= self._mean_s:
            # Requests that ran at the same time are late together and
            # count as one sign of overload.
            self._decreased_s = now_s
            lowered = self._value * _DECREASE
            self._value = max(float(self._limits.minimum), lowered)

    def _observe(self, ran_s: float) -> None:
        if self._mean_s == 0.0:
            self._mean_s = self._fastest_s = ran_s
            return
        self._mean_s += _MEAN_WEIGHT * (ran_s - self._mean_s)
        drift_s = _FASTEST_DRIFT * (ran_s - self._fastest_s)
        self._fastest_s = min(ran_s, self._fastest_s + drift_s)
