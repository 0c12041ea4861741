"""corianderport_wire.connection.caller_listener

Accepts callers' connections and serves each one on its own task.
"""

import collections.abc
import concurrent.futures
import contextlib
import logging
import select
import socket
import threading

import h11

from corianderport_tier import clocks
from corianderport_tier.request import deadlines
from corianderport_tier.version import routes
from corianderport_wire.connection import acceptor
from corianderport_wire.connection import caller_messages
from corianderport_wire.connection import disconnect_watcher
from corianderport_wire.connection import request_parser

__all__ = [
    'CallerConnection',
    'CallerListener',
    'HttpResponse',
    'ReceivedRequest',
    'RequestHandler',
]

_LOG = logging.getLogger(__name__)
_BACKLOG = 512
_RECEIVE_BYTES = 65_536
# Time within which a caller has to receive a response.
_WRITE_TIMEOUT_S = 10.0
_BAD_GATEWAY = 502
_REQUEST_TIMEOUT = 408
_CONTINUE = h11.InformationalResponse(status_code=100, headers=[])
# Limits until a configuration provides them.
_DEFAULT_LIMITS = routes.CallerLimits(16_384, 262_144, 3.0, 15.0)


HttpResponse = caller_messages.HttpResponse
ReceivedRequest = caller_messages.ReceivedRequest
RequestHandler = collections.abc.Callable[
    [ReceivedRequest, 'CallerConnection'], HttpResponse | None
]
Limits = collections.abc.Callable[[], routes.CallerLimits | None]


class CallerConnection:
    """One connection of a caller, serving its requests in turn."""

    def __init__(
        self,
        connection: socket.socket,
        listener: 'CallerListener',
        clock: clocks.Clock,
    ) -> None:
        self._socket = connection
        self._listener = listener
        self._clock = clock
        # Bytes that arrived after the end of the last request.
        self._surplus = b''
        self._idle = True
        self._disconnected = False
        self._on_sent: collections.abc.Callable[[], None] | None = None

    @property
    def idle(self) -> bool:
        """Whether no part of a request has arrived."""
        return self._idle

    def watch(
        self, on_disconnect: collections.abc.Callable[[], None]
    ) -> contextlib.AbstractContextManager[None]:
        """Call back when the caller disconnects inside the ``with`` block."""

        def handle_disconnect() -> None:
            self._disconnected = True
            on_disconnect()

        return self._listener.watcher.watching(self._socket, handle_disconnect)

    def call_when_sent(
        self, on_sent: collections.abc.Callable[[], None]
    ) -> None:
        """Call back once the response to the current request is written."""
        self._on_sent = on_sent

    def run(self) -> None:
        """Serve requests until either side closes."""
        try:
            while self._serve_request():
                self._idle = True
        except (OSError, h11.ProtocolError) as error:
            _LOG.debug('connection of a caller closed: %s', error)

    def close_idle(self) -> None:
        """Close the connection unless a request is being received or run."""
        try:
            readable = select.select([self._socket], (), (), 0)[0]
            if self._idle and not readable:
                self._socket.shutdown(socket.SHUT_RDWR)
        except (OSError, ValueError) as error:
            _LOG.debug('closing an idle connection failed: %s', error)

    def _serve_request(self) -> bool:
        """Serve one request; return False when the connection must close."""
        received = self._surplus or self._read_first()
        if not received:
            return False
        self._idle = False
        received_s = self._clock.monotonic()
        # A new configuration applies to each request that begins after it.
        limits = self._listener.limits()
        parser = request_parser.RequestParser(limits)
        try:
            parser.feed(received)
            request = self._receive(parser, limits, received_s)
        except caller_messages.RequestRejected as rejected:
            self._send(parser, HttpResponse(rejected.status, (), b''), True)
            return False
        if request is None:
            return False
        self._on_sent = None
        response = self._listener.serve(request, self)
        if response is None or self._disconnected:
            return False
        closing = self._listener.closing
        self._send(parser, response, closing)
        if self._on_sent is not None:
            self._on_sent()
        self._surplus = parser.surplus
        return not closing and parser.reusable

    def _receive(
        self,
        parser: request_parser.RequestParser,
        limits: routes.CallerLimits,
        received_s: float,
    ) -> ReceivedRequest | None:
        """Return the next request, or None at the end of the connection."""
        deadline = self._deadline_after(limits.header_timeout_s)
        head: h11.Request | None = None
        body: list[bytes] = []
        while True:
            event = parser.next_event()
            if event is None:
                if parser.awaits_continue:
                    self._write(parser, _CONTINUE)
                parser.feed(self._read(deadline))
            elif isinstance(event, h11.Request):
                head = event
                deadline = self._deadline_after(limits.idle_timeout_s)
            elif isinstance(event, h11.Data):
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return ReceivedRequest(
                    head.method,
                    head.target,
                    tuple(head.headers),
                    b''.join(body),
                    received_s,
                )
            else:
                return None

    def _read_first(self) -> bytes:
        """Return the first bytes of a request.

        They are empty at the end of the connection, or when it was idle for
        too long.
        """
        self._socket.settimeout(self._listener.limits().idle_timeout_s)
        try:
            return self._socket.recv(_RECEIVE_BYTES)
        except TimeoutError:
            return b''

    def _read(self, deadline: deadlines.Deadline) -> bytes:
        """Return further bytes of a request.

        :raises RequestRejected: the request was not received in time.
        """
        self._socket.settimeout(max(deadline.remaining(self._clock), 0.001))
        try:
            return self._socket.recv(_RECEIVE_BYTES)
        except TimeoutError as error:
            raise caller_messages.RequestRejected(_REQUEST_TIMEOUT) from error

    def _deadline_after(self, seconds: float) -> deadlines.Deadline:
        return deadlines.Deadline.after(self._clock, seconds)

    def _send(
        self,
        parser: request_parser.RequestParser,
        response: HttpResponse,
        closing: bool,
    ) -> None:
        try:
            head = caller_messages.response_head(response, closing)
        except h11.LocalProtocolError as error:
            _LOG.warning(
                'a response that cannot be passed on is replaced: %.200s',
                error,
            )
            response = HttpResponse(_BAD_GATEWAY, (), b'')
            head = caller_messages.response_head(response, closing)
        events: list[h11.Event] = [head]
        if response.body:
            events.append(h11.Data(data=response.body))
        events.append(h11.EndOfMessage())
        self._write(parser, *events)

    def _write(
        self, parser: request_parser.RequestParser, *events: h11.Event
    ) -> None:
        content = parser.encode(*events)
        self._socket.settimeout(_WRITE_TIMEOUT_S)
        self._socket.sendall(content)


class CallerListener:
    """Listens for callers and tracks their connections.

    :param address: ``ip:port`` to listen on; port 0 picks a free one.
    :param serve: returns the response to a request, or None when the caller
        has disconnected.
    :param limits: returns the configured limits, or None without a
        configuration.
    :param watcher: detects callers that disconnect while a request runs.
    :param executor: runs one task for each connection.
    """

    def __init__(
        self,
        address: str,
        serve: RequestHandler,
        limits: Limits,
        watcher: disconnect_watcher.DisconnectWatcher,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
    ) -> None:
        host, _, port = address.rpartition(':')
        self.serve = serve
        self.watcher = watcher
        self.closing = False
        self._limits = limits
        self._executor = executor
        self._clock = clock
        self._acceptor = acceptor.Acceptor(host, int(port), _BACKLOG, clock)
        self._condition = threading.Condition()
        self._open: dict[CallerConnection, socket.socket] = {}

    @property
    def address(self) -> str:
        """Listening address, ``ip:port``."""
        return self._acceptor.address

    def limits(self) -> routes.CallerLimits:
        """Return the configured limits, or the defaults."""
        return self._limits() or _DEFAULT_LIMITS

    def run(self) -> None:
        """Accept connections until ``stop_accepting``."""
        self._acceptor.run(self._handle_connection)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections are still served."""
        self._acceptor.stop()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        with self._condition:
            connections = list(self._open)
        for connection in connections:
            connection.close_idle()

    def await_closed(self, until: deadlines.Deadline) -> bool:
        """Wait until all connections are closed; False at the deadline."""
        with self._condition:
            while self._open:
                left_s = until.remaining(self._clock)
                if left_s <= 0:
                    return False
                self._clock.wait(self._condition, left_s)
        return True

    def _handle_connection(self, caller_socket: socket.socket) -> None:
        caller_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(caller_socket, self, self._clock)
        with self._condition:
            self._open[connection] = caller_socket
        try:
            self._executor.submit(self._run, connection)
        except RuntimeError:
            # No thread could be started.
            self._forget(connection)
            raise

    def _run(self, connection: CallerConnection) -> None:
        try:
            connection.run()
        except Exception:
            _LOG.exception('serving the connection of a caller failed')
        finally:
            self._forget(connection)

    def _forget(self, connection: CallerConnection) -> None:
        with self._condition:
            caller_socket = self._open.pop(connection, None)
            self._condition.notify_all()
        if caller_socket is not None:
            caller_socket.close()
