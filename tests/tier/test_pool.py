"""The connection pool loses no job and exceeds no limit."""

import collections.abc
import concurrent.futures
import contextlib
import threading
import time
import typing

import pytest

from corianderport_testkit import clock as manual
from corianderport_tier.connection import pool
from corianderport_tier import errors

_LONG_S = 5.0


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
            if usable_s > 0:
                clock.await_waiters(1)
            clock.advance(max(0.0, usable_s))
        assert len(dialled) == 2
    # The tasks have ended by themselves.
    assert connections.size == 0
    assert all(t.closed for t in dialled)


class _Closing(_Transport):
    """Transport that tells when it is closed."""

    def __init__(self) -> None:
        super().__init__()
        self.ended = threading.Event()

    def close(self) -> None:
        super().close()
        self.ended.set()


@contextlib.contextmanager
def _pool_with_threads(
    connections: int,
) -> collections.abc.Iterator[
    tuple[pool.ConnectionPool[_Closing], manual.ManualClock, list[_Closing]]
]:
    clock = manual.ManualClock()
    dialled: list[_Closing] = []

    def dial() -> _Closing:
        dialled.append(_Closing())
        return dialled[-1]

    with concurrent.futures.ThreadPoolExecutor(8) as executor:
        tested: pool.ConnectionPool[_Closing] = pool.ConnectionPool(
            dial, executor, clock, pool.PoolLimits(connections, 20.0)
        )
        try:
            yield tested, clock, dialled
        finally:
            tested.close()


def _idle_connections(
    tested: pool.ConnectionPool[_Closing],
    clock: manual.ManualClock,
    count: int,
) -> None:
    """Leave some connections idle."""
    may_end = threading.Event()
    jobs = [_Job(lambda: may_end.wait(_LONG_S)) for _ in range(count)]
    for job in jobs:
        tested.submit(job)
    may_end.set()
    for job in jobs:
        job.done.result(_LONG_S)
    clock.await_waiters(count)


def test_lower_idle_time_ends_the_wait_of_idle_connections() -> None:
    """Guards against connections that stay open for an earlier idle time.

    A searcher that has left the share of a host may be kept for 0.5 s only,
    and its connection waited for the 20 s of the share.
    """
    with _pool_with_threads(2) as (tested, clock, dialled):
        _idle_connections(tested, clock, 1)
        tested.limit_idle_time(0.5)
        # The wait begins anew on another thread, at any of these times.
        for _ in range(100):
            clock.advance(0.02)
            if dialled[0].ended.wait(0.02):
                break
        assert dialled[0].closed
        assert tested.size == 0


def test_lower_limit_closes_idle_connections() -> None:
    """Guards against hosts that hold connections of others' shares.

    When hosts join, the share of each becomes smaller. Connections beyond it
    stayed open while they were used now and then.
    """
    with _pool_with_threads(3) as (tested, clock, dialled):
        _idle_connections(tested, clock, 3)
        tested.limit_connections(1)
        assert tested.size == 1
        # The connections become idle in any order.
        deadline_s = time.monotonic() + _LONG_S
        while sum(t.closed for t in dialled) < 2:
            assert time.monotonic() < deadline_s
            time.sleep(0.01)
        # The third one is kept, and carries the next job.
        job = _Job()
        tested.submit(job)
        assert job.done.result(_LONG_S) == 'reply'
        assert len(dialled) == 3
        assert sum(t.closed for t in dialled) == 2


def test_lower_limit_closes_busy_connections_after_their_jobs() -> None:
    """Guards against a job that is cut off, or a connection that stays."""
    with _pool_with_threads(2) as (tested, _, dialled):
        may_end = threading.Event()
        jobs = [_Job(lambda: may_end.wait(_LONG_S)) for _ in range(2)]
        for job in jobs:
            tested.submit(job)
        tested.limit_connections(1)
        assert tested.size == 2
        may_end.set()
        for job in jobs:
            assert job.done.result(_LONG_S) is True
        deadline_s = time.monotonic() + _LONG_S
        while not any(t.closed for t in dialled):
            assert time.monotonic() < deadline_s
            time.sleep(0.01)
        assert tested.size == 1
