"""Limits that change while direct connections are idle."""

import collections.abc

import pytest

from . import direct_fakes


@pytest.fixture
def direct() -> collections.abc.Iterator[direct_fakes.Pool]:
    direct = direct_fakes.Pool(1)
    yield direct
    direct.pool.close()
    # Returns only after the tasks of all connections have ended.
    direct.executor.shutdown()
    assert direct.pool.size == 0


def test_lower_idle_time_ends_an_idle_connection(
    direct: direct_fakes.Pool,
) -> None:
    """Guards against the idle time that was in force when the wait began.

    Nothing happens on the socket that the connection's task waits on.
    """
    transport = direct.warm()
    direct.pool.limit_idle_time(5.0)
    direct.clock.advance(4.0)
    assert transport.waits.acquire(timeout=direct_fakes.LONG_S)
    assert direct.pool.idle == 1
    direct.clock.await_waiters(1)
    direct.clock.advance(1.0)
    assert transport.closed.wait(direct_fakes.LONG_S)


def test_connection_beyond_its_new_idle_time_ends_at_once(
    direct: direct_fakes.Pool,
) -> None:
    """Guards against a connection that outlasts a much lower idle time."""
    transport = direct.warm()
    direct.clock.advance(10.0)
    direct.pool.limit_idle_time(0.5)
    assert direct.pool.size == 0
    assert transport.closed.wait(direct_fakes.LONG_S)


def test_higher_idle_time_keeps_an_idle_connection(
    direct: direct_fakes.Pool,
) -> None:
    """Guards against opening a connection anew for each rare request."""
    transport = direct.warm()
    direct.pool.limit_idle_time(2 * direct_fakes.IDLE_S)
    direct.clock.advance(direct_fakes.IDLE_S + 1.0)
    assert transport.waits.acquire(timeout=direct_fakes.LONG_S)
    job = direct_fakes.Job()
    direct.pool.submit(job)
    assert job.transport is transport
    transport.make_readable()
    assert job.done.result(direct_fakes.LONG_S) == 'reply'


def test_busy_connection_beyond_a_lower_limit_ends_after_its_job() -> None:
    """Guards against more idle connections than this host's share."""
    direct = direct_fakes.Pool(2)
    transport = direct.warm()
    job = direct_fakes.Job()
    direct.pool.submit(job)
    other = direct.warm()
    direct.pool.limit_connections(1)
    assert direct.pool.size == 1
    assert other.closed.wait(direct_fakes.LONG_S)
    assert not transport.aborted
    transport.make_readable()
    assert job.done.result(direct_fakes.LONG_S) == 'reply'
    assert direct.pool.size == direct.pool.idle == 1
    direct.pool.close()
    direct.executor.shutdown()
