"""Tests of the order of a graceful shutdown and of its report."""

import concurrent.futures
import time
import typing

import pytest

from corianderport_testkit import clock as manual_clock
from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import shutdown


class _Store:
    version = 1


class _Case:
    """A graceful shutdown that records its steps."""

    def __init__(self) -> None:
        self.clock = manual_clock.ManualClock()
        self.steps: list[str] = []
        store = typing.cast(configuration_store.ConfigurationStore, _Store())
        self.readiness = shutdown.Readiness(store)
        self.callers = shutdown.RequestGate(self.clock)
        self.peers = shutdown.RequestGate(self.clock)
        self.stop = shutdown.GracefulShutdown(
            self.readiness,
            self.callers,
            self.peers,
            lambda: self.steps.append('announce'),
            lambda: self.steps.append('seal'),
            self._hand_over,
            shutdown.ShutdownTimes(5.0, 10.0),
            self.clock,
        )

    def _hand_over(self) -> int:
        self.steps.append('hand over')
        return 1

    def await_waiters(self, count: int) -> None:
        """Return once the given number of tasks wait on the clock."""
        while self.clock.waiting != count:
            time.sleep(0)


def test_steps_are_in_order() -> None:
    """Guards against refusing requests during the lag and exiting early."""
    case = _Case()
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        running = case.callers.enter()
        from_peer = case.peers.enter()
        with from_peer:
            with running:
                stop = executor.submit(case.stop.run)
                case.await_waiters(1)
                assert not case.readiness.ready
                with case.callers.enter():
                    assert case.steps == ['announce']
                case.clock.advance(5.0)
                while not case.callers.closed:
                    time.sleep(0)
                case.await_waiters(1)
                assert case.steps == ['announce', 'seal']
                with pytest.raises(errors.NotReady):
                    case.callers.enter()
                with case.peers.enter():
                    assert not stop.done()
            while not case.peers.closed:
                time.sleep(0)
            with pytest.raises(errors.NotReady):
                case.peers.enter()
            assert case.steps == ['announce', 'seal']
        assert stop.result() == shutdown.ShutdownReport(0, 0, 1)
    assert case.steps == ['announce', 'seal', 'hand over']


def test_limit_ends_the_drain() -> None:
    """Guards against a host that never exits or hides aborted requests."""
    case = _Case()
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        with case.callers.enter(), case.peers.count():
            stop = executor.submit(case.stop.run)
            case.await_waiters(1)
            case.clock.advance(5.0)
            while not case.callers.closed:
                time.sleep(0)
            case.await_waiters(1)
            case.clock.advance(10.0)
            assert stop.result() == shutdown.ShutdownReport(1, 1, 1)
    assert case.steps == ['announce', 'seal', 'hand over']


def test_second_signal_ends_the_drain() -> None:
    """Guards against an operator who must wait or kill the process."""
    case = _Case()
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        with case.callers.enter():
            stop = executor.submit(case.stop.run)
            case.await_waiters(1)
            case.stop.interrupt()
            assert not stop.result().clean
    assert case.steps == ['announce', 'seal', 'hand over']
