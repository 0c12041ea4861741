"""Tests of PeriodicTask: failing steps and closing."""

import threading

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import periodic_task


class _FailingOnce(periodic_task.PeriodicTask):
    """Task whose first step fails."""

    def __init__(self, clock: clock_module.ManualClock) -> None:
        super().__init__(clock)
        self.steps = 0

    def step(self) -> float:
        self.steps += 1
        if self.steps == 1:
            raise KeyError('unexpected')
        self.close()
        return 0.0


def test_unexpected_error_does_not_end_the_task() -> None:
    """Guards against a host that never gets another version.

    The task that reads the store would end without a trace for callers.
    """
    clock = clock_module.ManualClock()
    task = _FailingOnce(clock)
    thread = threading.Thread(target=task.run, daemon=True)
    thread.start()
    clock.await_waiters(1)
    clock.advance(10.0)
    thread.join(10.0)
    assert task.steps == 2
