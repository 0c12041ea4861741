"""corianderport_tier.connection.pooled_connection

A connection of a pool, served by one task.
"""

import collections.abc
import threading
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors

__all__ = [
    'Assignment',
    'Closeable',
    'Connection',
    'Job',
    'Owner',
    'PooledConnection',
    'Reuse',
]


class Closeable(typing.Protocol):
    """A transport that can be closed."""

    def close(self) -> None:
        """Close the connection."""


T = typing.TypeVar('T', bound=Closeable)
T_co = typing.TypeVar('T_co', bound=Closeable, covariant=True)
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


@attrs.frozen
class Assignment(typing.Generic[T]):
    """A job; ``fresh`` if it must get a newly opened connection."""

    job: Job[T]
    fresh: bool


class Owner(typing.Protocol[T]):
    """The pool of a connection."""

    clock: clocks.Clock

    @property
    def idle_s(self) -> float:
        """Time after which a connection without a job is closed."""

    def dial(self) -> T:
        """Open a transport."""

    def usable_until_s(self, transport: T) -> float:
        """Return the time until which an idle transport can be used."""

    def mark_idle(self, connection: 'PooledConnection[T]') -> None:
        """Make a connection available for the next job."""

    def remove_if_idle(self, connection: 'PooledConnection[T]') -> bool:
        """Remove a connection; return False if it has a job."""

    def forget(self, connection: 'PooledConnection[T]') -> None:
        """Remove a connection whose task is ending."""

    def close_unverified(self, since_s: float) -> None:
        """Close idle connections without a reply after ``since_s``."""

    def as_error(self, error: Exception) -> errors.CorianderportError:
        """Return what a job gets for an error, and count unexpected ones."""


class PooledConnection(typing.Protocol[T_co]):
    """How a connection gets its jobs."""

    @property
    def verified_s(self) -> float:
        """Time of the last reply or, without one, of the opening."""

    @property
    def has_job(self) -> bool:
        """Whether an assigned job has not started yet."""

    def permitted_by(self, reuse: Reuse, now_s: float) -> bool:
        """Whether the idle connection may carry a job."""

    def idle_too_long(self, now_s: float) -> bool:
        """Whether the idle connection has to be closed."""

    def assign(self, job: Job[T_co], fresh: bool) -> None:
        """Assign the next job to the idle connection.

        Called with the lock of the pool held.
        """

    def start(self) -> None:
        """Start the assigned job as far as the calling task can."""

    def close(self) -> None:
        """End the task after its current job."""

    def abandon(self) -> bool:
        """Discard the first job; return False if the task has taken it."""

    def run(self) -> None:
        """Dial and perform jobs until the connection is closed."""


class Connection(typing.Generic[T]):
    """A connection whose task waits for its next job and performs it."""

    def __init__(self, pool: Owner[T], job: Job[T], opened_s: float) -> None:
        self._pool = pool
        self._condition = threading.Condition()
        self._assigned: Assignment[T] | None = Assignment(job, False)
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
        return not self.idle_too_long(now_s) and reuse.permits(
            self._verified_s, self._transport
        )

    def idle_too_long(self, now_s: float) -> bool:
        """Whether the idle connection has to be closed."""
        return now_s >= self._idle_until_s

    @property
    def has_job(self) -> bool:
        """Whether an assigned job has not started yet."""
        with self._condition:
            return self._assigned is not None

    def assign(self, job: Job[T], fresh: bool) -> None:
        """Assign the next job to the idle connection and wake its task."""
        with self._condition:
            self._assigned = Assignment(job, fresh)
            self._condition.notify()

    def start(self) -> None:
        """Do nothing: the task performs the whole job."""

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

    def _serve(self, first: Assignment[T]) -> Assignment[T] | None:
        """Dial and perform jobs until one needs a fresh connection."""
        try:
            transport = self._pool.dial()
        except Exception as error:
            self._pool.forget(self)
            first.job.finish(self._pool.as_error(error))
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
    ) -> Assignment[T] | None:
        call: collections.abc.Callable[[T], object] = job.perform
        while self._perform(transport, job, call):
            assignment = self._next()
            if assignment is None or assignment.fresh:
                return assignment
            job = assignment.job
            call = self._call(job)
        return None

    def _call(self, job: Job[T]) -> collections.abc.Callable[[T], object]:
        """Return what is left to do for a job of an idle connection."""
        return job.perform

    def _perform(
        self,
        transport: T,
        job: Job[T],
        call: collections.abc.Callable[[T], object],
    ) -> bool:
        """Perform a job; return False if the connection must be closed."""
        started_s = self._pool.clock.monotonic()
        try:
            reply = call(transport)
        except errors.TransportError as error:
            self._on_transport_error(error, started_s)
            job.finish(error)
            return False
        except errors.CorianderportError as error:
            reply = error
        except Exception as error:
            self._pool.forget(self)
            job.finish(self._pool.as_error(error))
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

    def _next(self) -> Assignment[T] | None:
        with self._condition:
            while self._may_stay_idle:
                self._pool.clock.wait(self._condition, self._idle_left_s())
        # A job can still be assigned until the pool removes the connection.
        return None if self._pool.remove_if_idle(self) else self._take()

    @property
    def _idle_until_s(self) -> float:
        """When the connection is closed without a job, as limits are now."""
        return min(self._verified_s + self._pool.idle_s, self._usable_until_s)

    @property
    def _may_stay_idle(self) -> bool:
        return (
            self._assigned is None
            and not self._closed
            and not self.idle_too_long(self._pool.clock.monotonic())
        )

    def _idle_left_s(self) -> float:
        """Return how long the connection may stay idle, as limits are now."""
        left_s = self._idle_until_s - self._pool.clock.monotonic()
        return max(0.0, left_s)

    def _take(self) -> Assignment[T] | None:
        with self._condition:
            assignment, self._assigned = self._assigned, None
            return assignment

    def _fail_assigned(self) -> None:
        assignment = self._take()
        if assignment is not None:
            assignment.job.finish(
                errors.NotReady('the connection task has ended')
            )
