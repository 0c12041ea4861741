"""Connections on which the task of a request writes."""

import collections.abc
import concurrent.futures
import contextlib
import threading

import pytest

from corianderport_testkit import clock as manual
from corianderport_tier.connection import direct_connection
from corianderport_tier.connection import pool
from corianderport_tier.connection import pooled_connection
from corianderport_tier import errors

_LONG_S = 20.0
_IDLE_S = 30.0


class _Transport:
    """Transport whose bytes arrive when the test says so."""

    def __init__(self, clock: manual.ManualClock) -> None:
        self._clock = clock
        self._condition = threading.Condition()
        self._readable = False
        self.waits = threading.Semaphore(0)
        self.sends = 0
        self.aborted = False
        self.closed = threading.Event()

    def make_readable(self) -> None:
        with self._condition:
            self._readable = True
            self._condition.notify_all()

    def await_readable(self, timeout_s: float) -> bool:
        self.waits.release()
        with self._condition:
            if not self._readable:
                self._clock.wait(self._condition, timeout_s)
            readable, self._readable = self._readable, self.aborted
            return readable

    def abort(self) -> None:
        self.aborted = True
        self.make_readable()

    def close(self) -> None:
        self.closed.set()


class _Job:
    """Job whose steps run given functions and record their thread."""

    def __init__(
        self,
        start: collections.abc.Callable[[], None] = lambda: None,
        complete: collections.abc.Callable[[], object] = lambda: 'reply',
        writes_at_once: bool = True,
    ) -> None:
        self._start = start
        self._complete = complete
        self.writes_at_once = writes_at_once
        self.transport: _Transport | None = None
        self.started_by: int | None = None
        self.done: concurrent.futures.Future[object] = (
            concurrent.futures.Future()
        )

    def perform(self, transport: _Transport) -> object:
        self.start(transport)
        return self.complete(transport)

    def start(self, transport: _Transport) -> None:
        self.started_by = threading.get_ident()
        self._start()
        self.transport = transport
        transport.sends += 1

    def complete(self, transport: _Transport) -> object:
        return self._complete()

    def finish(self, reply: object) -> None:
        self.done.set_result(reply)


class _Pool:
    """A pool of direct connections and its transports."""

    def __init__(self, connections: int) -> None:
        self.clock = manual.ManualClock()
        self.executor = concurrent.futures.ThreadPoolExecutor(8)
        self.transports: list[_Transport] = []
        self.pool: pool.ConnectionPool[_Transport] = pool.ConnectionPool(
            self._dial,
            self.executor,
            self.clock,
            pool.PoolLimits(connections, _IDLE_S),
            open_connection=direct_connection.DirectConnection,
        )

    def _dial(self) -> _Transport:
        self.transports.append(_Transport(self.clock))
        return self.transports[-1]

    def warm(self) -> _Transport:
        """Perform a first job and wait until its connection is idle."""
        job = _Job()
        self.pool.submit(job)
        assert job.done.result(_LONG_S) == 'reply'
        transport = self.transports[-1]
        assert transport.waits.acquire(timeout=_LONG_S)
        return transport


@pytest.fixture
def direct() -> collections.abc.Iterator[_Pool]:
    direct = _Pool(1)
    yield direct
    direct.pool.close()
    # Returns only after the tasks of all connections have ended.
    direct.executor.shutdown()
    assert direct.pool.size == 0


def test_request_is_written_by_the_submitting_task(direct: _Pool) -> None:
    """Guards against waking the task of each connection for each send."""
    transport = direct.warm()
    job = _Job()
    direct.pool.submit(job)
    assert job.started_by == threading.get_ident()
    assert not job.done.done()
    transport.make_readable()
    assert job.done.result(_LONG_S) == 'reply'
    assert job.transport is transport


def test_late_reply_is_awaited_by_the_job(direct: _Pool) -> None:
    """Guards against closing a connection that a request waits on.

    The idle time of the connection ends before the reply arrives. The job
    then waits for the reply until its deadline.
    """
    direct.warm()
    job = _Job(complete=lambda: 'late reply')
    direct.pool.submit(job)
    direct.clock.advance(_IDLE_S + 1.0)
    assert job.done.result(_LONG_S) == 'late reply'


def test_connection_closed_by_its_server_is_removed(direct: _Pool) -> None:
    """Guards against keeping a connection that can carry no request."""
    transport = direct.warm()
    transport.make_readable()
    assert transport.closed.wait(_LONG_S)
    later = _Job()
    direct.pool.submit(later)
    assert later.done.result(_LONG_S) == 'reply'
    assert later.transport is not transport


def test_unwritten_request_is_reported_and_ends_the_connection(
    direct: _Pool,
) -> None:
    """Guards against a request that neither runs nor fails."""
    transport = direct.warm()

    def fail() -> None:
        raise errors.ConnectionStale('closed')

    job = _Job(start=fail)
    direct.pool.submit(job)
    assert isinstance(job.done.result(0), errors.ConnectionStale)
    assert transport.closed.wait(_LONG_S)
    assert transport.sends == 1


def test_refused_send_keeps_the_connection(direct: _Pool) -> None:
    """Guards against closing a connection on which nothing was sent."""
    transport = direct.warm()

    def refuse() -> None:
        raise errors.DeadlinePast('too late')

    refused = _Job(start=refuse)
    direct.pool.submit(refused)
    assert isinstance(refused.done.result(0), errors.DeadlinePast)
    job = _Job()
    direct.pool.submit(job)
    transport.make_readable()
    assert job.done.result(_LONG_S) == 'reply'
    assert job.transport is transport


def test_fault_while_writing_counts_as_a_possible_run(direct: _Pool) -> None:
    """Guards against 'not run' for a request of which bytes may have left."""
    transport = direct.warm()

    def fail() -> None:
        raise ValueError('fault')

    job = _Job(start=fail)
    direct.pool.submit(job)
    assert isinstance(job.done.result(0), errors.ConnectionBroken)
    assert transport.closed.wait(_LONG_S)


def test_large_request_is_written_by_the_connections_task(
    direct: _Pool,
) -> None:
    """Guards against a request's task that waits for room to write."""
    transport = direct.warm()
    job = _Job(writes_at_once=False)
    direct.pool.submit(job)
    assert job.done.result(_LONG_S) == 'reply'
    assert job.started_by != threading.get_ident()
    assert job.transport is not transport
    assert transport.closed.wait(_LONG_S)


def test_fresh_connection_replaces_an_idle_one(direct: _Pool) -> None:
    """Guards against an idle task that misses the job assigned to it."""
    transport = direct.warm()
    job = _Job()
    direct.pool.submit(job, pool.NEW_CONNECTION)
    assert job.done.result(_LONG_S) == 'reply'
    assert job.transport is not transport
    assert transport.closed.is_set()


def test_close_ends_an_idle_task(direct: _Pool) -> None:
    """Guards against a shutdown that waits for the idle time."""
    transport = direct.warm()
    direct.pool.close()
    assert transport.closed.wait(_LONG_S)


def test_close_leaves_a_running_job_its_connection(direct: _Pool) -> None:
    """Guards against aborting a request when its searcher is withdrawn."""
    transport = direct.warm()
    job = _Job()
    direct.pool.submit(job)
    direct.pool.close()
    assert not transport.aborted
    transport.make_readable()
    assert job.done.result(_LONG_S) == 'reply'
    assert transport.closed.wait(_LONG_S)


def test_lower_idle_time_ends_an_idle_connection(direct: _Pool) -> None:
    """Guards against the idle time that was in force when the wait began.

    Nothing happens on the socket that the connection's task waits on.
    """
    transport = direct.warm()
    direct.pool.limit_idle_time(5.0)
    direct.clock.advance(4.0)
    assert transport.waits.acquire(timeout=_LONG_S)
    assert direct.pool.idle == 1
    direct.clock.await_waiters(1)
    direct.clock.advance(1.0)
    assert transport.closed.wait(_LONG_S)


def test_connection_beyond_its_new_idle_time_ends_at_once(
    direct: _Pool,
) -> None:
    """Guards against a connection that outlasts a much lower idle time."""
    transport = direct.warm()
    direct.clock.advance(10.0)
    direct.pool.limit_idle_time(0.5)
    assert direct.pool.size == 0
    assert transport.closed.wait(_LONG_S)


def test_higher_idle_time_keeps_an_idle_connection(direct: _Pool) -> None:
    """Guards against opening a connection anew for each rare request."""
    transport = direct.warm()
    direct.pool.limit_idle_time(2 * _IDLE_S)
    direct.clock.advance(_IDLE_S + 1.0)
    assert transport.waits.acquire(timeout=_LONG_S)
    job = _Job()
    direct.pool.submit(job)
    assert job.transport is transport
    transport.make_readable()
    assert job.done.result(_LONG_S) == 'reply'


def test_busy_connection_beyond_a_lower_limit_ends_after_its_job() -> None:
    """Guards against more idle connections than this host's share."""
    direct = _Pool(2)
    transport = direct.warm()
    job = _Job()
    direct.pool.submit(job)
    other = direct.warm()
    direct.pool.limit_connections(1)
    assert direct.pool.size == 1
    assert other.closed.wait(_LONG_S)
    assert not transport.aborted
    transport.make_readable()
    assert job.done.result(_LONG_S) == 'reply'
    assert direct.pool.size == direct.pool.idle == 1
    direct.pool.close()
    direct.executor.shutdown()


def test_refused_send_leaves_no_connection_that_has_ended(
    direct: _Pool,
) -> None:
    """Guards against a job for a connection whose task has ended.

    The idle time ends while the send is refused, and the pool hears of the
    refusal last. Nothing would run a job that is assigned then.
    """
    transport = direct.warm()
    real = direct.pool.mark_idle

    def mark_idle(
        connection: pooled_connection.PooledConnection[_Transport],
    ) -> None:
        assert transport.closed.wait(_LONG_S)
        real(connection)

    def refuse() -> None:
        direct.clock.advance(_IDLE_S + 1.0)
        raise errors.DeadlinePast('too late')

    direct.pool.mark_idle = mark_idle  # type: ignore[method-assign]
    refused = _Job(start=refuse)
    direct.pool.submit(refused)
    assert isinstance(refused.done.result(0), errors.DeadlinePast)
    assert direct.pool.size == direct.pool.idle == 0
    direct.pool.mark_idle = real  # type: ignore[method-assign]
    # The second one replaces the connection that has been idle for longest.
    for _ in range(2):
        job = _Job()
        direct.pool.submit(job, pool.NEW_CONNECTION)
        assert job.done.result(_LONG_S) == 'reply'


class _LateStart(direct_connection.DirectConnection[_Transport]):
    """Connection whose first start goes on only when the test permits."""

    begun = threading.Event()
    permitted = threading.Event()
    starts = 0

    def start(self) -> None:
        type(self).starts += 1
        if self.starts == 1:
            self.begun.set()
            assert self.permitted.wait(_LONG_S)
        super().start()


def test_request_is_written_once_if_an_earlier_start_is_late() -> None:
    """Guards against a request that is sent twice.

    The task that assigned a job goes on only after the connection's task has
    performed it, because the idle time had ended, and a second job has been
    assigned and started.
    """
    direct = _Pool(1)
    direct.pool.close()
    direct.pool = pool.ConnectionPool(
        direct._dial,
        direct.executor,
        direct.clock,
        pool.PoolLimits(1, _IDLE_S),
        open_connection=_LateStart,
    )
    direct.warm()
    first, second = _Job(), _Job()
    submitting = threading.Thread(
        target=direct.pool.submit,
        args=(first, pool.NEW_CONNECTION),
        daemon=True,
    )
    submitting.start()
    assert _LateStart.begun.wait(_LONG_S)
    direct.clock.advance(_IDLE_S + 1.0)
    assert first.done.result(_LONG_S) == 'reply'
    transport = direct.transports[-1]
    assert transport.waits.acquire(timeout=_LONG_S)
    direct.pool.submit(second)
    _LateStart.permitted.set()
    submitting.join(_LONG_S)
    assert second.transport is transport
    assert transport.sends == 2
    transport.make_readable()
    assert second.done.result(_LONG_S) == 'reply'
    direct.pool.close()
    direct.executor.shutdown()


class _Unsteady(_Transport):
    """Replies at once, and is closed by its server before each third send."""

    def await_readable(self, timeout_s: float) -> bool:
        with self._condition:
            while not self._readable:
                self._condition.wait(_LONG_S)
            readable, self._readable = self._readable, self.aborted
            return readable


class _Request(_Job):
    def start(self, transport: _Transport) -> None:
        if transport.sends % 3 == 2:
            transport.make_readable()
            raise errors.ConnectionStale('closed')
        super().start(transport)
        transport.make_readable()


def test_each_of_many_concurrent_jobs_ends_once() -> None:
    """Guards against jobs that are lost between two tasks.

    Servers close their connections at the same time as requests are
    written; a job that ended twice would raise an error in ``finish``.
    """
    direct = _Pool(4)
    jobs: list[_Request] = []

    def dial() -> _Transport:
        return _Unsteady(direct.clock)

    direct.pool.dial = dial

    def submit(count: int) -> None:
        for _ in range(count):
            job = _Request()
            jobs.append(job)
            with contextlib.suppress(errors.Overloaded):
                direct.pool.submit(job)
                job.done.result(_LONG_S)

    callers = [
        threading.Thread(target=submit, args=(200,), daemon=True)
        for _ in range(4)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join(_LONG_S)
        assert not caller.is_alive()
    replies = [job.done.result(0) for job in jobs if job.done.done()]
    direct.pool.close()
    direct.executor.shutdown()
    assert replies.count('reply') > len(jobs) // 2
    assert all(
        r == 'reply' or isinstance(r, errors.ConnectionStale) for r in replies
    )
    assert direct.pool.size == 0
