"""corianderport_wire.connection.http_exchange

A persistent HTTP/1.1 client connection, used by one task.

This module does not use libcurl, because libcurl repeats a request on a new
connection when a reused one is closed, and hides bytes that follow a
response. A request that may run only once must not be repeated, and
surplus bytes reveal responses that belong to another request. Responses are
therefore read from a plain socket and parsed by httptools. h11, which parses
callers' requests, needs twice the processor time of a whole send for each
response.
"""

import collections.abc
import functools
import select
import socket
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import byte_budget
from corianderport_tier.process import link_bytes
from corianderport_tier.request import deadlines
from corianderport_wire.connection import byte_views
from corianderport_wire.connection import reply_allowance
from corianderport_wire.connection import reply_parser

__all__ = ['HttpExchange', 'HttpReply', 'HttpRequest', 'connect']

Headers = tuple[tuple[bytes, bytes], ...]

# The connection is closed when sent data stays unacknowledged for longer.
_USER_TIMEOUT_MS = 2_000
_RECEIVE_BYTES = 65_536
# Maximum number of responses to earlier requests skipped while waiting for
# the response to the current one.
_MAX_UNMATCHED_REPLIES = 3
# Fraction of the server's Keep-Alive timeout during which the connection is
# reused.
_KEEP_ALIVE_FRACTION = 0.8


@attrs.frozen
class HttpRequest:
    """A request in the form in which it is sent.

    No part may contain line breaks, which is the case for the parts of a
    parsed request. ``headers`` must include the length of the body.
    """

    method: bytes
    target: bytes
    # May hold a key.
    headers: Headers = attrs.field(repr=False)
    body: bytes


HttpReply = reply_parser.HttpReply
ReplyMatcher = collections.abc.Callable[[HttpReply], bool]


def connect(address: str, timeout_s: float) -> socket.socket:
    """Open a connection to ``ip:port``.

    :raises ConnectRefused: no process listens on the address.
    :raises ConnectFailed: no connection was established in time.
    """
    host, _, port = address.rpartition(':')
    try:
        connection = socket.create_connection((host, int(port)), timeout_s)
    except ConnectionRefusedError as error:
        raise errors.ConnectRefused(f'{address}: {error}') from error
    except OSError as error:
        raise errors.ConnectFailed(f'{address}: {error}') from error
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
    )
    return connection


class HttpExchange:
    """Sends requests one at a time and never repeats one.

    :param quota: limits the responses on all connections of the host.
    :param budget: memory of the responses that arrive on all of them.
    :param link: counts the bytes.
    """

    def __init__(
        self,
        connection: socket.socket,
        clock: clocks.Clock,
        quota: reply_allowance.Quota | None = None,
        budget: byte_budget.ByteBudget | None = None,
        link: link_bytes.Link | None = None,
    ) -> None:
        self._link = link or link_bytes.LinkBytes().link(
            link_bytes.LinkKind.SEARCHER
        )
        self._quota = quota
        self._budget = budget
        # A socket with a timeout costs two more system calls per operation.
        connection.setblocking(False)
        self._socket = connection
        self._read_poll = select.poll()
        self._read_poll.register(connection, select.POLLIN)
        # A poll object must not be used by two tasks at the same time.
        self._check_poll = select.poll()
        self._check_poll.register(connection, select.POLLIN)
        self._clock = clock
        self._lock = threading.Lock()
        self._closed = False
        self._reusable = True
        # Method of the request that was sent last.
        self._method = b''
        self._received_bytes = 0
        # Whether a wait has shown that the socket can be read now.
        self._readable = False
        self._usable_until_s = float('inf')

    @property
    def usable_until_s(self) -> float:
        """When the server may close the idle connection.

        In seconds of the monotonic clock; infinite if it has not said so, and
        in the past if the connection cannot be reused.
        """
        return self._usable_until_s if self._reusable else float('-inf')

    @property
    def received_bytes(self) -> int:
        """Bytes received since the last request, of any response."""
        return self._received_bytes

    def exchange(
        self,
        request: HttpRequest,
        deadline: deadlines.Deadline,
        matches: ReplyMatcher = lambda reply: True,
    ) -> HttpReply:
        """Send a request and wait for the complete response.

        :param matches: tells whether a response belongs to this request;
            other responses are skipped.
        :raises ConnectionStale: the connection was no longer usable;
            nothing was sent.
        :raises ConnectionSilent: no complete response before the deadline.
        :raises ReplyInvalid: the server sent no valid response.
        :raises ConnectionBroken: the connection was closed.
        """
        self.send(request, deadline)
        return self.receive(deadline, matches)

    def send(self, request: HttpRequest, deadline: deadlines.Deadline) -> None:
        """Send a request; ``receive`` has to follow, possibly on another task.

        :raises ConnectionStale: the connection was no longer usable;
            nothing was sent.
        :raises ConnectionSilent: the request was not sent by the deadline.
        :raises ConnectionBroken: the connection was closed.
        """
        self._received_bytes = 0
        self._check_reusable()
        self._reusable = False
        self._method = request.method
        try:
            self._send(_encode(request), deadline)
        except TimeoutError as error:
            raise errors.ConnectionSilent('not sent in time') from error
        except OSError as error:
            raise errors.ConnectionBroken(str(error)) from error

    def await_readable(self, timeout_s: float) -> bool:
        """Wait until bytes arrive or the connection is closed or aborted.

        :return: False if neither happened in time.
        """
        self._readable = bool(self._read_poll.poll(timeout_s * 1e3))
        return self._readable

    def receive(
        self,
        deadline: deadlines.Deadline,
        matches: ReplyMatcher = lambda reply: True,
    ) -> HttpReply:
        """Wait for the complete response to the request that was sent.

        :param matches: see ``exchange``.
        :raises ConnectionSilent: no complete response before the deadline.
        :raises ConnectionBroken: the connection was closed, or the server
            sent no valid response.
        """
        try:
            return self._receive_reply(deadline, matches)
        except TimeoutError as error:
            raise errors.ConnectionSilent('no complete response') from error
        except OSError as error:
            raise errors.ConnectionBroken(str(error)) from error

    def abort(self) -> None:
        """Abort the exchange in progress, from another task."""
        with self._lock:
            if not self._closed:
                _shut_down(self._socket)

    def close(self) -> None:
        """Close the connection."""
        with self._lock:
            self._closed = True
            self._socket.close()

    def _check_reusable(self) -> None:
        if not self._reusable:
            raise errors.ConnectionStale('the connection cannot be reused')
        if self._clock.monotonic() >= self._usable_until_s:
            raise errors.ConnectionStale('the connection idled too long')
        # A readable socket means that the server has closed the connection
        # or sent bytes that belong to no request.
        if self._check_poll.poll(0):
            raise errors.ConnectionStale('closed, or unexpected bytes')

    def _receive_reply(
        self, deadline: deadlines.Deadline, matches: ReplyMatcher
    ) -> HttpReply:
        allowance = reply_allowance.ReplyAllowance(self._quota, self._budget)
        parser = reply_parser.ReplyParser(self._method, allowance)
        try:
            return self._parse_reply(parser, deadline, matches)
        finally:
            parser.close()
            allowance.release()

    def _parse_reply(
        self,
        parser: reply_parser.ReplyParser,
        deadline: deadlines.Deadline,
        matches: ReplyMatcher,
    ) -> HttpReply:
        for _ in range(_MAX_UNMATCHED_REPLIES + 1):
            while not parser.replies:
                parser.receive(self._receive(deadline))
            reply = parser.replies.pop(0)
            self._link.received(0, 1)
            if matches(reply):
                self._reusable = parser.reusable and not parser.replies
                self._apply_keep_alive(reply)
                return reply
            if not parser.replies and not parser.reusable:
                raise parser.invalid or errors.ConnectionBroken(
                    'response to another request'
                )
        raise errors.ConnectionBroken('too many responses to other requests')

    def _send(self, parts: list[bytes], deadline: deadlines.Deadline) -> None:
        unsent = [memoryview(part) for part in parts]
        while True:
            try:
                sent_bytes = self._socket.sendmsg(unsent)
                unsent = byte_views.after(unsent, sent_bytes)
                self._link.sent(sent_bytes, 0 if unsent else 1)
            except BlockingIOError:
                pass
            if not unsent:
                return
            write_poll = select.poll()
            write_poll.register(self._socket, select.POLLOUT)
            _wait(write_poll, self._remaining_ms(deadline))

    def _receive(self, deadline: deadlines.Deadline) -> bytes:
        while True:
            if self._readable:
                self._readable = False
            else:
                _wait(self._read_poll, self._remaining_ms(deadline))
            try:
                received = self._socket.recv(_RECEIVE_BYTES)
            except BlockingIOError:
                continue
            self._received_bytes += len(received)
            self._link.received(len(received))
            return received

    def _remaining_ms(self, deadline: deadlines.Deadline) -> float:
        return deadline.remaining(self._clock) * 1e3

    def _apply_keep_alive(self, reply: HttpReply) -> None:
        """Limit the idle time by the server's Keep-Alive header."""
        options = reply.header(b'keep-alive')
        if options is None:
            return
        timeout_s = _keep_alive_s(options)
        if timeout_s is not None:
            idle_s = _KEEP_ALIVE_FRACTION * timeout_s
            self._usable_until_s = self._clock.monotonic() + idle_s


@functools.lru_cache(maxsize=64)
def _keep_alive_s(options: bytes) -> int | None:
    """Return the idle timeout in a Keep-Alive header, in seconds."""
    timeout_s = None
    for option in options.split(b','):
        name, _, value = option.strip().partition(b'=')
        if name.lower() == b'timeout' and value.isdigit():
            timeout_s = int(value)
    return timeout_s


def _encode(request: HttpRequest) -> list[bytes]:
    """Return the head and the body.

    The body is not copied: a searcher may read it slowly, and each of the
    sends of a gather has one.
    """
    lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
    lines += [b'%b: %b' % header for header in request.headers]
    return [b'\r\n'.join((*lines, b'', b'')), request.body]


def _wait(socket_poll: select.poll, timeout_ms: float) -> None:
    """Wait until a socket is ready.

    :raises TimeoutError: it was not ready in time.
    """
    if timeout_ms <= 0 or not socket_poll.poll(timeout_ms):
        raise TimeoutError('the deadline has passed')


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # No longer connected.
        return
