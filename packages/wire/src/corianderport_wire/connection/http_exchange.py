"""corianderport_wire.connection.http_exchange

One persistent HTTP/1.1 connection to a server, used by one task.

libcurl repeats a request on a new connection when a reused one ends, and
does not show bytes that follow an answer. Requests that may run once, and
answers that belong to another request, need both, so that answers are read
by httptools from a socket of our own. h11, which reads callers' requests,
takes twice the processor time of a whole send for each answer.
"""

import collections.abc
import select
import socket
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import deadlines
from corianderport_wire.connection import reply_parser

__all__ = ['HttpExchange', 'HttpReply', 'HttpRequest', 'connect']

Headers = tuple[tuple[bytes, bytes], ...]

# Sent data that stays unacknowledged for longer ends the connection.
_USER_TIMEOUT_MS = 2_000
_RECEIVE_BYTES = 65_536
# Answers to earlier requests that are passed over before the right one.
_MOST_FOREIGN = 3
# Part of the announced idle time that a connection is used for.
_KEEP_ALIVE_USE = 0.8


@attrs.frozen
class HttpRequest:
    """A request as it is sent.

    Its parts have to be free of line breaks, as those are that come from a
    parsed request; ``headers`` name the length of a body.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


HttpReply = reply_parser.HttpReply
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
        # A socket with a timeout takes two more system calls each time.
        opened.setblocking(False)
        self._socket = opened
        self._arrivals = select.poll()
        self._arrivals.register(opened, select.POLLIN)
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
        except OSError as error:
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
        if self._arrivals.poll(0):
            raise errors.ConnectionStale('ended or has unexpected bytes')

    def _exchange(
        self,
        request: HttpRequest,
        until: deadlines.Deadline,
        belongs: Belongs,
    ) -> HttpReply:
        self._send(_encode(request), until)
        parser = reply_parser.ReplyParser(request.method)
        for _ in range(_MOST_FOREIGN + 1):
            while not parser.replies:
                parser.receive(self._receive(until))
            reply = parser.replies.pop(0)
            if belongs(reply):
                self._reusable = parser.reusable and not parser.replies
                self._note_keep_alive(reply)
                return reply
            if not parser.replies and not parser.reusable:
                raise errors.ConnectionBroken('an answer to another request')
        raise errors.ConnectionBroken('only answers to other requests')

    def _send(self, content: bytes, until: deadlines.Deadline) -> None:
        left = memoryview(content)
        while True:
            try:
                left = left[self._socket.send(left) :]
            except BlockingIOError:
                pass
            if not left:
                return
            room = select.poll()
            room.register(self._socket, select.POLLOUT)
            _wait(room, self._left_ms(until))

    def _receive(self, until: deadlines.Deadline) -> bytes:
        while True:
            _wait(self._arrivals, self._left_ms(until))
            try:
                return self._socket.recv(_RECEIVE_BYTES)
            except BlockingIOError:
                continue

    def _left_ms(self, until: deadlines.Deadline) -> float:
        return until.remaining(self._clock) * 1e3

    def _note_keep_alive(self, reply: HttpReply) -> None:
        text = reply.header(b'keep-alive')
        if text is None:
            return
        for option in text.split(b','):
            name, _, value = option.strip().partition(b'=')
            if name.lower() == b'timeout' and value.isdigit():
                idle_s = _KEEP_ALIVE_USE * int(value)
                self._usable_until_s = self._clock.monotonic() + idle_s


def _encode(request: HttpRequest) -> bytes:
    lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
    lines += [b'%b: %b' % header for header in request.headers]
    return b'\r\n'.join((*lines, b'', request.body))


def _wait(ready: select.poll, left_ms: float) -> None:
    """Wait until a socket is ready.

    :raises TimeoutError: it is not in time.
    """
    if left_ms <= 0 or not ready.poll(left_ms):
        raise TimeoutError('the deadline has passed')


def _shut_down(opened: socket.socket) -> None:
    try:
        opened.shutdown(socket.SHUT_RDWR)
    except OSError:
        # Not connected any more.
        return
