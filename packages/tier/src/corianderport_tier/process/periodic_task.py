"""corianderport_tier.process.periodic_task

Base class of tasks that repeat a step until they are closed.
"""

import logging
import threading

from corianderport_tier import clocks

__all__ = ['PeriodicTask']

_LOG = logging.getLogger(__name__)
# Delay after a step that failed, so that a permanent fault does not spin.
_FAILED_STEP_DELAY_S = 0.5


class PeriodicTask:
    """Repeats a step, with a delay after each, until it is closed.

    A step that fails is logged and repeated: other hosts and the platform
    depend on tasks that last as long as the process.

    Subclasses override ``step``, and ``_release_resources`` if they have
    any.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._condition = threading.Condition()
        self._closed = False
        self._wake_requested = False

    def run(self) -> None:
        """Repeat the step until the task is closed."""
        try:
            while not self._closed:
                self._wait(self._run_step())
        finally:
            self._release_resources()

    def step(self) -> float:
        """Run one step; return the delay until the next one in seconds."""
        raise NotImplementedError

    def wake(self) -> None:
        """Run the next step without further delay."""
        with self._condition:
            self._wake_requested = True
            self._condition.notify_all()

    def close(self) -> None:
        """End the task after the current step."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()

    def _run_step(self) -> float:
        try:
            return self.step()
        except Exception:
            _LOG.exception('a step of %s failed', type(self).__name__)
            return _FAILED_STEP_DELAY_S

    def _wait(self, seconds: float) -> None:
        with self._condition:
            if seconds > 0 and not self._wake_requested and not self._closed:
                self._clock.wait(self._condition, seconds)
            self._wake_requested = False

    def _release_resources(self) -> None:
        """Release the resources of the task."""
