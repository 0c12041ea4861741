"""corianderport_tier.clocks

The clock that decisions read and wait on.
"""

import threading
import time
import typing

__all__ = ['Clock', 'SystemClock']


class Clock(typing.Protocol):
    """Source of time; tests replace it by one that they advance."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary point; never goes back."""

    def time(self) -> float:
        """Return seconds since the Unix epoch."""

    def wait(
        self, condition: threading.Condition, timeout_s: float | None
    ) -> bool:
        """Wait on a condition that the caller holds.

        :param timeout_s: seconds, or None to wait without a limit.
        :return: False when the timeout ended the wait.
        """


class SystemClock:
    """The clock of the runtime."""

    def monotonic(self) -> float:
        """Return ``time.monotonic()``."""
        return time.monotonic()

    def time(self) -> float:
        """Return ``time.time()``."""
        return time.time()

    def wait(
        self, condition: threading.Condition, timeout_s: float | None
    ) -> bool:
        """Wait on the condition in real time."""
        return condition.wait(timeout_s)
