"""corianderport_wire.connection.persistent_client

Reads resources of one HTTP server over a persistent connection.

An entry host reads the store with it. libcurl and the libraries that it loads
take 8 MB of resident memory, and a host needs httptools in any case.
"""

import socket

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import link_bytes
from corianderport_tier.request import deadlines
from corianderport_wire.connection import http_exchange

__all__ = ['PersistentClient']

_KEEPALIVE_INTERVAL_S = 5
# A server may have closed a connection that has been idle for longer.
_MAX_IDLE_S = 30.0
_MIN_CONNECT_S = 0.001


class PersistentClient:
    """A client that keeps one connection to ``ip:port`` open.

    Only one task may use it.

    :param link: counts the bytes.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_s: float,
        clock: clocks.Clock,
        link: link_bytes.Link | None = None,
    ) -> None:
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._clock = clock
        self._link = link
        self._headers = ((b'host', address.encode()), (b'accept', b'*/*'))
        self._idle: http_exchange.HttpExchange | None = None
        self._idle_since_s = 0.0

    def get(self, target: str, timeout_s: float) -> http_exchange.HttpReply:
        """Send a GET request and wait for the response.

        The request is repeated on a new connection if the idle one ends
        without any byte of a response, since the server may have closed it
        before the request arrived.

        :param target: path and query, without characters to be escaped.
        :raises ConnectFailed: nothing was sent.
        :raises ConnectionSilent: no response within the timeout.
        :raises ReplyIncomplete: a part of the response arrived in time.
        :raises ReplyTooLarge: the response exceeds 16 MB.
        :raises ConnectionBroken: the connection was closed, or the server
            sent no valid response.
        """
        deadline = deadlines.Deadline.after(self._clock, timeout_s)
        request = http_exchange.HttpRequest(
            b'GET', target.encode(), self._headers, b''
        )
        idle = self._take_idle()
        if idle is not None:
            try:
                return self._call(idle, request, deadline)
            except errors.TransportError:
                # The kernel ends a connection whose bytes are not
                # acknowledged before the deadline of most calls.
                expired = deadline.remaining(self._clock) <= 0
                if expired or idle.received_bytes:
                    raise
        try:
            return self._call(self._connect(deadline), request, deadline)
        except errors.TransportError as error:
            error.fresh = True
            raise

    def close(self) -> None:
        """Close the connection."""
        idle, self._idle = self._idle, None
        if idle is not None:
            idle.close()

    def _take_idle(self) -> http_exchange.HttpExchange | None:
        idle_s = self._clock.monotonic() - self._idle_since_s
        if idle_s > _MAX_IDLE_S:
            self.close()
        idle, self._idle = self._idle, None
        return idle

    def _connect(
        self, deadline: deadlines.Deadline
    ) -> http_exchange.HttpExchange:
        timeout_s = min(
            self._connect_timeout_s, deadline.remaining(self._clock)
        )
        connection = http_exchange.connect(
            self._address, max(_MIN_CONNECT_S, timeout_s)
        )
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
            connection.setsockopt(
                socket.IPPROTO_TCP, option, _KEEPALIVE_INTERVAL_S
            )
        return http_exchange.HttpExchange(
            connection, self._clock, link=self._link
        )

    def _call(
        self,
        exchange: http_exchange.HttpExchange,
        request: http_exchange.HttpRequest,
        deadline: deadlines.Deadline,
    ) -> http_exchange.HttpReply:
        try:
            reply = exchange.exchange(request, deadline)
        except errors.TransportError as error:
            exchange.close()
            if (
                isinstance(error, errors.ConnectionSilent)
                and exchange.received_bytes
            ):
                raise errors.ReplyIncomplete(
                    f'{self._address}: {error}, '
                    f'{exchange.received_bytes} bytes received'
                ) from error
            raise
        self._idle = exchange
        self._idle_since_s = self._clock.monotonic()
        return reply
