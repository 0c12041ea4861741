"""The connection pool loses no job and exceeds no limit."""

import collections.abc
import concurrent.futures
import threading
import typing

import pytest

from corianderport_testkit import clock as manual
from corianderport_tier.connection import pool
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import limit_events
from corianderport_tier.process import metrics


class _Transport:
    def __init__(self) -> None:
        self.closed = False

    def close(self) -> None:
        self.closed = True


class _Job:
    """Records its reply; ``perform`` runs a given function."""

    def __init__(
        self, perform: collections.abc.Callable[[], object] = lambda: 'reply'
    ) -> None:
        self._perform = perform
        self.submitted = False
        self.done: concurrent.futures.Future[object] = (
            concurrent.futures.Future()
        )

    def perform(self, transport: _Transport) -> object:
        return self._perform()

    def finish(self, reply: object) -> None:
        self.done.set_result(reply)


class _Deferred(concurrent.futures.Executor):
    """Executor that queues calls until the test runs them."""

    def __init__(self) -> None:
        self.calls: list[collections.abc.Callable[..., typing.Any]] = []

    def submit(
        self, fn: typing.Any, /, *args: typing.Any, **kwargs: typing.Any
    ) -> concurrent.futures.Future[typing.Any]:
        self.calls.append(fn)
        return concurrent.futures.Future()


class _TimingOut(manual.ManualClock):
    """Clock on which every wait times out immediately."""

    def wait(
        self, condition: threading.Condition, timeout_s: float | None
    ) -> bool:
        self._now_s += timeout_s or 0.0
        return False


class _WithoutThreads(_Deferred):
    """Executor that queues a call although it cannot start a thread."""

    def submit(
        self, fn: typing.Any, /, *args: typing.Any, **kwargs: typing.Any
    ) -> concurrent.futures.Future[typing.Any]:
        super().submit(fn, *args, **kwargs)
        raise RuntimeError("can't start new thread")


def test_job_that_was_refused_for_want_of_threads_never_runs() -> None:
    """Guards against running a request that was reported as not sent.

    The executor of the standard library queues the call before it tries to
    start a thread, and another thread runs it later.
    """
    executor = _WithoutThreads()
    connections: pool.ConnectionPool[_Transport] = pool.ConnectionPool(
        _Transport, executor, manual.ManualClock(), pool.PoolLimits(1)
    )
    job = _Job()
    with pytest.raises(errors.NotReady):
        connections.submit(job)
    assert connections.size == 0
    executor.calls[0]()
    assert not job.done.done()


def test_job_that_was_taken_at_once_is_not_refused() -> None:
    """Guards against refusing a request that another thread has begun."""

    class _Busy(_WithoutThreads):
        def submit(
            self, fn: typing.Any, /, *args: typing.Any, **kwargs: typing.Any
        ) -> concurrent.futures.Future[typing.Any]:
            fn()
            return super().submit(fn, *args, **kwargs)

    connections: pool.ConnectionPool[_Transport] = pool.ConnectionPool(
        _Transport, _Busy(), _TimingOut(), pool.PoolLimits(1)
    )
    job = _Job()
    connections.submit(job)
    assert job.done.result(0) == 'reply'


def test_job_assigned_at_the_idle_limit_survives_close() -> None:
    """Guards against a job that neither runs nor fails.

    A job is assigned and the pool is closed after the idle wait timed out
    but before the connection is removed from the pool.
    """
    executor = _Deferred()
    connections: pool.ConnectionPool[_Transport] = pool.ConnectionPool(
        _Transport, executor, _TimingOut(), pool.PoolLimits(1)
    )
    late = _Job()
    connections.submit(_Job())
    real = connections.remove_if_idle

    def remove_if_idle(connection: pool.Connection[_Transport]) -> bool:
        if not late.submitted:
            late.submitted = True
            connections.submit(late)
            connections.close()
        return real(connection)

    connections.remove_if_idle = remove_if_idle  # type: ignore[method-assign]
    executor.calls.pop()()
    assert late.done.done()


def test_job_that_fails_unexpectedly_is_finished() -> None:
    """Guards against a request that waits forever.

    Its job raises an unexpected error, such as a ValueError.
    """
    executor = _Deferred()
    connections: pool.ConnectionPool[_Transport] = pool.ConnectionPool(
        _Transport, executor, manual.ManualClock(), pool.PoolLimits(1)
    )

    def fault() -> object:
        raise ValueError('fault')

    job = _Job(fault)
    connections.submit(job)
    try:
        executor.calls.pop()()
    except ValueError:
        pass
    assert isinstance(job.done.result(0), errors.CorianderportError)
    assert connections.size == 0


def test_executor_that_is_shut_down_keeps_no_connection() -> None:
    """Guards against leaking a connection slot of the pool.

    The executor is shut down, so the task of a new connection never
    starts.
    """
    executor = concurrent.futures.ThreadPoolExecutor(1)
    executor.shutdown()
    connections: pool.ConnectionPool[_Transport] = pool.ConnectionPool(
        _Transport, executor, manual.ManualClock(), pool.PoolLimits(1)
    )
    with pytest.raises(errors.NotReady):
        connections.submit(_Job())
    assert connections.size == 0


@pytest.mark.parametrize('limit', [1, 2])
def test_connection_without_a_recent_reply_is_not_used(limit: int) -> None:
    """Guards against losing a request on a connection closed unnoticed.

    At the connection limit, the idle connection makes room for a new one.
    """
    clock = manual.ManualClock()
    dialled: list[_Transport] = []

    def dial() -> _Transport:
        dialled.append(_Transport())
        return dialled[-1]

    with concurrent.futures.ThreadPoolExecutor(4) as executor:
        connections = pool.ConnectionPool(
            dial, executor, clock, pool.PoolLimits(limit)
        )
        for _ in range(2):
            job = _Job()
            connections.submit(job, pool.Reuse(clock.monotonic()))
            assert job.done.result(10.0) == 'reply'
            clock.advance(1.0)
        assert len(dialled) == 2
        assert dialled[0].closed is (limit == 1)
        assert connections.size == limit
        connections.close()


class _SlowToClose(_Transport):
    """Transport whose ``close`` waits until the test permits its end."""

    closing = threading.Event()
    may_end = threading.Event()

    def close(self) -> None:
        self.closing.set()
        self.may_end.wait(10.0)
        super().close()


def test_connection_that_is_being_closed_leaves_its_place() -> None:
    """Guards against refusing a request while idle connections are closed."""
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        connections = pool.ConnectionPool(
            _SlowToClose, executor, _TimingOut(), pool.PoolLimits(1)
        )
        first = _Job()
        connections.submit(first)
        assert first.done.result(10.0) == 'reply'
        assert _SlowToClose.closing.wait(10.0)
        second = _Job()
        connections.submit(second)
        assert second.done.result(10.0) == 'reply'
        _SlowToClose.may_end.set()
        connections.close()


@pytest.mark.parametrize('usable_s', [5.0, 0.0, float('-inf')])
def test_connection_ends_when_its_server_may_close_it(
    usable_s: float,
) -> None:
    """Guards against a send that fails on a connection that idled too long.

    The send would have to be repeated, and the thread is held for nothing.
    """
    clock = manual.ManualClock()
    until_s = clock.monotonic() + usable_s
    dialled: list[_Transport] = []

    def dial() -> _Transport:
        dialled.append(_Transport())
        return dialled[-1]

    with concurrent.futures.ThreadPoolExecutor(4) as executor:
        connections = pool.ConnectionPool(
            dial,
            executor,
            clock,
            pool.PoolLimits(1),
            lambda transport: until_s,
        )
        for _ in range(2):
            job = _Job()
            connections.submit(job)
            assert job.done.result(10.0) == 'reply'
            if clock.monotonic() < until_s:
                clock.await_waiters(1)
            clock.advance(max(0.0, usable_s))
        assert len(dialled) == 2
    # The tasks have ended by themselves.
    assert connections.size == 0
    assert all(t.closed for t in dialled)


def _warm(
    connections: pool.ConnectionPool[_Transport], count: int = 1
) -> None:
    """Leave idle connections behind."""
    may_end = threading.Event()
    jobs = [_Job(lambda: may_end.wait(10.0)) for _ in range(count)]
    for job in jobs:
        connections.submit(job)
    may_end.set()
    for job in jobs:
        assert job.done.result(10.0) is True


def test_idle_connection_keeps_the_idle_time_in_force() -> None:
    """Guards against an idle time that was in force before a change.

    A connection that is kept too long is closed by its server while a request
    is sent; one that is closed too early has to be opened anew.
    """
    clock = manual.ManualClock()
    dialled: list[_Transport] = []

    def dial() -> _Transport:
        dialled.append(_Transport())
        return dialled[-1]

    with concurrent.futures.ThreadPoolExecutor(4) as executor:
        connections = pool.ConnectionPool(
            dial, executor, clock, pool.PoolLimits(1, 20.0)
        )
        _warm(connections)
        clock.await_waiters(1)
        connections.limit_idle_time(40.0)
        clock.advance(30.0)
        _warm(connections)
        assert len(dialled) == 1
        clock.await_waiters(1)
        clock.advance(5.0)
        # The connection has been idle for longer than the new time.
        connections.limit_idle_time(0.5)
        assert connections.size == 0
        _warm(connections)
        assert len(dialled) == 2
        connections.close()


def test_expired_connection_is_not_used_before_its_task_wakes() -> None:
    """Guards against a request on a connection that is being closed.

    The connection's task has not noticed that the idle time is over.
    """
    clock = manual.ManualClock()
    executor = _Deferred()
    connections: pool.ConnectionPool[_Transport] = pool.ConnectionPool(
        _Transport, executor, clock, pool.PoolLimits(2, 20.0)
    )
    task = threading.Thread(target=lambda: executor.calls.pop()(), daemon=True)
    first = _Job()
    connections.submit(first)
    task.start()
    assert first.done.result(10.0) == 'reply'
    clock.await_waiters(1)
    clock._now_s += 21.0
    connections.submit(_Job())
    # The second job opens a connection, whose task the executor still holds.
    assert len(executor.calls) == 1
    connections.close()
    task.join(10.0)


@pytest.mark.parametrize('busy', [0, 1, 3])
def test_connections_beyond_a_lower_limit_are_closed(busy: int) -> None:
    """Guards against more connections than the share of this host.

    Idle connections are closed at once, and busy ones after their job.
    """
    may_end = threading.Event()
    running = [_Job(lambda: may_end.wait(10.0)) for _ in range(busy)]
    with concurrent.futures.ThreadPoolExecutor(4) as executor:
        connections: pool.ConnectionPool[_Transport] = pool.ConnectionPool(
            _Transport, executor, manual.ManualClock(), pool.PoolLimits(3)
        )
        _warm(connections, 3)
        for job in running:
            connections.submit(job)
        connections.limit_connections(1)
        assert connections.size == max(1, busy)
        assert connections.idle == (0 if busy else 1)
        may_end.set()
        for job in running:
            job.done.result(10.0)
        assert connections.size == connections.idle == 1
        connections.close()


def _fail() -> object:
    raise ZeroDivisionError


def test_unexpected_errors_are_counted_and_logged_at_intervals(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against errors that fill the log or that nothing counts.

    Each request to a searcher may meet the same fault of a library.
    """
    counts = metrics.Metrics()
    clock = manual.ManualClock()
    events = limit_events.LimitEvents(
        decision_log.DecisionLog(observer=counts), clock
    )
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        connections = pool.ConnectionPool(
            _Transport, executor, clock, pool.PoolLimits(1), events=events
        )
        for _ in range(3):
            job = _Job(_fail)
            connections.submit(job)
            assert isinstance(job.done.result(10), errors.ConnectionBroken)
            executor.submit(lambda: None).result(10)
        connections.close()
    assert counts.totals().decisions == {'searcher_task_failed': 3}
    assert [record.levelname for record in caplog.records] == ['WARNING']
