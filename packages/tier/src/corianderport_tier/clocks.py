"""corianderport_tier.clocks

Clock interface for reading the time and waiting on conditions.
"""

import functools
import threading
import time
import typing

__all__ = ['Clock', 'SystemClock']


class Clock(typing.Protocol):
    """Time source; tests substitute a clock that they advance."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary point; never decreases."""

    def boottime(self) -> float:
        """Return seconds that also pass while the machine is suspended.

        Never decreases; ``monotonic`` may stop during a suspension.
        """

    def time(self) -> float:
        """Return seconds since the Unix epoch."""

    def wait(
        self, condition: threading.Condition, timeout_s: float | None
    ) -> bool:
        """Wait on a condition whose lock the caller holds.

        :param timeout_s: timeout in seconds; None waits indefinitely.
        :return: False if the wait timed out.
        """


class SystemClock:
    """Clock backed by the ``time`` module."""

    # Read many times for each request, so that a call less counts.
    monotonic = staticmethod(time.monotonic)
    boottime = staticmethod(
        functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)
    )
    time = staticmethod(time.time)

    def wait(
        self, condition: threading.Condition, timeout_s: float | None
    ) -> bool:
        """Wait on the condition in real time."""
        return condition.wait(timeout_s)
