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

import attrs
import h11

from corianderport_tier import clocks
from corianderport_tier.request import deadlines
from corianderport_tier.version import routes
from corianderport_wire.connection import acceptor
from corianderport_wire.connection import disconnect_watcher
from corianderport_wire.connection import http_exchange

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
# Upper bound for h11; the configured limits are checked in addition.
_MAX_HEAD_BYTES = 256 * 1024
# Time within which a caller has to receive a response.
_WRITE_TIMEOUT_S = 10.0
_BAD_GATEWAY = 502
# Limits until a configuration provides them.
_DEFAULT_LIMITS = routes.CallerLimits(16_384, 262_144, 3.0, 15.0)


@attrs.frozen
class ReceivedRequest(http_exchange.HttpRequest):
    """A caller's request.

    ``received_s`` is the time at which its first bytes were read, in seconds
    of the host's monotonic clock.
    """

    received_s: float


@attrs.frozen
class HttpResponse:
    """A response; its Content-Length is added when it is sent."""

    status: int
    headers: http_exchange.Headers
    body: bytes


@attrs.frozen
class _RequestRejected(Exception):
    """A request is invalid; the connection is closed after the response."""

    status: int


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
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
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
                self._protocol.start_next_cycle()
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
        limits = self._listener.limits()
        try:
            request = self._receive(limits)
        except _RequestRejected as rejected:
            self._send(HttpResponse(rejected.status, (), b''), True)
            return False
        if request is None:
            return False
        self._on_sent = None
        response = self._listener.serve(request, self)
        if response is None or self._disconnected:
            return False
        closing = self._listener.closing
        self._send(response, closing)
        if self._on_sent is not None:
            self._on_sent()
        return (
            not closing
            and self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )

    def _receive(self, limits: routes.CallerLimits) -> ReceivedRequest | None:
        """Return the next request, or None at the end of the connection."""
        received_s: float | None = None
        deadline: deadlines.Deadline | None = None
        head: h11.Request | None = None
        body: list[bytes] = []
        size = 0
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise _RequestRejected(error.error_status_hint) from error
            if event is h11.NEED_DATA:
                if self._protocol.they_are_waiting_for_100_continue:
                    self._write(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                if deadline is None and self._protocol.trailing_data[0]:
                    received_s = self._clock.monotonic()
                    deadline = self._deadline_after(limits.header_timeout_s)
                received = self._read(deadline, limits.idle_timeout_s)
                if received is None:
                    return None
                if deadline is None:
                    received_s = self._clock.monotonic()
                    deadline = self._deadline_after(limits.header_timeout_s)
                self._idle = False
                self._protocol.receive_data(received)
                pending, _ = self._protocol.trailing_data
                if head is None and len(pending) > limits.header_bytes:
                    raise _RequestRejected(431)
            elif isinstance(event, h11.Request):
                self._idle = False
                if received_s is None:
                    # It came with the bytes of the request before it.
                    received_s = self._clock.monotonic()
                head = event
                if _header_size(event) > limits.header_bytes:
                    raise _RequestRejected(431)
                deadline = self._deadline_after(limits.idle_timeout_s)
            elif isinstance(event, h11.Data):
                body.append(bytes(event.data))
                size += len(event.data)
                if size > limits.body_bytes:
                    raise _RequestRejected(413)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None and received_s is not None
                return ReceivedRequest(
                    head.method,
                    head.target,
                    tuple(head.headers),
                    b''.join(body),
                    received_s,
                )
            else:
                return None

    def _read(
        self, deadline: deadlines.Deadline | None, idle_s: float
    ) -> bytes | None:
        """Return received bytes, or None when an idle connection times out.

        :raises _RequestRejected: the request was not received in time.
        """
        timeout_s = idle_s
        if deadline is not None:
            timeout_s = deadline.remaining(self._clock)
        self._socket.settimeout(max(timeout_s, 0.001))
        try:
            return self._socket.recv(_RECEIVE_BYTES)
        except TimeoutError as error:
            if deadline is None:
                return None
            raise _RequestRejected(408) from error

    def _deadline_after(self, seconds: float) -> deadlines.Deadline:
        return deadlines.Deadline.after(self._clock, seconds)

    def _send(self, response: HttpResponse, closing: bool) -> None:
        try:
            head = _response_head(response, closing)
        except h11.LocalProtocolError as error:
            _LOG.warning(
                'a response that cannot be passed on is replaced: %.200s',
                error,
            )
            response = HttpResponse(_BAD_GATEWAY, (), b'')
            head = _response_head(response, closing)
        self._socket.settimeout(_WRITE_TIMEOUT_S)
        parts = [self._protocol.send(head)]
        if response.body:
            parts.append(self._protocol.send(h11.Data(data=response.body)))
        parts.append(self._protocol.send(h11.EndOfMessage()))
        self._socket.sendall(b''.join(p for p in parts if p))

    def _write(self, event: h11.InformationalResponse) -> None:
        content = self._protocol.send(event)
        if content:
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


def _response_head(response: HttpResponse, closing: bool) -> h11.Response:
    """Return the head of a response.

    :raises LocalProtocolError: HTTP does not permit the status or a header.
    """
    headers = [
        *response.headers,
        (b'content-length', str(len(response.body)).encode()),
    ]
    if closing:
        headers.append((b'connection', b'close'))
    return h11.Response(status_code=response.status, headers=headers)


def _header_size(head: h11.Request) -> int:
    return len(head.target) + sum(
        len(name) + len(value) for name, value in head.headers
    )
