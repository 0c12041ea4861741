"""The connection pool under arbitrary sequences of calls."""

import concurrent.futures
import threading

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from corianderport_testkit import clock as manual
from corianderport_tier.connection import pool
from corianderport_tier import errors

_CONNECTIONS = 3
_IDLE_S = 30.0
_TIMEOUT_S = 20.0


@attrs.define(eq=False)
class _Transport:
    used: int = 0
    closed: bool = False

    def close(self) -> None:
        assert not self.closed
        self.closed = True


@attrs.define(eq=False)
class _Job:
    """Job that runs on its connection's task until the test ends it."""

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
        assert not transport.closed
        self.transport = transport
        self.used_before = transport.used
        transport.used += 1
        self.started.set()
        reply = self.ending.result(_TIMEOUT_S)
        if isinstance(reply, Exception):
            raise reply
        return reply

    def finish(self, reply: object) -> None:
        self.finished.set_result(reply)


class PoolMachine(stateful.RuleBasedStateMachine):
    """Each accepted job is performed and finished exactly once."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = manual.ManualClock()
        self.executor = concurrent.futures.ThreadPoolExecutor(8)
        self.pool: pool.ConnectionPool[_Transport] = pool.ConnectionPool(
            _Transport,
            self.executor,
            self.clock,
            pool.PoolLimits(_CONNECTIONS, _IDLE_S),
        )
        self.running: list[_Job] = []
        self.transports: list[_Transport] = []
        self.closed = False

    @stateful.rule(
        fresh=strategies.booleans(),
        excluded_at=strategies.sets(strategies.integers(0, _CONNECTIONS)),
    )
    def submit(self, fresh: bool, excluded_at: set[int]) -> None:
        job = _Job()
        recent = self.transports[::-1]
        excluded = tuple(recent[n] for n in excluded_at if n < len(recent))
        since_s = float('inf') if fresh else float('-inf')
        reuse = pool.Reuse(since_s, excluded)
        try:
            self.pool.submit(job, reuse)
        except errors.Overloaded:
            assert len(self.running) == _CONNECTIONS
            return
        except errors.NotReady:
            assert self.closed
            return
        assert job.started.wait(_TIMEOUT_S)
        if fresh:
            assert job.used_before == 0
        assert job.transport is not None
        assert job.transport not in excluded
        if job.transport not in self.transports:
            self.transports.append(job.transport)
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

    @stateful.rule()
    def idle_out(self) -> None:
        self.clock.advance(_IDLE_S + 1.0)

    @stateful.rule()
    def close_unverified(self) -> None:
        self.pool.close_unverified(self.clock.monotonic())

    @stateful.rule()
    def close(self) -> None:
        self.pool.close()
        self.closed = True

    @stateful.invariant()
    def limit_is_kept(self) -> None:
        assert len(self.running) <= self.pool.size <= _CONNECTIONS

    def teardown(self) -> None:
        for job in self.running:
            job.ending.set_result('reply')
        self.pool.close()
        # Returns only after the task of every connection has ended.
        self.executor.shutdown()
        assert all(job.finished.done() for job in self.running)
        assert self.pool.size == self.pool.idle == 0

    def _end(self, data: strategies.DataObject, reply: object) -> None:
        index = data.draw(strategies.integers(0, len(self.running) - 1))
        job = self.running.pop(index)
        job.ending.set_result(reply)
        received = job.finished.result(_TIMEOUT_S)
        if isinstance(reply, ValueError):
            assert isinstance(received, errors.TransportError)
        else:
            assert received is reply


TestPool = PoolMachine.TestCase
TestPool.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25
)
