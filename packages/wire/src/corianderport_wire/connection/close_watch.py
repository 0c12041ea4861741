"""corianderport_wire.connection.close_watch

Notices that callers close their connections while their requests run.

One task waits on all of these sockets, since the task of a connection
waits for searchers meanwhile.
"""

import collections.abc
import contextlib
import os
import select
import socket
import threading

__all__ = ['CloseWatch']

_CLOSED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
_MOST_EVENTS = 64

Callback = collections.abc.Callable[[], None]


class CloseWatch:
    """Calls back once when the other end of a socket is closed."""

    def __init__(self) -> None:
        self._poll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks: dict[int, Callback] = {}
        self._wake_read, self._wake_write = os.pipe()
        self._poll.register(self._wake_read, select.EPOLLIN)
        self._closed = False

    @contextlib.contextmanager
    def watching(
        self, watched: socket.socket, closed: Callback
    ) -> collections.abc.Iterator[None]:
        """Watch a socket while the context is entered."""
        number = watched.fileno()
        with self._lock:
            self._callbacks[number] = closed
        self._poll.register(number, select.EPOLLRDHUP | select.EPOLLONESHOT)
        try:
            yield
        finally:
            with self._lock:
                self._callbacks.pop(number, None)
            self._poll.unregister(number)

    def run(self) -> None:
        """Wait for closed sockets until closed itself."""
        while not self._closed:
            for number, events in self._poll.poll(maxevents=_MOST_EVENTS):
                if events & _CLOSED:
                    self._call(number)

    def close(self) -> None:
        """End the task."""
        self._closed = True
        os.write(self._wake_write, b'x')

    def _call(self, number: int) -> None:
        with self._lock:
            callback = self._callbacks.pop(number, None)
        if callback is not None:
            callback()
