"""corianderport_tier.connection.pool

Pool of persistent connections to one address.
"""

import collections.abc
import concurrent.futures
import threading
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import pooled_connection
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import limit_events

__all__ = [
    'ANY_CONNECTION',
    'Connection',
    'ConnectionPool',
    'Job',
    'NEW_CONNECTION',
    'OpenConnection',
    'PoolLimits',
    'Reuse',
]

T = typing.TypeVar('T', bound=pooled_connection.Closeable)

Connection = pooled_connection.Connection
Job = pooled_connection.Job
PooledConnection = pooled_connection.PooledConnection
Reuse = pooled_connection.Reuse

ANY_CONNECTION = Reuse()
NEW_CONNECTION = Reuse(verified_since_s=float('inf'))


@attrs.frozen
class PoolLimits:
    """Limits of one pool.

    A connection without a job for ``idle_s`` seconds is closed. A change
    applies to connections that are already idle.
    """

    connections: int
    idle_s: float = 30.0


OpenConnection = collections.abc.Callable[
    [pooled_connection.Owner[T], Job[T], float], PooledConnection[T]
]


def _usable_for_good(transport: object) -> float:
    return float('inf')


def _close(
    connections: collections.abc.Iterable[PooledConnection[typing.Any]],
) -> None:
    for connection in connections:
        connection.close()


class ConnectionPool(typing.Generic[T]):
    """Connections of this host to one address.

    Each open connection occupies one thread of the executor.

    :param usable_until_s: returns the time until which an idle transport can
        carry another job, in seconds of the monotonic clock.
    :param events: counts jobs that failed unexpectedly.
    :param open_connection: creates a connection for its first job.
    """

    def __init__(
        self,
        dial: collections.abc.Callable[[], T],
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        limits: PoolLimits,
        usable_until_s: collections.abc.Callable[
            [T], float
        ] = _usable_for_good,
        events: limit_events.LimitEvents | None = None,
        open_connection: OpenConnection[T] = Connection,
    ) -> None:
        self._events = events or limit_events.LimitEvents(
            decision_log.DecisionLog(), clock
        )
        self.dial = dial
        self.usable_until_s = usable_until_s
        self.clock = clock
        self.limits = limits
        self._executor = executor
        self._open_connection = open_connection
        self._lock = threading.Lock()
        self._idle: list[PooledConnection[T]] = []
        self._all: set[PooledConnection[T]] = set()
        self._closed = False

    @property
    def idle_s(self) -> float:
        """Time after which a connection without a job is closed."""
        return self.limits.idle_s

    @property
    def size(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._all)

    @property
    def idle(self) -> int:
        """Number of connections without a job."""
        return len(self._idle)

    def submit(self, job: Job[T], reuse: Reuse = ANY_CONNECTION) -> None:
        """Run a job on an idle or a new connection.

        At the connection limit, a new connection replaces an idle one.

        :param reuse: which idle connections may carry the job.
        :raises Overloaded: the connection limit is reached.
        :raises NotReady: the pool or the executor is closed.
        """
        with self._lock:
            if self._closed:
                raise errors.NotReady('the connection pool is closed')
            idle = self._latest_idle(reuse)
            if idle is not None:
                self._idle.remove(idle)
                idle.assign(job, fresh=False)
            elif len(self._all) < self.limits.connections:
                connection = self._open_connection(
                    self, job, self.clock.monotonic()
                )
                self._all.add(connection)
            elif self._idle:
                idle = self._idle.pop(0)
                idle.assign(job, fresh=True)
            else:
                raise errors.Overloaded('the connection limit is reached')
        if idle is not None:
            idle.start()
        else:
            self._start(connection)

    def limit_connections(self, limit: int) -> None:
        """Set the maximum number of connections.

        Idle connections beyond it are closed at once, and busy ones after
        their job.
        """
        if limit == self.limits.connections:
            return
        with self._lock:
            self.limits = attrs.evolve(self.limits, connections=limit)
            surplus = self._idle[: max(0, len(self._all) - limit)]
            self._retire(surplus)
        _close(surplus)

    def limit_idle_time(self, idle_s: float) -> None:
        """Set the time after which an idle connection is closed."""
        if idle_s == self.limits.idle_s:
            return
        with self._lock:
            self.limits = attrs.evolve(self.limits, idle_s=idle_s)
        self.close_expired()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long.

        Their tasks do so after the idle time that was in force when their
        waits began. Called periodically, it applies a shorter one; if each
        task read the limits every second instead, 200 idle connections would
        take 0.4% of a core.
        """
        with self._lock:
            now_s = self.clock.monotonic()
            expired = [c for c in self._idle if c.idle_too_long(now_s)]
            self._retire(expired)
        _close(expired)

    def mark_idle(self, connection: PooledConnection[T]) -> None:
        """Make a connection available for the next job, or close it."""
        with self._lock:
            if self._closed or len(self._all) > self.limits.connections:
                self._retire([connection])
                connection.close()
            # The task of a connection on which a send was refused may have
            # ended meanwhile.
            elif connection in self._all:
                self._idle.append(connection)

    def remove_if_idle(self, connection: PooledConnection[T]) -> bool:
        """Remove a connection; return False if it has a job."""
        with self._lock:
            # Jobs are assigned only under this lock and only to idle
            # connections.
            if connection.has_job:
                return False
            self._retire([connection])
            return True

    def forget(self, connection: PooledConnection[T]) -> None:
        """Remove a connection whose task is ending."""
        with self._lock:
            self._retire([connection])

    def close_unverified(self, since_s: float) -> None:
        """Close idle connections without a reply after ``since_s``."""
        with self._lock:
            unverified = [c for c in self._idle if c.verified_s <= since_s]
            self._retire(unverified)
        _close(unverified)

    def close(self) -> None:
        """Close idle connections now and busy ones after their job."""
        with self._lock:
            self._closed = True
            connections = list(self._all)
            self._idle.clear()
        for connection in connections:
            connection.close()

    def as_error(self, error: Exception) -> errors.CorianderportError:
        """Return what a job gets for an error, and count unexpected ones."""
        if isinstance(error, errors.CorianderportError):
            return error
        self._events.record('searcher_task_failed', repr(error), error)
        # The call may have been sent before the error.
        return errors.ConnectionBroken(f'connection task failed: {error!r}')

    def _retire(
        self, connections: collections.abc.Iterable[PooledConnection[T]]
    ) -> None:
        """Stop counting connections, whose tasks may still be closing them."""
        for connection in connections:
            self._all.discard(connection)
            if connection in self._idle:
                self._idle.remove(connection)

    def _latest_idle(self, reuse: Reuse) -> PooledConnection[T] | None:
        """Return the permitted connection that was used last."""
        now_s = self.clock.monotonic()
        return next(
            (c for c in reversed(self._idle) if c.permitted_by(reuse, now_s)),
            None,
        )

    def _start(self, connection: PooledConnection[T]) -> None:
        try:
            self._executor.submit(connection.run)
        except RuntimeError as error:
            # An executor that cannot start a thread has queued the task
            # nevertheless, and a thread that becomes free may run it.
            if connection.abandon():
                self.forget(connection)
                raise errors.NotReady(f'no thread: {error}') from error
