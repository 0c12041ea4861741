"""corianderport_tier.connection.pool

Persistent connections to one address, each served by one task.
"""

import collections.abc
import concurrent.futures
import threading
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors

__all__ = ['Connection', 'ConnectionPool', 'Job', 'PoolLimits']


class Closeable(typing.Protocol):
    """A transport that can be closed."""

    def close(self) -> None:
        """Release the connection."""


T = typing.TypeVar('T', bound=Closeable)
T_contra = typing.TypeVar('T_contra', contravariant=True)


class Job(typing.Protocol[T_contra]):
    """One call to make on a connection."""

    def perform(self, transport: T_contra) -> object:
        """Make the call and return its reply.

        :raises TransportError: the connection may not be used again.
        """

    def finish(self, reply: object) -> None:
        """Take the reply, or the error that ended the call."""


@attrs.frozen
class PoolLimits:
    """Limits of one pool; ages and timeouts in seconds."""

    connections: int
    idle_s: float = 30.0


class Connection(typing.Generic[T]):
    """A connection and the task that serves it."""

    def __init__(self, pool: 'ConnectionPool[T]', job: Job[T]) -> None:
        self._pool = pool
        self._condition = threading.Condition()
        self._job: Job[T] | None = job
        self._closed = False

    def assign(self, job: Job[T]) -> None:
        """Give the idle connection its next job."""
        with self._condition:
            self._job = job
            self._condition.notify()

    def close(self) -> None:
        """End the task once its present job is finished."""
        with self._condition:
            self._closed = True
            self._condition.notify()

    def run(self) -> None:
        """Dial, then perform one job after another until closed."""
        job = self._job
        assert job is not None
        try:
            transport = self._pool.dial()
        except errors.TransportError as error:
            self._pool.forget(self)
            job.finish(error)
            return
        try:
            self._serve(transport, job)
        finally:
            transport.close()
            self._pool.forget(self)

    def _serve(self, transport: T, first: Job[T]) -> None:
        job: Job[T] | None = first
        while job is not None:
            try:
                reply = job.perform(transport)
            except errors.TransportError as error:
                self._pool.forget(self)
                job.finish(error)
                return
            except errors.CorianderportError as error:
                reply = error
            self._job = None
            # The connection is idle before its result is delivered, so
            # that the request's next attempt finds it.
            self._pool.put_back(self)
            job.finish(reply)
            job = self._next_job()

    def _next_job(self) -> Job[T] | None:
        with self._condition:
            if self._job is None and not self._closed:
                self._pool.clock.wait(
                    self._condition, self._pool.limits.idle_s
                )
            if self._job is not None:
                return self._job
        if self._pool.retire(self):
            return None
        # A job was assigned between the timeout and the removal.
        with self._condition:
            while self._job is None:
                self._pool.clock.wait(self._condition, None)
            return self._job


class ConnectionPool(typing.Generic[T]):
    """All connections of this host to one address.

    Every connection occupies one thread of the executor.
    """

    def __init__(
        self,
        dial: collections.abc.Callable[[], T],
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        limits: PoolLimits,
    ) -> None:
        self.dial = dial
        self.clock = clock
        self.limits = limits
        self._executor = executor
        self._lock = threading.Lock()
        self._idle: list[Connection[T]] = []
        self._all: set[Connection[T]] = set()
        self._closed = False

    @property
    def size(self) -> int:
        """Number of connections, open or being opened."""
        return len(self._all)

    def submit(self, job: Job[T]) -> None:
        """Run a job on an idle connection or on a new one.

        :raises Overloaded: the limit of connections is reached.
        :raises NotReady: the pool is closed.
        """
        with self._lock:
            if self._closed:
                raise errors.NotReady('connection pool is closed')
            if self._idle:
                self._idle.pop().assign(job)
                return
            if len(self._all) >= self.limits.connections:
                raise errors.Overloaded('connection limit reached')
            connection = Connection(self, job)
            self._all.add(connection)
        self._executor.submit(connection.run)

    def put_back(self, connection: Connection[T]) -> None:
        """Make a connection available again."""
        with self._lock:
            if self._closed:
                connection.close()
            else:
                self._idle.append(connection)

    def retire(self, connection: Connection[T]) -> bool:
        """Remove an idle connection; False when it just got a job."""
        with self._lock:
            if connection in self._idle:
                self._idle.remove(connection)
                return True
            return self._closed

    def forget(self, connection: Connection[T]) -> None:
        """Drop a connection whose task ends."""
        with self._lock:
            self._all.discard(connection)

    def close(self) -> None:
        """End all idle connections; busy ones end after their job."""
        with self._lock:
            self._closed = True
            connections = list(self._all)
            self._idle.clear()
        for connection in connections:
            connection.close()
