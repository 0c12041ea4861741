"""corianderport_tier.connection.pool

Pool of persistent connections to one address.
"""

import collections.abc
import concurrent.futures
import logging
import threading
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors

__all__ = [
    'ANY_CONNECTION',
    'Connection',
    'ConnectionPool',
    'Job',
    'NEW_CONNECTION',
    'PoolLimits',
    'Reuse',
]

_LOG = logging.getLogger('corianderport.pool')


class Closeable(typing.Protocol):
    """A transport that can be closed."""

    def close(self) -> None:
        """Close the connection."""


T = typing.TypeVar('T', bound=Closeable)
T_contra = typing.TypeVar('T_contra', contravariant=True)


class Job(typing.Protocol[T_contra]):
    """A call that is made on one connection of a pool."""

    def perform(self, transport: T_contra) -> object:
        """Make the call and return its reply.

        :raises TransportError: the connection must not be used again.
        """

    def finish(self, reply: object) -> None:
        """Receive the reply or the error; called exactly once."""


@attrs.frozen
class PoolLimits:
    """Limits of one pool.

    A connection without a job for ``idle_s`` seconds is closed.
    """

    connections: int
    idle_s: float = 30.0


@attrs.frozen
class Reuse:
    """Which open connections may carry a job.

    The last reply on the connection, or without one its opening, must not be
    before ``verified_since_s``. None of the transports in ``excluded``
    carries the job.
    """

    verified_since_s: float = float('-inf')
    excluded: tuple[object, ...] = ()

    def permits(self, verified_s: float, transport: object) -> bool:
        """Whether a connection may carry the job."""
        return (
            verified_s >= self.verified_since_s
            and transport not in self.excluded
        )


ANY_CONNECTION = Reuse()
NEW_CONNECTION = Reuse(verified_since_s=float('inf'))


@attrs.frozen
class _Assignment(typing.Generic[T]):
    """A job; ``fresh`` if it must get a newly opened connection."""

    job: Job[T]
    fresh: bool


class Connection(typing.Generic[T]):
    """A connection, served by one task of the executor."""

    def __init__(
        self, pool: 'ConnectionPool[T]', job: Job[T], opened_s: float
    ) -> None:
        self._pool = pool
        self._condition = threading.Condition()
        self._assigned: _Assignment[T] | None = _Assignment(job, False)
        self._closed = False
        self._transport: T | None = None
        self._usable_until_s = float('inf')
        self._replies = 0
        self._verified_s = opened_s

    @property
    def verified_s(self) -> float:
        """Time of the last reply or, without one, of the opening."""
        return self._verified_s

    def permitted_by(self, reuse: Reuse, now_s: float) -> bool:
        """Whether the idle connection may carry a job."""
        return now_s < self._usable_until_s and reuse.permits(
            self._verified_s, self._transport
        )

    @property
    def has_job(self) -> bool:
        """Whether an assigned job has not started yet."""
        with self._condition:
            return self._assigned is not None

    def assign(self, job: Job[T], fresh: bool) -> None:
        """Assign the next job to the idle connection."""
        with self._condition:
            self._assigned = _Assignment(job, fresh)
            self._condition.notify()

    def check_idle_time(self) -> None:
        """Apply a changed idle time to a wait in progress."""
        with self._condition:
            self._condition.notify()

    def close(self) -> None:
        """End the task after its current job."""
        with self._condition:
            self._closed = True
            self._condition.notify()

    def abandon(self) -> bool:
        """Discard the first job; return False if the task has taken it."""
        return self._take() is not None

    def run(self) -> None:
        """Dial and perform jobs until the connection is closed."""
        try:
            assignment = self._take()
            while assignment is not None:
                assignment = self._serve(assignment)
        finally:
            self._pool.forget(self)
            self._fail_assigned()

    def _serve(self, first: _Assignment[T]) -> _Assignment[T] | None:
        """Dial and perform jobs until one needs a fresh connection."""
        try:
            transport = self._pool.dial()
        except Exception as error:
            self._pool.forget(self)
            first.job.finish(_as_error(error))
            return None
        self._transport = transport
        self._replies = 0
        self._verified_s = self._pool.clock.monotonic()
        try:
            return self._serve_dialled(transport, first.job)
        finally:
            transport.close()

    def _serve_dialled(
        self, transport: T, job: Job[T]
    ) -> _Assignment[T] | None:
        while self._perform(transport, job):
            assignment = self._next()
            if assignment is None or assignment.fresh:
                return assignment
            job = assignment.job
        return None

    def _perform(self, transport: T, job: Job[T]) -> bool:
        """Perform a job; return False if the connection must be closed."""
        started_s = self._pool.clock.monotonic()
        try:
            reply = job.perform(transport)
        except errors.TransportError as error:
            self._on_transport_error(error, started_s)
            job.finish(error)
            return False
        except errors.CorianderportError as error:
            reply = error
        except Exception as error:
            self._pool.forget(self)
            job.finish(_as_error(error))
            return False
        self._replies += 1
        self._verified_s = self._pool.clock.monotonic()
        self._usable_until_s = self._pool.usable_until_s(transport)
        # Mark the connection idle before delivering the reply, so that the
        # request's next attempt can reuse it.
        self._pool.mark_idle(self)
        job.finish(reply)
        return True

    def _on_transport_error(
        self, error: errors.TransportError, started_s: float
    ) -> None:
        error.fresh = self._replies == 0
        self._pool.forget(self)
        if not error.fresh:
            # Connections without a reply since then may be half-open for
            # the same reason.
            self._pool.close_unverified(started_s)

    def _next(self) -> _Assignment[T] | None:
        clock = self._pool.clock
        idle_since_s = clock.monotonic()
        with self._condition:
            while self._assigned is None and not self._closed:
                # The pool may change the limit during the wait.
                left_s = self._idle_left_s(idle_since_s)
                if not clock.wait(self._condition, left_s):
                    break
        # A job can still be assigned until the pool removes the connection.
        return None if self._pool.remove_if_idle(self) else self._take()

    def _idle_left_s(self, idle_since_s: float) -> float:
        until_s = idle_since_s + self._pool.limits.idle_s
        until_s = min(until_s, self._usable_until_s)
        return max(0.0, until_s - self._pool.clock.monotonic())

    def _take(self) -> _Assignment[T] | None:
        with self._condition:
            assignment, self._assigned = self._assigned, None
            return assignment

    def _fail_assigned(self) -> None:
        assignment = self._take()
        if assignment is not None:
            assignment.job.finish(
                errors.NotReady('the connection task has ended')
            )


def _usable_for_good(transport: object) -> float:
    return float('inf')


class ConnectionPool(typing.Generic[T]):
    """Connections of this host to one address.

    Each open connection occupies one thread of the executor.

    :param usable_until_s: returns the time until which an idle transport can
        carry another job, in seconds of the monotonic clock.
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
    ) -> None:
        self.dial = dial
        self.usable_until_s = usable_until_s
        self.clock = clock
        self.limits = limits
        self._executor = executor
        self._lock = threading.Lock()
        self._idle: list[Connection[T]] = []
        self._all: set[Connection[T]] = set()
        self._closed = False

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
            latest = self._latest_idle(reuse)
            if latest is not None:
                self._idle.remove(latest)
                latest.assign(job, fresh=False)
                return
            if len(self._all) >= self.limits.connections:
                if not self._idle:
                    raise errors.Overloaded('the connection limit is reached')
                self._idle.pop(0).assign(job, fresh=True)
                return
            connection = Connection(self, job, self.clock.monotonic())
            self._all.add(connection)
        self._start(connection)

    def limit_connections(self, limit: int) -> None:
        """Set the maximum number of connections.

        Idle connections beyond it are closed, and busy ones after their job.
        """
        with self._lock:
            self.limits = attrs.evolve(self.limits, connections=limit)
            surplus = self._idle[: max(0, len(self._all) - limit)]
            for connection in surplus:
                self._retire(connection)
        for connection in surplus:
            connection.close()

    def limit_idle_time(self, idle_s: float) -> None:
        """Set the time after which an idle connection is closed."""
        with self._lock:
            if idle_s == self.limits.idle_s:
                return
            self.limits = attrs.evolve(self.limits, idle_s=idle_s)
            idle = list(self._idle)
        for connection in idle:
            connection.check_idle_time()

    def mark_idle(self, connection: Connection[T]) -> None:
        """Make a connection available for the next job."""
        with self._lock:
            if self._closed:
                connection.close()
            elif len(self._all) > self.limits.connections:
                self._retire(connection)
                connection.close()
            else:
                self._idle.append(connection)

    def remove_if_idle(self, connection: Connection[T]) -> bool:
        """Remove a connection; return False if it has a job."""
        with self._lock:
            # Jobs are assigned only under this lock and only to idle
            # connections.
            if connection.has_job:
                return False
            self._retire(connection)
            return True

    def forget(self, connection: Connection[T]) -> None:
        """Remove a connection whose task is ending."""
        with self._lock:
            self._retire(connection)

    def close_unverified(self, since_s: float) -> None:
        """Close idle connections without a reply after ``since_s``."""
        with self._lock:
            unverified = [c for c in self._idle if c.verified_s <= since_s]
            for connection in unverified:
                self._retire(connection)
        for connection in unverified:
            connection.close()

    def close(self) -> None:
        """Close idle connections now and busy ones after their job."""
        with self._lock:
            self._closed = True
            connections = list(self._all)
            self._idle.clear()
        for connection in connections:
            connection.close()

    def _retire(self, connection: Connection[T]) -> None:
        """Stop counting a connection, whose task may still be closing it."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _latest_idle(self, reuse: Reuse) -> Connection[T] | None:
        """Return the permitted connection that was used last."""
        now_s = self.clock.monotonic()
        return next(
            (c for c in reversed(self._idle) if c.permitted_by(reuse, now_s)),
            None,
        )

    def _start(self, connection: Connection[T]) -> None:
        try:
            self._executor.submit(connection.run)
        except RuntimeError as error:
            # An executor that cannot start a thread has queued the task
            # nevertheless, and a thread that becomes free may run it.
            if connection.abandon():
                self.forget(connection)
                raise errors.NotReady(f'no thread: {error}') from error


def _as_error(error: Exception) -> errors.CorianderportError:
    if isinstance(error, errors.CorianderportError):
        return error
    _LOG.error('connection task failed', exc_info=error)
    # The call may have been sent before the error.
    return errors.ConnectionBroken(f'connection task failed: {error!r}')
