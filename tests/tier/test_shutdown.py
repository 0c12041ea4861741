"""Tests of the order of a graceful shutdown and of its report."""

import concurrent.futures
import time
import typing

import pytest

from corianderport_testkit import clock as manual_clock
from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import drain
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
        self.caller_gate = shutdown.RequestGate(self.clock)
        self.peer_gate = shutdown.RequestGate(self.clock)
        self.drain = drain.Drain(self.clock)
        self.graceful_shutdown = shutdown.GracefulShutdown(
            self.readiness,
            self.caller_gate,
            self.peer_gate,
            self.drain,
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
        while self.clock.waiter_count != count:
            time.sleep(0)


def test_steps_are_in_order() -> None:
    """Guards against refusing requests too early and exiting too early.

    Load balancers still send requests until they see that the host is not
    ready, and other hosts still need it while their own requests run.
    """
    case = _Case()
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        caller_request = case.caller_gate.enter()
        peer_request = case.peer_gate.enter()
        with peer_request:
            with caller_request:
                report = executor.submit(case.graceful_shutdown.run)
                case.await_waiters(1)
                assert not case.readiness.ready
                with case.caller_gate.enter():
                    assert case.steps == ['announce']
                case.clock.advance(5.0)
                while not case.caller_gate.closed:
                    time.sleep(0)
                case.await_waiters(1)
                assert case.steps == ['announce', 'seal']
                with pytest.raises(errors.NotReady):
                    case.caller_gate.enter()
                with case.peer_gate.enter():
                    assert not report.done()
            while not case.peer_gate.closed:
                time.sleep(0)
            with pytest.raises(errors.NotReady):
                case.peer_gate.enter()
            assert case.steps == ['announce', 'seal']
        assert report.result() == shutdown.ShutdownReport(0, 0, 1)
    assert case.steps == ['announce', 'seal', 'hand over']


def test_limit_ends_the_drain() -> None:
    """Guards against a host that never exits or hides aborted requests.

    A request of a caller and one of another host keep running past the
    limit.
    """
    case = _Case()
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        with case.caller_gate.enter(), case.peer_gate.count():
            report = executor.submit(case.graceful_shutdown.run)
            case.await_waiters(1)
            case.clock.advance(5.0)
            while not case.caller_gate.closed:
                time.sleep(0)
            case.await_waiters(1)
            case.clock.advance(10.0)
            assert report.result() == shutdown.ShutdownReport(1, 1, 1)
    assert case.steps == ['announce', 'seal', 'hand over']


def test_running_requests_learn_when_the_host_exits() -> None:
    """Guards against requests that are cut off when the process exits.

    The request may take longer than the whole shutdown.
    """
    case = _Case()
    events: list[drain.DrainBegun] = []
    started_s = case.clock.monotonic()
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        with case.caller_gate.enter(), case.drain.watching(events.append):
            report = executor.submit(case.graceful_shutdown.run)
            case.await_waiters(1)
            case.graceful_shutdown.interrupt()
            report.result()
    assert [e.deadline.at_s < started_s + 15.0 for e in events] == [True]


def test_second_signal_ends_the_drain() -> None:
    """Guards against a shutdown that can be ended only by killing it.

    A request keeps running when the operator signals a second time.
    """
    case = _Case()
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        with case.caller_gate.enter():
            report = executor.submit(case.graceful_shutdown.run)
            case.await_waiters(1)
            case.graceful_shutdown.interrupt()
            assert not report.result().clean
    assert case.steps == ['announce', 'seal', 'hand over']
