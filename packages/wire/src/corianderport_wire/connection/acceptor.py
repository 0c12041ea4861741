"""corianderport_wire.connection.acceptor

A listening socket and its accept loop.
"""

import collections.abc
import logging
import socket
import threading

from corianderport_tier import clocks
from corianderport_tier.process import decision_log
from corianderport_tier.process import limit_events

__all__ = ['Acceptor']

_LOG = logging.getLogger(__name__)
# Delay after a failed accept, so that the loop does not spin while the
# process has no free file descriptor.
_ACCEPT_RETRY_S = 0.02

ConnectionHandler = collections.abc.Callable[[socket.socket], None]


class Acceptor:
    """Accepts connections until it is stopped.

    :param host: IP address to listen on.
    :param port: port to listen on; 0 picks a free one.
    :param backlog: maximum number of connections waiting to be accepted.
    :param buffer_bytes: size of the send buffer and of the receive buffer of
        each connection; None leaves both to the system.
    :param events: counts connections that could not be accepted or served.
    """

    def __init__(
        self,
        host: str,
        port: int,
        backlog: int,
        clock: clocks.Clock,
        buffer_bytes: int | None = None,
        events: limit_events.LimitEvents | None = None,
    ) -> None:
        self._clock = clock
        self._events = events or limit_events.LimitEvents(
            decision_log.DecisionLog(), clock
        )
        self._listener = socket.create_server((host, port), backlog=backlog)
        if buffer_bytes is not None:
            # Accepted connections inherit the sizes.
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                self._listener.setsockopt(
                    socket.SOL_SOCKET, option, buffer_bytes
                )
        self._condition = threading.Condition()
        self._stopped = False

    @property
    def address(self) -> str:
        """Listening address, ``ip:port``."""
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    def run(self, on_accept: ConnectionHandler) -> None:
        """Pass each accepted connection to a handler until stopped."""
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError as error:
                if self._stopped:
                    return
                # The client closed the connection before it was accepted,
                # or the process has no free file descriptor. Neither ends
                # the listener: a later accept may succeed.
                self._events.record('accept_failed', str(error))
                self._wait_before_retry()
                continue
            try:
                on_accept(connection)
            except Exception as error:
                # The process may have no room for another thread.
                self._events.record('accept_failed', repr(error), error)
                connection.close()
                self._wait_before_retry()

    def stop(self) -> None:
        """Close the listening socket; accepted connections stay open."""
        with self._condition:
            self._stopped = True
            self._condition.notify_all()
        # Closing a socket does not wake an accept call that blocks on it;
        # shutting it down does.
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            _LOG.debug('shutting down the listening socket failed: %s', error)
        self._listener.close()

    def _wait_before_retry(self) -> None:
        with self._condition:
            if not self._stopped:
                self._clock.wait(self._condition, _ACCEPT_RETRY_S)
