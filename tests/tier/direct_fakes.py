"""Transports, jobs and a pool of direct connections for tests."""

import collections.abc
import concurrent.futures
import threading

from corianderport_testkit import clock as manual
from corianderport_tier.connection import direct_connection
from corianderport_tier.connection import pool

__all__ = ['IDLE_S', 'LONG_S', 'Job', 'Pool', 'Transport']

LONG_S = 20.0
IDLE_S = 30.0


class Transport:
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


class Job:
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
        self.transport: Transport | None = None
        self.started_by: int | None = None
        self.done: concurrent.futures.Future[object] = (
            concurrent.futures.Future()
        )

    def perform(self, transport: Transport) -> object:
        self.start(transport)
        return self.complete(transport)

    def start(self, transport: Transport) -> None:
        self.started_by = threading.get_ident()
        self._start()
        self.transport = transport
        transport.sends += 1

    def complete(self, transport: Transport) -> object:
        return self._complete()

    def finish(self, reply: object) -> None:
        self.done.set_result(reply)


class Pool:
    """A pool of direct connections and its transports."""

    def __init__(self, connections: int) -> None:
        self.clock = manual.ManualClock()
        self.executor = concurrent.futures.ThreadPoolExecutor(8)
        self.transports: list[Transport] = []
        self.pool: pool.ConnectionPool[Transport] = pool.ConnectionPool(
            self._dial,
            self.executor,
            self.clock,
            pool.PoolLimits(connections, IDLE_S),
            open_connection=direct_connection.DirectConnection,
        )

    def _dial(self) -> Transport:
        self.transports.append(Transport(self.clock))
        return self.transports[-1]

    def warm(self) -> Transport:
        """Perform a first job and wait until its connection is idle."""
        job = Job()
        self.pool.submit(job)
        assert job.done.result(LONG_S) == 'reply'
        transport = self.transports[-1]
        assert transport.waits.acquire(timeout=LONG_S)
        return transport
