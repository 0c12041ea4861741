"""The connection pool under arbitrary sequences of calls."""

import collections.abc
import concurrent.futures
import threading
import time
import typing

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from corianderport_testkit import clock as manual
from corianderport_tier.connection import direct_connection
from corianderport_tier.connection import pool
from corianderport_tier import errors

_CONNECTIONS = 3
_IDLE_S = 30.0
_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.001


@attrs.define(eq=False)
class _Transport:
    clock: manual.ManualClock
    used: int = 0
    closed: bool = False
    # Time of the last reply and its number; None while a job is running.
    idle_since: tuple[float, int] | None = None
    # Whether the pool has to close it at once.
    unwanted: bool = False
    condition: threading.Condition = attrs.Factory(threading.Condition)
    _readable: bool = False
    _aborted: bool = False

    def await_readable(self, timeout_s: float) -> bool:
        with self.condition:
            if not self._readable and timeout_s > 0:
                self.clock.wait(self.condition, timeout_s)
            return self._readable

    def set_readable(self, readable: bool) -> None:
        with self.condition:
            self._readable = readable or self._aborted
            self.condition.notify_all()

    def abort(self) -> None:
        self._aborted = True
        self.set_readable(True)

    def close(self) -> None:
        assert not self.closed
        self.closed = True


@attrs.define(eq=False)
class _Job:
    """Job that runs on its connection's task until the test ends it."""

    writes_at_once: bool
    # When the connection's task began to wait for the reply alone.
    awaited_s: float | None = None
    used_before: int | None = None
    transport: _Transport | None = None
    started: threading.Event = attrs.Factory(threading.Event)
    ending: concurrent.futures.Future[object] = attrs.Factory(
        concurrent.futures.Future
    )
    finished: concurrent.futures.Future[object] = attrs.Factory(
        concurrent.futures.Future
    )

    def perform(self, transport: _Transport) -> object:
        self.start(transport)
        return self.complete(transport)

    def start(self, transport: _Transport) -> None:
        assert not transport.closed
        assert self.transport is None
        self.transport = transport
        self.used_before = transport.used
        transport.used += 1
        self.started.set()

    def complete(self, transport: _Transport) -> object:
        self.awaited_s = transport.clock.monotonic()
        reply = self.ending.result(_TIMEOUT_S)
        transport.set_readable(False)
        if isinstance(reply, Exception):
            raise reply
        return reply

    def end(self, reply: object) -> None:
        assert self.transport is not None
        self.transport.set_readable(True)
        self.ending.set_result(reply)

    def finish(self, reply: object) -> None:
        self.finished.set_result(reply)


class PoolMachine(stateful.RuleBasedStateMachine):
    """Each accepted job is performed and finished exactly once.

    An idle connection is kept and used for exactly as long as the limits
    permit that are in force at the moment.
    """

    direct: typing.ClassVar[bool] = False

    def __init__(self) -> None:
        super().__init__()
        self.clock = manual.ManualClock()
        self.executor = concurrent.futures.ThreadPoolExecutor(16)
        self.limit = _CONNECTIONS
        self.idle_s = _IDLE_S
        self.pool: pool.ConnectionPool[_Transport] = pool.ConnectionPool(
            lambda: _Transport(self.clock),
            self.executor,
            self.clock,
            pool.PoolLimits(_CONNECTIONS, _IDLE_S),
            open_connection=direct_connection.DirectConnection
            if self.direct
            else pool.Connection,
        )
        self.running: list[_Job] = []
        self.transports: list[_Transport] = []
        self.replies = 0
        self.closed = False

    @stateful.rule(
        fresh=strategies.booleans(),
        excluded_at=strategies.sets(strategies.integers(0, _CONNECTIONS)),
        at_once=strategies.booleans(),
    )
    def submit(
        self, fresh: bool, excluded_at: set[int], at_once: bool
    ) -> None:
        job = _Job(at_once)
        recent = self.transports[::-1]
        excluded = tuple(recent[n] for n in excluded_at if n < len(recent))
        since_s = float('inf') if fresh else float('-inf')
        reuse = pool.Reuse(since_s, excluded)
        usable = [] if fresh else self._usable(excluded)
        try:
            self.pool.submit(job, reuse)
        except errors.Overloaded:
            assert len(self.running) >= self.limit
            return
        except errors.NotReady:
            assert self.closed
            return
        assert job.started.wait(_TIMEOUT_S)
        if fresh:
            assert job.used_before == 0
        assert job.transport is not None
        assert job.transport not in excluded
        if job.transport in self.transports:
            assert job.transport in usable
            assert not job.transport.unwanted
        else:
            self.transports.append(job.transport)
            # A connection that may be used is not passed over. One that
            # cannot be written to at once is opened anew.
            assert not usable or (self.direct and not at_once)
        job.transport.idle_since = None
        self.running.append(job)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data())
    def reply(self, data: strategies.DataObject) -> None:
        self._end(data, 'reply')

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        data=strategies.data(),
        error=strategies.sampled_from(
            [
                errors.ConnectionSilent,
                errors.ConnectionBroken,
                errors.DeadlinePast,
                ValueError,
            ]
        ),
    )
    def fail(
        self, data: strategies.DataObject, error: type[Exception]
    ) -> None:
        self._end(data, error('fault'))

    @stateful.rule(seconds=strategies.sampled_from([1.0, 4.0, 11.0, 31.0]))
    def advance(self, seconds: float) -> None:
        # A wait that begins while the time changes would end late.
        self._await(self._all_wait)
        self.clock.advance(seconds)

    @stateful.rule(idle_s=strategies.sampled_from([0.5, 5.0, 10.0, 30.0]))
    def limit_idle_time(self, idle_s: float) -> None:
        self.idle_s = idle_s
        self.pool.limit_idle_time(idle_s)

    @stateful.rule(limit=strategies.integers(1, _CONNECTIONS))
    def limit_connections(self, limit: int) -> None:
        surplus = max(0, self.pool.size - limit)
        self.limit = limit
        self.pool.limit_connections(limit)
        idle = sorted(self._idle(), key=lambda t: t.idle_since or (0.0, 0))
        for transport in idle[:surplus]:
            transport.unwanted = True

    @stateful.rule()
    def close_unverified(self) -> None:
        now_s = self.clock.monotonic()
        self.pool.close_unverified(now_s)
        self._expect_unverified_closed(now_s)

    # An early end would leave most sequences without anything to check.
    @stateful.precondition(lambda self: len(self.transports) > _CONNECTIONS)
    @stateful.rule()
    def close(self) -> None:
        self.pool.close()
        self.closed = True
        self._expect_unverified_closed(self.clock.monotonic())

    @stateful.invariant()
    def limits_in_force_are_kept(self) -> None:
        self.pool.close_expired()
        latest_s = self.clock.monotonic() - self.idle_s
        for transport in self._idle():
            assert transport.idle_since is not None
            if transport.unwanted or transport.idle_since[0] <= latest_s:
                self._await(lambda: transport.closed)
        assert len(self.running) <= self.pool.size
        assert self.pool.size <= max(self.limit, len(self.running))

    def teardown(self) -> None:
        for job in self.running:
            job.end('reply')
        self.pool.close()
        # Returns only after the task of every connection has ended.
        self.executor.shutdown()
        assert all(job.finished.done() for job in self.running)
        assert self.pool.size == self.pool.idle == 0

    def _idle(self) -> list[_Transport]:
        return [
            t
            for t in self.transports
            if t.idle_since is not None and not t.closed
        ]

    def _usable(self, excluded: tuple[_Transport, ...]) -> list[_Transport]:
        """Return the transports that a job may be sent on."""
        now_s = self.clock.monotonic()
        return [
            t
            for t in self._idle()
            if t.idle_since is not None
            and now_s < t.idle_since[0] + self.idle_s
            and not t.unwanted
            and t not in excluded
        ]

    def _all_wait(self) -> bool:
        """Whether every connection's task waits for an event or a reply."""
        idle = self._idle()
        if not self.direct:
            return self.clock.waiter_count == len(idle)
        return all(self.clock.waits_on(t.condition) for t in idle) and all(
            job.awaited_s is not None
            or self.clock.waits_on(job.transport.condition)
            for job in self.running
            if job.transport is not None
        )

    def _expect_unverified_closed(self, since_s: float) -> None:
        """Expect the end of idle connections without a reply since then."""
        for transport in self._idle():
            assert transport.idle_since is not None
            if transport.idle_since[0] <= since_s:
                transport.unwanted = True

    def _await(self, condition: collections.abc.Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + _TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline_s
            time.sleep(_POLL_INTERVAL_S)

    def _end(self, data: strategies.DataObject, reply: object) -> None:
        index = data.draw(strategies.integers(0, len(self.running) - 1))
        job = self.running.pop(index)
        surplus = self.pool.size > self.limit
        job.end(reply)
        received = job.finished.result(_TIMEOUT_S)
        if isinstance(reply, ValueError):
            assert isinstance(received, errors.TransportError)
        else:
            assert received is reply
        if isinstance(received, errors.TransportError):
            if received is reply and job.used_before:
                assert job.awaited_s is not None
                self._expect_unverified_closed(job.awaited_s)
            return
        transport = job.transport
        assert transport is not None
        self.replies += 1
        transport.idle_since = (self.clock.monotonic(), self.replies)
        transport.unwanted = surplus or self.closed


class DirectPoolMachine(PoolMachine):
    """The same with connections on which the submitting task writes."""

    direct = True


_SETTINGS = hypothesis.settings(max_examples=100, stateful_step_count=50)

TestPool = PoolMachine.TestCase
TestPool.settings = _SETTINGS
TestDirectPool = DirectPoolMachine.TestCase
TestDirectPool.settings = _SETTINGS
