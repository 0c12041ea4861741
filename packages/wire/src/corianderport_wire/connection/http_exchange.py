"""corianderport_wire.connection.http_exchange

One persistent HTTP/1.1 connection to a server, used by one task.

libcurl repeats a request on a new connection when a reused one ends, and
does not show bytes that follow an answer. Requests that may run once, and
answers that belong to another request, need both, so that the connection
is driven through h11 instead.
"""

import collections.abc
import select
import socket
import threading

import attrs
import h11

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import deadlines

__all__ = ['HttpExchange', 'HttpReply', 'HttpRequest', 'connect']

Headers = tuple[tuple[bytes, bytes], ...]

# Sent data that stays unacknowledged for longer ends the connection.
_USER_TIMEOUT_MS = 2_000
_RECEIVE_BYTES = 65_536
_MOST_HEADER_BYTES = 65_536
_MOST_BODY_BYTES = 16 * 1024 * 1024
# Answers to earlier requests that are passed over before the right one.
_MOST_FOREIGN = 3
# Part of the announced idle time that a connection is used for.
_KEEP_ALIVE_USE = 0.8


@attrs.frozen
class HttpRequest:
    """A request as it is sent."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@attrs.frozen
class HttpReply:
    """A whole answer; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, by its name in lower case."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


Belongs = collections.abc.Callable[[HttpReply], bool]


def connect(address: str, timeout_s: float) -> socket.socket:
    """Open a connection to ``ip:port``.

    :raises ConnectRefused: no process listens there.
    :raises ConnectFailed: no connection within the timeout.
    """
    host, _, port = address.rpartition(':')
    try:
        opened = socket.create_connection((host, int(port)), timeout_s)
    except ConnectionRefusedError as error:
        raise errors.ConnectRefused(f'{address}: {error}') from error
    except OSError as error:
        raise errors.ConnectFailed(f'{address}: {error}') from error
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
    )
    return opened


class HttpExchange:
    """Sends one request after another, each of them once."""

    def __init__(self, opened: socket.socket, clock: clocks.Clock) -> None:
        self._socket = opened
        self._clock = clock
        self._lock = threading.Lock()
        self._closed = False
        self._reusable = True
        self._usable_until_s = float('inf')

    def exchange(
        self,
        request: HttpRequest,
        until: deadlines.Deadline,
        belongs: Belongs = lambda reply: True,
    ) -> HttpReply:
        """Send a request and wait for its whole answer.

        :param belongs: whether an answer is the one to this request;
            others are passed over.
        :raises ConnectionStale: the connection had ended; nothing was sent.
        :raises ConnectionSilent: no whole answer in time.
        :raises ConnectionBroken: the connection ended, or what arrived is
            no answer.
        """
        self._check_open()
        self._reusable = False
        try:
            return self._exchange(request, until, belongs)
        except TimeoutError as error:
            raise errors.ConnectionSilent('no whole answer') from error
        except (OSError, h11.ProtocolError) as error:
            raise errors.ConnectionBroken(str(error)) from error

    def abort(self) -> None:
        """End the exchange in progress, from another task."""
        with self._lock:
            if not self._closed:
                _shut_down(self._socket)

    def close(self) -> None:
        """Close the connection."""
        with self._lock:
            self._closed = True
            self._socket.close()

    def _check_open(self) -> None:
        if not self._reusable:
            raise errors.ConnectionStale('the server closes the connection')
        if self._clock.monotonic() >= self._usable_until_s:
            raise errors.ConnectionStale('idle for too long')
        # Bytes that nobody asked for belong to no request, and the end of
        # the connection shows in the same way.
        if select.select([self._socket], (), (), 0)[0]:
            raise errors.ConnectionStale('ended or has unexpected bytes')

    def _exchange(
        self,
        request: HttpRequest,
        until: deadlines.Deadline,
        belongs: Belongs,
    ) -> HttpReply:
        protocol, content = _encode(request)
        self._wait_limit(until)
        self._socket.sendall(content)
        for _ in range(_MOST_FOREIGN + 1):
            reply = self._receive(protocol, until)
            rest, _ = protocol.trailing_data
            if belongs(reply):
                self._reusable = not rest and _may_continue(protocol)
                self._note_keep_alive(reply)
                return reply
            if not _may_continue(protocol):
                raise errors.ConnectionBroken('an answer to another request')
            protocol, _ = _encode(request)
            if rest:
                protocol.receive_data(rest)
        raise errors.ConnectionBroken('only answers to other requests')

    def _receive(
        self, protocol: h11.Connection, until: deadlines.Deadline
    ) -> HttpReply:
        status = 0
        headers: Headers = ()
        body: list[bytes] = []
        received = 0
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                self._wait_limit(until)
                protocol.receive_data(self._socket.recv(_RECEIVE_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = tuple(event.headers)
            elif isinstance(event, h11.Data):
                body.append(bytes(event.data))
                received += len(event.data)
                if received > _MOST_BODY_BYTES:
                    raise errors.ConnectionBroken('the answer is too long')
            elif isinstance(event, h11.EndOfMessage):
                return HttpReply(status, headers, b''.join(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise errors.ConnectionBroken('closed without an answer')
            elif event is h11.PAUSED:
                raise errors.ConnectionBroken('the answer does not end')

    def _wait_limit(self, until: deadlines.Deadline) -> None:
        left_s = until.remaining(self._clock)
        if left_s <= 0:
            raise TimeoutError('the deadline has passed')
        self._socket.settimeout(left_s)

    def _note_keep_alive(self, reply: HttpReply) -> None:
        text = reply.header(b'keep-alive')
        if text is None:
            return
        for option in text.split(b','):
            name, _, value = option.strip().partition(b'=')
            if name.lower() == b'timeout' and value.isdigit():
                idle_s = _KEEP_ALIVE_USE * int(value)
                self._usable_until_s = self._clock.monotonic() + idle_s


def _encode(request: HttpRequest) -> tuple[h11.Connection, bytes]:
    protocol = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=_MOST_HEADER_BYTES
    )
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=list(request.headers),
    )
    sent = [protocol.send(head)]
    if request.body:
        sent.append(protocol.send(h11.Data(data=request.body)))
    sent.append(protocol.send(h11.EndOfMessage()))
    return protocol, b''.join(part for part in sent if part)


def _may_continue(protocol: h11.Connection) -> bool:
    return protocol.our_state is h11.DONE and protocol.their_state is h11.DONE


def _shut_down(opened: socket.socket) -> None:
    try:
        opened.shutdown(socket.SHUT_RDWR)
    except OSError:
        # Not connected any more.
        return
