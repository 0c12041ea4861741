"""corianderport_wire.connection.caller_listener

Accepts the connections of callers, one task for each.
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

__all__ = ['CallerConnection', 'CallerListener', 'HttpAnswer', 'Serve']

_LOG = logging.getLogger(__name__)
_BACKLOG = 512
_RECEIVE_BYTES = 65_536
# The limits in force are checked on top of it.
_MOST_HEAD_BYTES = 256 * 1024
# Time in which a caller has to take an answer.
_WRITE_S = 10.0
# Limits while no configuration names any.
_DEFAULT_LIMITS = routes.CallerLimits(16_384, 262_144, 3.0, 15.0)


@attrs.frozen
class HttpAnswer:
    """An answer as it is sent; the length is added."""

    status: int
    headers: http_exchange.Headers
    body: bytes


@attrs.frozen
class _Rejected(Exception):
    """What the caller sent cannot be served; the connection is closed."""

    status: int


Serve = collections.abc.Callable[
    [http_exchange.HttpRequest, 'CallerConnection'], HttpAnswer | None
]
Limits = collections.abc.Callable[[], routes.CallerLimits | None]


class CallerConnection:
    """One connection of a caller and the requests that arrive on it."""

    def __init__(
        self,
        opened: socket.socket,
        listener: 'CallerListener',
        clock: clocks.Clock,
    ) -> None:
        self._socket = opened
        self._listener = listener
        self._clock = clock
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=_MOST_HEAD_BYTES
        )
        self._idle = True
        self._gone = False

    @property
    def idle(self) -> bool:
        """Whether no part of a request has arrived."""
        return self._idle

    def watch(
        self, gone: collections.abc.Callable[[], None]
    ) -> contextlib.AbstractContextManager[None]:
        """Call back when the caller closes the connection."""

        def closed() -> None:
            self._gone = True
            gone()

        return self._listener.watch.watching(self._socket, closed)

    def run(self) -> None:
        """Serve requests until either side closes."""
        try:
            while self._serve_one():
                self._protocol.start_next_cycle()
                self._idle = True
        except (OSError, h11.ProtocolError) as error:
            _LOG.debug('connection of a caller ended: %s', error)

    def close_idle(self) -> None:
        """Close the connection when nothing has arrived on it."""
        try:
            arrived = select.select([self._socket], (), (), 0)[0]
            if self._idle and not arrived:
                self._socket.shutdown(socket.SHUT_RDWR)
        except (OSError, ValueError) as error:
            _LOG.debug('the caller has closed already: %s', error)

    def _serve_one(self) -> bool:
        """Serve a request; False when the connection is to be closed."""
        limits = self._listener.limits()
        try:
            request = self._receive(limits)
        except _Rejected as rejected:
            self._send(HttpAnswer(rejected.status, (), b''), True)
            return False
        if request is None:
            return False
        answer = self._listener.serve(request, self)
        if answer is None or self._gone:
            return False
        closing = self._listener.closing
        self._send(answer, closing)
        return (
            not closing
            and self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )

    def _receive(
        self, limits: routes.CallerLimits
    ) -> http_exchange.HttpRequest | None:
        """Return the next request, None when there is none any more."""
        until: deadlines.Deadline | None = None
        head: h11.Request | None = None
        body: list[bytes] = []
        size = 0
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise _Rejected(error.error_status_hint) from error
            if event is h11.NEED_DATA:
                if self._protocol.they_are_waiting_for_100_continue:
                    self._write(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                if until is None and self._protocol.trailing_data[0]:
                    until = self._until(limits.header_timeout_s)
                received = self._read(until, limits.idle_timeout_s)
                if received is None:
                    return None
                if until is None:
                    until = self._until(limits.header_timeout_s)
                self._idle = False
                self._protocol.receive_data(received)
                pending, _ = self._protocol.trailing_data
                if head is None and len(pending) > limits.header_bytes:
                    raise _Rejected(431)
            elif isinstance(event, h11.Request):
                self._idle = False
                head = event
                if _header_size(event) > limits.header_bytes:
                    raise _Rejected(431)
                until = self._until(limits.idle_timeout_s)
            elif isinstance(event, h11.Data):
                body.append(bytes(event.data))
                size += len(event.data)
                if size > limits.body_bytes:
                    raise _Rejected(413)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return http_exchange.HttpRequest(
                    head.method,
                    head.target,
                    tuple(head.headers),
                    b''.join(body),
                )
            else:
                return None

    def _read(
        self, until: deadlines.Deadline | None, idle_s: float
    ) -> bytes | None:
        """Return what arrives, None when an idle connection ends."""
        timeout_s = idle_s
        if until is not None:
            timeout_s = until.remaining(self._clock)
        self._socket.settimeout(max(timeout_s, 0.001))
        try:
            return self._socket.recv(_RECEIVE_BYTES)
        except TimeoutError as error:
            if until is None:
                return None
            raise _Rejected(408) from error

    def _until(self, seconds: float) -> deadlines.Deadline:
        return deadlines.Deadline.after(self._clock, seconds)

    def _send(self, answer: HttpAnswer, closing: bool) -> None:
        headers = [
            *answer.headers,
            (b'content-length', str(len(answer.body)).encode()),
        ]
        if closing:
            headers.append((b'connection', b'close'))
        self._socket.settimeout(_WRITE_S)
        parts = [
            self._protocol.send(
                h11.Response(status_code=answer.status, headers=headers)
            )
        ]
        if answer.body:
            parts.append(self._protocol.send(h11.Data(data=answer.body)))
        parts.append(self._protocol.send(h11.EndOfMessage()))
        self._socket.sendall(b''.join(p for p in parts if p))

    def _write(self, event: h11.InformationalResponse) -> None:
        content = self._protocol.send(event)
        if content:
            self._socket.sendall(content)


class CallerListener:
    """Listens for callers and keeps their connections.

    :param serve: answers a request; None when the caller has gone.
    :param limits: returns the limits in force, None without any.
    """

    def __init__(
        self,
        address: str,
        serve: Serve,
        limits: Limits,
        watch: disconnect_watcher.DisconnectWatcher,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
    ) -> None:
        host, _, port = address.rpartition(':')
        self.serve = serve
        self.watch = watch
        self.closing = False
        self._limits = limits
        self._executor = executor
        self._clock = clock
        self._acceptor = acceptor.Acceptor(host, int(port), _BACKLOG, clock)
        self._condition = threading.Condition()
        self._open: dict[CallerConnection, socket.socket] = {}

    @property
    def address(self) -> str:
        """The address listened on, ``ip:port``."""
        return self._acceptor.address

    def limits(self) -> routes.CallerLimits:
        """Return the limits in force."""
        return self._limits() or _DEFAULT_LIMITS

    def run(self) -> None:
        """Accept connections until ``stop_accepting``."""
        self._acceptor.run(self._handle_connection)

    def stop_accepting(self) -> None:
        """Close the listener; open connections go on."""
        self._acceptor.stop()

    def close_idle(self) -> None:
        """Close the connections on which no request has arrived."""
        with self._condition:
            connections = list(self._open)
        for connection in connections:
            connection.close_idle()

    def await_closed(self, until: deadlines.Deadline) -> bool:
        """Wait until no connection is open; False at the deadline."""
        with self._condition:
            while self._open:
                left_s = until.remaining(self._clock)
                if left_s <= 0:
                    return False
                self._clock.wait(self._condition, left_s)
        return True

    def _handle_connection(self, opened: socket.socket) -> None:
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(opened, self, self._clock)
        with self._condition:
            self._open[connection] = opened
        self._executor.submit(self._run, connection)

    def _run(self, connection: CallerConnection) -> None:
        try:
            connection.run()
        except Exception:
            _LOG.exception('connection of a caller failed')
        finally:
            with self._condition:
                opened = self._open.pop(connection)
                self._condition.notify_all()
            opened.close()


def _header_size(head: h11.Request) -> int:
    return len(head.target) + sum(
        len(name) + len(value) for name, value in head.headers
    )
