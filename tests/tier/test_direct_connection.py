"""Connections on which the task of a request writes."""

import collections.abc
import contextlib
import threading

import pytest

from corianderport_tier.connection import direct_connection
from corianderport_tier.connection import pool
from corianderport_tier.connection import pooled_connection
from corianderport_tier import errors

from . import direct_fakes


@pytest.fixture
def direct() -> collections.abc.Iterator[direct_fakes.Pool]:
    direct = direct_fakes.Pool(1)
    yield direct
    direct.pool.close()
    # Returns only after the tasks of all connections have ended.
    direct.executor.shutdown()
    assert direct.pool.size == 0


def test_request_is_written_by_the_submitting_task(
    direct: direct_fakes.Pool,
) -> None:
    """Guards against waking the task of each connection for each send."""
    transport = direct.warm()
    job = direct_fakes.Job()
    direct.pool.submit(job)
    assert job.started_by == threading.get_ident()
    assert not job.done.done()
    transport.make_readable()
    assert job.done.result(direct_fakes.LONG_S) == 'reply'
    assert job.transport is transport


def test_late_reply_is_awaited_by_the_job(direct: direct_fakes.Pool) -> None:
    """Guards against closing a connection that a request waits on.

    The idle time of the connection ends before the reply arrives. The job
    then waits for the reply until its deadline.
    """
    direct.warm()
    job = direct_fakes.Job(complete=lambda: 'late reply')
    direct.pool.submit(job)
    direct.clock.advance(direct_fakes.IDLE_S + 1.0)
    assert job.done.result(direct_fakes.LONG_S) == 'late reply'


def test_connection_closed_by_its_server_is_removed(
    direct: direct_fakes.Pool,
) -> None:
    """Guards against keeping a connection that can carry no request."""
    transport = direct.warm()
    transport.make_readable()
    assert transport.closed.wait(direct_fakes.LONG_S)
    later = direct_fakes.Job()
    direct.pool.submit(later)
    assert later.done.result(direct_fakes.LONG_S) == 'reply'
    assert later.transport is not transport


def test_unwritten_request_is_reported_and_ends_the_connection(
    direct: direct_fakes.Pool,
) -> None:
    """Guards against a request that neither runs nor fails."""
    transport = direct.warm()

    def fail() -> None:
        raise errors.ConnectionStale('closed')

    job = direct_fakes.Job(start=fail)
    direct.pool.submit(job)
    assert isinstance(job.done.result(0), errors.ConnectionStale)
    assert transport.closed.wait(direct_fakes.LONG_S)
    assert transport.sends == 1


def test_refused_send_keeps_the_connection(direct: direct_fakes.Pool) -> None:
    """Guards against closing a connection on which nothing was sent."""
    transport = direct.warm()

    def refuse() -> None:
        raise errors.DeadlinePast('too late')

    refused = direct_fakes.Job(start=refuse)
    direct.pool.submit(refused)
    assert isinstance(refused.done.result(0), errors.DeadlinePast)
    job = direct_fakes.Job()
    direct.pool.submit(job)
    transport.make_readable()
    assert job.done.result(direct_fakes.LONG_S) == 'reply'
    assert job.transport is transport


def test_fault_while_writing_counts_as_a_possible_run(
    direct: direct_fakes.Pool,
) -> None:
    """Guards against 'not run' for a request of which bytes may have left."""
    transport = direct.warm()

    def fail() -> None:
        raise ValueError('fault')

    job = direct_fakes.Job(start=fail)
    direct.pool.submit(job)
    assert isinstance(job.done.result(0), errors.ConnectionBroken)
    assert transport.closed.wait(direct_fakes.LONG_S)


def test_large_request_is_written_by_the_connections_task(
    direct: direct_fakes.Pool,
) -> None:
    """Guards against a request's task that waits for room to write."""
    transport = direct.warm()
    job = direct_fakes.Job(writes_at_once=False)
    direct.pool.submit(job)
    assert job.done.result(direct_fakes.LONG_S) == 'reply'
    assert job.started_by != threading.get_ident()
    assert job.transport is not transport
    assert transport.closed.wait(direct_fakes.LONG_S)


def test_fresh_connection_replaces_an_idle_one(
    direct: direct_fakes.Pool,
) -> None:
    """Guards against an idle task that misses the job assigned to it."""
    transport = direct.warm()
    job = direct_fakes.Job()
    direct.pool.submit(job, pool.NEW_CONNECTION)
    assert job.done.result(direct_fakes.LONG_S) == 'reply'
    assert job.transport is not transport
    assert transport.closed.is_set()


def test_close_ends_an_idle_task(direct: direct_fakes.Pool) -> None:
    """Guards against a shutdown that waits for the idle time."""
    transport = direct.warm()
    direct.pool.close()
    assert transport.closed.wait(direct_fakes.LONG_S)


def test_close_leaves_a_running_job_its_connection(
    direct: direct_fakes.Pool,
) -> None:
    """Guards against aborting a request when its searcher is withdrawn."""
    transport = direct.warm()
    job = direct_fakes.Job()
    direct.pool.submit(job)
    direct.pool.close()
    assert not transport.aborted
    transport.make_readable()
    assert job.done.result(direct_fakes.LONG_S) == 'reply'
    assert transport.closed.wait(direct_fakes.LONG_S)


def test_refused_send_leaves_no_connection_that_has_ended(
    direct: direct_fakes.Pool,
) -> None:
    """Guards against a job for a connection whose task has ended.

    The idle time ends while the send is refused, and the pool hears of the
    refusal last. Nothing would run a job that is assigned then.
    """
    transport = direct.warm()
    real = direct.pool.mark_idle

    def mark_idle(
        connection: pooled_connection.PooledConnection[direct_fakes.Transport],
    ) -> None:
        assert transport.closed.wait(direct_fakes.LONG_S)
        real(connection)

    def refuse() -> None:
        direct.clock.advance(direct_fakes.IDLE_S + 1.0)
        raise errors.DeadlinePast('too late')

    direct.pool.mark_idle = mark_idle  # type: ignore[method-assign]
    refused = direct_fakes.Job(start=refuse)
    direct.pool.submit(refused)
    assert isinstance(refused.done.result(0), errors.DeadlinePast)
    assert direct.pool.size == direct.pool.idle == 0
    direct.pool.mark_idle = real  # type: ignore[method-assign]
    # The second one replaces the connection that has been idle for longest.
    for _ in range(2):
        job = direct_fakes.Job()
        direct.pool.submit(job, pool.NEW_CONNECTION)
        assert job.done.result(direct_fakes.LONG_S) == 'reply'


class _LateStart(direct_connection.DirectConnection[direct_fakes.Transport]):
    """Connection whose first start goes on only when the test permits."""

    begun = threading.Event()
    permitted = threading.Event()
    starts = 0

    def start(self) -> None:
        type(self).starts += 1
        if self.starts == 1:
            self.begun.set()
            assert self.permitted.wait(direct_fakes.LONG_S)
        super().start()


def test_request_is_written_once_if_an_earlier_start_is_late() -> None:
    """Guards against a request that is sent twice.

    The task that assigned a job goes on only after the connection's task has
    performed it, because the idle time had ended, and a second job has been
    assigned and started.
    """
    direct = direct_fakes.Pool(1)
    direct.pool.close()
    direct.pool = pool.ConnectionPool(
        direct._dial,
        direct.executor,
        direct.clock,
        pool.PoolLimits(1, direct_fakes.IDLE_S),
        open_connection=_LateStart,
    )
    direct.warm()
    first, second = direct_fakes.Job(), direct_fakes.Job()
    submitting = threading.Thread(
        target=direct.pool.submit,
        args=(first, pool.NEW_CONNECTION),
        daemon=True,
    )
    submitting.start()
    assert _LateStart.begun.wait(direct_fakes.LONG_S)
    direct.clock.advance(direct_fakes.IDLE_S + 1.0)
    assert first.done.result(direct_fakes.LONG_S) == 'reply'
    transport = direct.transports[-1]
    assert transport.waits.acquire(timeout=direct_fakes.LONG_S)
    direct.pool.submit(second)
    _LateStart.permitted.set()
    submitting.join(direct_fakes.LONG_S)
    assert second.transport is transport
    assert transport.sends == 2
    transport.make_readable()
    assert second.done.result(direct_fakes.LONG_S) == 'reply'
    direct.pool.close()
    direct.executor.shutdown()


class _Unsteady(direct_fakes.Transport):
    """Replies at once, and is closed by its server before each third send."""

    def await_readable(self, timeout_s: float) -> bool:
        with self._condition:
            while not self._readable:
                self._condition.wait(direct_fakes.LONG_S)
            readable, self._readable = self._readable, self.aborted
            return readable


class _Request(direct_fakes.Job):
    def start(self, transport: direct_fakes.Transport) -> None:
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
    direct = direct_fakes.Pool(4)
    jobs: list[_Request] = []

    def dial() -> direct_fakes.Transport:
        return _Unsteady(direct.clock)

    direct.pool.dial = dial

    def submit(count: int) -> None:
        for _ in range(count):
            job = _Request()
            jobs.append(job)
            with contextlib.suppress(errors.Overloaded):
                direct.pool.submit(job)
                job.done.result(direct_fakes.LONG_S)

    callers = [
        threading.Thread(target=submit, args=(200,), daemon=True)
        for _ in range(4)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join(direct_fakes.LONG_S)
        assert not caller.is_alive()
    replies = [job.done.result(0) for job in jobs if job.done.done()]
    direct.pool.close()
    direct.executor.shutdown()
    assert replies.count('reply') > len(jobs) // 2
    assert all(
        r == 'reply' or isinstance(r, errors.ConnectionStale) for r in replies
    )
    assert direct.pool.size == 0
