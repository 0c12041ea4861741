"""corianderport_wire.connection.disconnect_watcher

Detects callers that disconnect while their requests run.

A single task polls the sockets of all running requests, since the task of
a connection is blocked waiting for searchers during that time.
"""

import collections.abc
import contextlib
import os
import select
import socket
import threading

from corianderport_tier import clocks
from corianderport_tier.process import decision_log
from corianderport_tier.process import limit_events

__all__ = ['DisconnectWatcher']

_CLOSED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
_MAX_EVENTS = 64

Callback = collections.abc.Callable[[], None]


class DisconnectWatcher:
    """Calls back once when the remote end closes a socket.

    :param events: counts callbacks that failed.
    """

    def __init__(self, events: limit_events.LimitEvents | None = None) -> None:
        self._events = events or limit_events.LimitEvents(
            decision_log.DecisionLog(), clocks.SystemClock()
        )
        self._poll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks: dict[int, Callback] = {}
        self._wake_read, self._wake_write = os.pipe()
        self._poll.register(self._wake_read, select.EPOLLIN)
        self._closed = False

    @contextlib.contextmanager
    def watching(
        self, watched: socket.socket, on_disconnect: Callback
    ) -> collections.abc.Iterator[None]:
        """Watch a socket inside the ``with`` block.

        :param on_disconnect: called by the task of ``run``, at most once.
        """
        descriptor = watched.fileno()
        with self._lock:
            self._callbacks[descriptor] = on_disconnect
        self._poll.register(
            descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT
        )
        try:
            yield
        finally:
            with self._lock:
                self._callbacks.pop(descriptor, None)
            self._poll.unregister(descriptor)

    def run(self) -> None:
        """Poll the watched sockets until ``close`` is called."""
        while not self._closed:
            for descriptor, events in self._poll.poll(maxevents=_MAX_EVENTS):
                if events & _CLOSED:
                    self._call(descriptor)

    def close(self) -> None:
        """End ``run``."""
        self._closed = True
        os.write(self._wake_write, b'x')

    def _call(self, descriptor: int) -> None:
        with self._lock:
            callback = self._callbacks.pop(descriptor, None)
        if callback is None:
            return
        try:
            callback()
        except Exception as error:
            # The requests of all callers depend on this task.
            self._events.record('disconnect_watch_failed', repr(error), error)
