"""corianderport_wire.connection.connection_dispatcher

Waits for bytes on all idle connections and gives them tasks.
"""

import collections.abc
import contextlib
import logging
import os
import select
import threading

from corianderport_tier.process import caller_table
from corianderport_wire.connection import caller_connection

__all__ = ['ConnectionDispatcher']

_LOG = logging.getLogger(__name__)
_MAX_EVENTS = 64
# Interval at which the waits are examined while connections need a task.
_RECHECK_S = 0.1

CallerConnection = caller_connection.CallerConnection
Victim = caller_table.Victim[CallerConnection]


class ConnectionDispatcher:
    """Starts the task of each connection that receives bytes.

    It also closes the connections that are idle for too long, and those that
    have to give their tasks to others.

    :param start: runs a connection on a task of its own.
    """

    def __init__(
        self,
        serving: caller_connection.Serving,
        start: collections.abc.Callable[[CallerConnection], None],
    ) -> None:
        self._serving = serving
        self._table = serving.table
        self._start = start
        self._poll = select.epoll()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._poll.register(self._wake, select.EPOLLIN)
        # Guards the descriptors that are polled: none is closed by one task
        # while another one registers it.
        self._lock = threading.Lock()
        self._polled: dict[int, CallerConnection] = {}
        self._timeout_s: float | None = None
        self._pause = threading.Condition()
        self._stopped = False

    def run(self) -> None:
        """Serve the connections until ``stop``, and until all are closed."""
        while not (self._stopped and len(self._table) == 0):
            try:
                self._wait_and_handle()
            except Exception as error:
                # The process may be short of memory. All connections of the
                # listener depend on this task.
                self._serving.events.record(
                    'caller_dispatch_failed', repr(error), error
                )
                with self._pause:
                    self._serving.clock.wait(self._pause, _RECHECK_S)

    def _wait_and_handle(self) -> None:
        with self._lock:
            self._timeout_s = self._next_timeout_s()
        for descriptor, _ in self._poll.poll(
            self._timeout_s, maxevents=_MAX_EVENTS
        ):
            if descriptor == self._wake:
                os.eventfd_read(self._wake)
            else:
                self._handle(descriptor)
        self._give_tasks()
        idle_s = self._serving.limits().idle_timeout_s
        self.close_all(self._table.close_expired(idle_s))

    def stop(self) -> None:
        """Let ``run`` end with the last connection."""
        self._stopped = True
        self._wake_up()

    def watch(self, connection: CallerConnection) -> None:
        """Wait for bytes of a connection without a task."""
        with self._lock:
            watched = self._register(connection)
            wake = self._timeout_s is None
        if not watched:
            self.end(connection)
        elif wake:
            self._wake_up()

    def park(self, connection: CallerConnection) -> None:
        """Take the task from a connection and wait for its next bytes."""
        with self._lock:
            parked = self._table.park(connection) and self._register(
                connection
            )
            wake = self._timeout_s is None or self._table.has_queued
        if not parked:
            self.end(connection)
        elif wake:
            self._wake_up()

    def end(self, connection: CallerConnection) -> None:
        """Close a connection that no task serves any more."""
        with self._lock:
            descriptor = connection.fileno()
            if self._polled.get(descriptor) is connection:
                del self._polled[descriptor]
                self._poll.unregister(descriptor)
            connection.close()
        self._table.remove(connection)
        if self._stopped or self._table.has_queued:
            self._wake_up()

    def close_all(self, victims: collections.abc.Iterable[Victim]) -> None:
        """Close connections that the table has chosen."""
        for victim in victims:
            if victim.on_task:
                victim.connection.abort()
            else:
                self.end(victim.connection)

    def _register(self, connection: CallerConnection) -> bool:
        descriptor = connection.fileno()
        if descriptor < 0:
            # It has been closed to make room for another one.
            return False
        try:
            self._poll.register(descriptor, select.EPOLLIN | select.EPOLLRDHUP)
        except OSError as error:
            _LOG.warning('an idle connection cannot be watched: %s', error)
            return False
        self._polled[descriptor] = connection
        return True

    def _handle(self, descriptor: int) -> None:
        with self._lock:
            connection = self._polled.pop(descriptor, None)
            if connection is None:
                return
            self._poll.unregister(descriptor)
            received = connection.peek()
            # Without bytes, the event was one of an earlier connection that
            # had the same descriptor.
            if received is None and self._register(connection):
                return
            connection.notice()
        if not received or not self._table.queue(connection):
            self.end(connection)

    def _give_tasks(self) -> None:
        while (connection := self._table.start_next()) is not None:
            self._start(connection)
        self._serving.pressure.set(self._table.has_queued)
        if not self._table.has_queued:
            return
        while (victim := self._table.close_for_task()) is not None:
            self._serving.events.record('caller_task_evicted')
            self.close_all([victim])
        for connection in self._table.refuse_queued():
            self._serving.events.record('caller_task_refused')
            connection.refuse()
            self.end(connection)

    def _next_timeout_s(self) -> float | None:
        if self._table.has_queued:
            return _RECHECK_S
        return self._table.next_expiry_s(self._serving.limits().idle_timeout_s)

    def _wake_up(self) -> None:
        with contextlib.suppress(BlockingIOError):
            os.eventfd_write(self._wake, 1)
