"""corianderport_wire.connection.acceptor

A listening socket and the loop that takes its connections.
"""

import collections.abc
import logging
import socket
import threading

from corianderport_tier import clocks

__all__ = ['Acceptor']

_LOG = logging.getLogger(__name__)
# Between two tries to accept when the process has no free descriptor.
_RETRY_S = 0.02

Take = collections.abc.Callable[[socket.socket], None]


class Acceptor:
    """Listens until it is stopped.

    :param host: IP number to listen on.
    :param port: 0 takes a free port.
    :param backlog: connections that may wait to be accepted.
    """

    def __init__(
        self, host: str, port: int, backlog: int, clock: clocks.Clock
    ) -> None:
        self._clock = clock
        self._listener = socket.create_server((host, port), backlog=backlog)
        self._condition = threading.Condition()
        self._stopped = False

    @property
    def address(self) -> str:
        """The address listened on, ``ip:port``."""
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    def run(self, take: Take) -> None:
        """Hand over each connection until stopped."""
        while True:
            try:
                opened, _ = self._listener.accept()
            except OSError as error:
                if self._stopped:
                    return
                # A connection that ended before it was taken, or no free
                # descriptor; the next one may be accepted.
                _LOG.warning('a connection was not accepted: %s', error)
                self._pause()
                continue
            take(opened)

    def stop(self) -> None:
        """Close the listening socket; connections go on."""
        with self._condition:
            self._stopped = True
            self._condition.notify_all()
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            _LOG.debug('listener was not listening: %s', error)
        self._listener.close()

    def _pause(self) -> None:
        with self._condition:
            if not self._stopped:
                self._clock.wait(self._condition, _RETRY_S)
