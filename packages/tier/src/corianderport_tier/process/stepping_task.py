"""corianderport_tier.process.stepping_task

Base of the tasks that bring some state up to date, step by step.
"""

import threading

from corianderport_tier import clocks

__all__ = ['SteppingTask']


class SteppingTask:
    """Runs steps with pauses between them until it is closed.

    A subclass overrides ``step`` and ``_pause_s``, and ``_ended`` when it
    has something to close.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._condition = threading.Condition()
        self._closed = False
        self._awake = False

    @property
    def _pause_s(self) -> float:
        """Seconds between two steps."""
        raise NotImplementedError

    def run(self) -> None:
        """Step until closed."""
        while not self._closed:
            self.step()
            with self._condition:
                if not self._awake and not self._closed:
                    self._clock.wait(self._condition, self._pause_s)
                self._awake = False
        self._ended()

    def step(self) -> None:
        """Bring the state up to date."""
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

    def _ended(self) -> None:
        """Close what the task has used."""
