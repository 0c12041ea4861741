"""corianderport_tier.process.periodic_task

Base of the tasks that do the same again and again until they are closed.
"""

import threading

from corianderport_tier import clocks

__all__ = ['PeriodicTask']


class PeriodicTask:
    """Runs steps with pauses between them until it is closed.

    A subclass overrides ``step``, and ``_ended`` when it has something to
    close.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._condition = threading.Condition()
        self._closed = False
        self._awake = False

    def run(self) -> None:
        """Step until closed."""
        try:
            while not self._closed:
                self._wait(self.step())
        finally:
            self._ended()

    def step(self) -> float:
        """Do one step and return the pause before the next, seconds."""
        raise NotImplementedError

    def wake(self) -> None:
        """Step at once."""
        with self._condition:
            self._awake = True
            self._condition.notify_all()

    def close(self) -> None:
        """End the task after its present step."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()

    def _wait(self, seconds: float) -> None:
        with self._condition:
            if seconds > 0 and not self._awake and not self._closed:
                self._clock.wait(self._condition, seconds)
            self._awake = False

    def _ended(self) -> None:
        """Close what the task has used."""
