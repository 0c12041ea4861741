"""corianderport_testkit.clock

A clock whose time changes only when a test advances it.
"""

import collections.abc
import threading

__all__ = ['ManualClock']

# Real time between two checks whether all tasks wait.
_IDLE_CHECK_S = 0.0005


class ManualClock:
    """Implements ``corianderport_tier.clocks.Clock`` for tests.

    :param start_s: initial time, in seconds.
    """

    def __init__(self, start_s: float = 1_000.0) -> None:
        self._lock = threading.Condition()
        self._now_s = start_s
        self._suspended_s = 0.0
        self._waiters: dict[object, tuple[float, threading.Condition]] = {}

    def monotonic(self) -> float:
        """Return the current time of the test, in seconds."""
        return self._now_s

    def boottime(self) -> float:
        """Return the time of the test including suspensions."""
        return self._now_s + self._suspended_s

    def time(self) -> float:
        """Return the same value as ``monotonic``."""
        return self._now_s

    def wait(
        self, condition: threading.Condition, timeout_s: float | None
    ) -> bool:
        """Wait on a condition whose lock the caller holds.

        The wait ends on a notification, or when ``advance`` moves the time
        past the timeout; None waits indefinitely.

        :return: False when the timeout has passed.
        """
        if timeout_s is None:
            return condition.wait()
        key = object()
        with self._lock:
            deadline_s = self._now_s + timeout_s
            self._waiters[key] = (deadline_s, condition)
            self._lock.notify_all()
        try:
            condition.wait()
        finally:
            with self._lock:
                self._waiters.pop(key, None)
        return self._now_s < deadline_s

    def advance(self, seconds: float) -> None:
        """Advance the clock and wake every waiter whose timeout has passed."""
        with self._lock:
            self._now_s += seconds
            due = {
                key: condition
                for key, (deadline_s, condition) in self._waiters.items()
                if deadline_s <= self._now_s
            }
            for key in due:
                del self._waiters[key]
        for condition in due.values():
            with condition:
                condition.notify_all()

    def suspend(self, seconds: float) -> None:
        """Let time pass that only ``boottime`` counts."""
        with self._lock:
            self._suspended_s += seconds

    def await_waiters(self, count: int) -> None:
        """Block until at least ``count`` waits with a timeout are pending."""
        with self._lock:
            self._lock.wait_for(lambda: len(self._waiters) >= count)

    def await_idle(self, tasks: collections.abc.Callable[[], int]) -> None:
        """Block until as many tasks as given wait and none is being woken.

        :param tasks: returns the number of tasks, each of which ends or waits
            with a timeout.
        """
        with self._lock:
            while len(self._waiters) != tasks() or any(
                # A notified waiter is removed at once, before its thread runs.
                not getattr(condition, '_waiters')
                for _, condition in self._waiters.values()
            ):
                self._lock.wait(_IDLE_CHECK_S)

    def waits_on(self, condition: threading.Condition) -> bool:
        """Whether a wait with a timeout is pending on a condition."""
        with self._lock:
            return any(c is condition for _, c in self._waiters.values())

    @property
    def waiter_count(self) -> int:
        """Number of pending waits with a timeout."""
        with self._lock:
            return len(self._waiters)
