"""corianderport_testkit.clock

A clock that stands still until a test advances it.
"""

import threading

__all__ = ['ManualClock']


class ManualClock:
    """Implements ``corianderport_tier.clocks.Clock`` for tests."""

    def __init__(self, start_s: float = 1_000.0) -> None:
        self._lock = threading.Condition()
        self._now_s = start_s
        self._waiting: dict[object, tuple[float, threading.Condition]] = {}

    def monotonic(self) -> float:
        """Return the seconds that the test has reached."""
        return self._now_s

    def time(self) -> float:
        """Return the same seconds as ``monotonic``."""
        return self._now_s

    def wait(
        self, condition: threading.Condition, timeout_s: float | None
    ) -> bool:
        """Wait until notified or until the clock passes the timeout."""
        if timeout_s is None:
            return condition.wait()
        key = object()
        with self._lock:
            until_s = self._now_s + timeout_s
            self._waiting[key] = (until_s, condition)
            self._lock.notify_all()
        try:
            condition.wait()
        finally:
            with self._lock:
                self._waiting.pop(key, None)
        return self._now_s < until_s

    def advance(self, seconds: float) -> None:
        """Move on and wake every wait whose timeout has passed."""
        with self._lock:
            self._now_s += seconds
            due = {
                key: condition
                for key, (at_s, condition) in self._waiting.items()
                if at_s <= self._now_s
            }
            for key in due:
                del self._waiting[key]
        for condition in due.values():
            with condition:
                condition.notify_all()

    def await_waiting(self, count: int) -> None:
        """Block until that many waits with a timeout have begun."""
        with self._lock:
            self._lock.wait_for(lambda: len(self._waiting) >= count)

    @property
    def waiting(self) -> int:
        """Number of waits with a timeout."""
        with self._lock:
            return len(self._waiting)
