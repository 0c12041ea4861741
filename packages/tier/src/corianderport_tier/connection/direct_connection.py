"""corianderport_tier.connection.direct_connection

A connection on which the task of a request sends.

A gather sends dozens of requests at once. If each connection's task wrote its
own, every one of them would wake up, compete for the interpreter several times
and go to sleep again before the first response: 54 sends took 10 ms. The task
of the request writes them all in turn instead, and the task of each connection
waits for bytes on its socket.
"""

import collections.abc
import typing

from corianderport_tier.connection import pooled_connection
from corianderport_tier import errors

__all__ = ['DirectConnection', 'DirectJob', 'DirectTransport']


class DirectTransport(pooled_connection.Closeable, typing.Protocol):
    """A transport on which a task can wait for bytes."""

    def await_readable(self, timeout_s: float) -> bool:
        """Wait until bytes arrive or the connection is closed.

        :return: False if neither happened in time.
        """

    def abort(self) -> None:
        """Close the connection in both directions; wakes its task."""


T = typing.TypeVar('T', bound=DirectTransport)
T_contra = typing.TypeVar('T_contra', contravariant=True)


class DirectJob(pooled_connection.Job[T_contra], typing.Protocol):
    """A job whose request can be written by any task."""

    @property
    def writes_at_once(self) -> bool:
        """Whether writing never waits on an idle connection."""

    def start(self, transport: T_contra) -> None:
        """Write the request.

        :raises TransportError: the connection must not be used again.
        """

    def complete(self, transport: T_contra) -> object:
        """Return the reply to the written request.

        :raises TransportError: the connection must not be used again.
        """


class DirectConnection(pooled_connection.Connection[T]):
    """A connection whose task waits on its socket for replies.

    Only the first job on a transport, and those that cannot be written at
    once, are performed by the connection's own task, on a new transport.
    """

    def __init__(
        self,
        pool: pooled_connection.Owner[T],
        job: pooled_connection.Job[T],
        opened_s: float,
    ) -> None:
        super().__init__(pool, job, opened_s)
        # Whether the task waits on its socket, which only an event of the
        # socket ends.
        self._waiting = False
        self._started = False

    def assign(self, job: pooled_connection.Job[T], fresh: bool) -> None:
        """Assign the next job; ``start`` has to follow."""
        at_once = typing.cast('DirectJob[T]', job).writes_at_once
        with self._condition:
            self._assigned = pooled_connection.Assignment(
                job, fresh or not at_once
            )

    def start(self) -> None:
        """Write the assigned job's request on the calling task."""
        with self._condition:
            assignment, transport = self._assigned, self._transport
            # Another task may have started the assigned job: if this task is
            # late, the job that it assigned has ended, and the next one is
            # assigned. Starting that one again would send it twice.
            if assignment is None or transport is None or self._started:
                return
            if assignment.fresh:
                self._wake()
                return
            started_s = self._pool.clock.monotonic()
            error: Exception | None = None
            try:
                typing.cast('DirectJob[T]', assignment.job).start(transport)
            except Exception as raised:
                error = raised
                self._assigned = None
                if not _nothing_sent(error):
                    self._closed = True
                    self._wake()
            else:
                self._started = True
            self._condition.notify()
        if error is not None:
            self._finish_unstarted(assignment.job, error, started_s)

    def close(self) -> None:
        """End the task after its current job."""
        with self._condition:
            self._closed = True
            if self._assigned is None:
                self._wake()

    def _wake(self) -> None:
        if self._waiting and self._transport is not None:
            self._transport.abort()

    def _finish_unstarted(
        self,
        job: pooled_connection.Job[T],
        error: Exception,
        started_s: float,
    ) -> None:
        """Report a job that could not be written."""
        if _nothing_sent(error):
            self._pool.mark_idle(self)
        elif isinstance(error, errors.TransportError):
            self._on_transport_error(error, started_s)
        else:
            self._pool.forget(self)
        job.finish(self._pool.as_error(error))

    def _next(self) -> pooled_connection.Assignment[T] | None:
        transport = self._transport
        assert transport is not None
        while self._await_event(transport):
            pass
        while not self._pool.remove_if_idle(self):
            with self._condition:
                while self._being_written:
                    self._pool.clock.wait(self._condition, None)
                if self._assigned is not None:
                    self._started = False
                    return self._take()
        return None

    def _await_event(self, transport: T) -> bool:
        """Wait on the socket; return whether to wait again.

        If the reply to a written request is late, the job itself waits for it
        until its deadline.
        """
        with self._condition:
            self._waiting = self._may_wait
            if not self._waiting:
                return False
        readable = transport.await_readable(self._idle_left_s())
        with self._condition:
            self._waiting = False
            return not readable and self._may_stay_idle

    @property
    def _may_wait(self) -> bool:
        if self._assigned is None:
            return not self._closed
        return not self._assigned.fresh

    @property
    def _being_written(self) -> bool:
        return (
            self._assigned is not None
            and not self._assigned.fresh
            and not self._started
        )

    def _call(
        self, job: pooled_connection.Job[T]
    ) -> collections.abc.Callable[[T], object]:
        return typing.cast('DirectJob[T]', job).complete


def _nothing_sent(error: Exception) -> bool:
    """Whether the connection can carry another job after the error."""
    return isinstance(error, errors.CorianderportError) and not isinstance(
        error, errors.TransportError
    )
