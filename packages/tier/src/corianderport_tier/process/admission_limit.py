"""corianderport_tier.process.admission_limit

Adaptive concurrency limit of a host, based on how late requests finish.
"""

import attrs

from corianderport_tier import errors
from corianderport_tier import options

__all__ = ['AdmissionLimits', 'ConcurrencyLimit']

_LATE_FRACTION = 0.8
_DECREASE_FACTOR = 0.8
_MEAN_SMOOTHING = 0.1
_FASTEST_DRIFT = 0.01


@attrs.frozen
class AdmissionLimits:
    """Bounds of the concurrency limit and of the queue."""

    minimum: int = 4
    initial: int = 16
    maximum: int = 256
    queue: int = 64

    @classmethod
    def from_config(
        cls, minimum: int, initial: int, maximum: int, queue: int
    ) -> 'AdmissionLimits':
        """Return validated limits.

        :raises SettingInvalid: a bound is out of range.
        """
        error = errors.SettingInvalid
        options.number('minimum', minimum, 1, maximum, error)
        options.number('initial', initial, minimum, maximum, error)
        options.number('queue', queue, 0, 10_000, error)
        return cls(minimum, initial, maximum, queue)


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease (AIMD) on late requests.

    A request is late if its run time used most of the time that was left
    until its deadline when it started. The limit changes only while it is
    fully used: with fewer running requests, lateness has a cause that the
    limit cannot affect.
    """

    def __init__(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._value = float(limits.initial)
        self._mean_s = 0.0
        self._fastest_s = 0.0
        self._decreased_s = float('-inf')

    @property
    def value(self) -> int:
        """Maximum number of concurrently running requests."""
        return int(self._value)

    @property
    def mean_s(self) -> float:
        """Moving average of the run time in seconds."""
        return self._mean_s

    @property
    def fastest_s(self) -> float:
        """Lower envelope of the recent run times in seconds."""
        return self._fastest_s

    def on_finish(
        self, now_s: float, run_time_s: float, available_s: float, running: int
    ) -> None:
        """Update the limit after a request has ended.

        :param run_time_s: its run time in seconds.
        :param available_s: seconds from its start to its deadline.
        :param running: number of running requests, including this one.
        """
        self._observe(run_time_s)
        if running < self.value:
            return
        if run_time_s < _LATE_FRACTION * available_s:
            raised = self._value + 1.0 / self._value
            self._value = min(float(self._limits.maximum), raised)
        elif now_s - self._decreased_s >= self._mean_s:
            # Concurrent requests are late together, so they count as one
            # sign of overload.
            self._decreased_s = now_s
            lowered = self._value * _DECREASE_FACTOR
            self._value = max(float(self._limits.minimum), lowered)

    def _observe(self, run_time_s: float) -> None:
        if self._mean_s == 0.0:
            self._mean_s = self._fastest_s = run_time_s
            return
        self._mean_s += _MEAN_SMOOTHING * (run_time_s - self._mean_s)
        drift_s = _FASTEST_DRIFT * (run_time_s - self._fastest_s)
        self._fastest_s = min(run_time_s, self._fastest_s + drift_s)
