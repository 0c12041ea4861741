"""Limits that change while direct connections are idle."""

import collections.abc
import typing

import pytest


from . import direct_fakes
from . import entries
from . import test_forwarding


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
    direct.pool.close_expired()
    assert direct.pool.idle == 1
    direct.clock.advance(1.0)
    direct.pool.close_expired()
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


class _Pool:
    def __init__(self) -> None:
        self.checks = 0

    def close_expired(self) -> None:
        self.checks += 1

    def limit_connections(self, limit: int) -> None:
        pass

    def limit_idle_time(self, idle_s: float) -> None:
        pass

    def close(self) -> None:
        pass


def test_housekeeping_reaches_the_pools_of_all_searchers() -> None:
    """Guards against a pool whose idle connections outlast a lower limit."""
    pools: list[_Pool] = []

    def open_pool(registration: object, limit: int) -> typing.Any:
        pools.append(_Pool())
        return pools[-1]

    host = test_forwarding.Host(
        entries.route(), replicas=3, open_pool=open_pool
    )
    host.directory.close_expired_connections()
    assert [pool.checks for pool in pools] == [1, 1, 1]
