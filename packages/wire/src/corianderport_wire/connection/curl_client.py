"""corianderport_wire.connection.curl_client

A persistent HTTP/1.1 connection based on pycurl.
"""

import collections.abc
import io
import socket
import threading

import attrs
import pycurl

from corianderport_tier import errors
from corianderport_wire.connection import reply_allowance

__all__ = ['CurlClient', 'HttpReply', 'ReplyCollector']

# An empty Expect header keeps libcurl from sending "Expect: 100-continue" with
# large bodies, which costs a round trip.
_HEADERS = ('Content-Type: application/json', 'Expect:')
_KEEPALIVE_INTERVAL_S = 5
# The connection is closed when sent data stays unacknowledged for longer.
_USER_TIMEOUT_MS = 2_000
_MAX_IDLE_S = 30
# libcurl ends a call whose callback does not return the number of bytes.
_END_CALL = -1
_NO_SOCKET: int = pycurl.SOCKET_BAD
_MAX_REPLY_BYTES = 16 * 1024 * 1024
_CONNECT_ERRORS = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST}
)

Check = collections.abc.Callable[[], None]


@attrs.frozen
class HttpReply:
    """Status and body of a response."""

    status: int
    body: bytes


@attrs.define(eq=False)
class _PreRequestCheck:
    """libcurl's pre-request callback: connected, nothing sent yet."""

    check: Check
    passed: bool = False
    refusal: errors.CorianderportError | None = None

    def __call__(self, *addresses: object) -> int:
        # Exceptions must not propagate into libcurl.
        try:
            self.check()
        except errors.CorianderportError as error:
            self.refusal = error
            return int(pycurl.PREREQFUNC_ABORT)
        self.passed = True
        return int(pycurl.PREREQFUNC_OK)


class ReplyCollector:
    """libcurl's callbacks that receive the head and the body of a response.

    libcurl reports a response whose connection closes within the head as if
    it had an empty body.

    :param quota: limits the responses on all connections of the host.
    """

    def __init__(self, quota: reply_allowance.Quota | None = None) -> None:
        self._allowance = reply_allowance.ReplyAllowance(quota)
        self._body = io.BytesIO()
        self._informational = False
        self._head_complete = False
        self._error: errors.ConnectionBroken | None = None

    @property
    def body(self) -> bytes:
        """Body received so far."""
        return self._body.getvalue()

    @property
    def error(self) -> errors.ConnectionBroken | None:
        """Why the response was rejected, or must be after its end."""
        if self._error is None and not self._head_complete:
            return errors.ConnectionBroken('closed within the response head')
        return self._error

    @property
    def rejected(self) -> bool:
        """Whether the response has exceeded a limit."""
        return self._error is not None

    def on_header(self, line: bytes) -> int | None:
        """Receive a line of the head; return a value that ends the call."""
        if line.startswith(b'HTTP/'):
            _, _, status = line.partition(b' ')
            self._informational = status.startswith(b'1')
        elif not line.strip():
            self._head_complete = not self._informational
        return self._count(line, body=False)

    def on_body(self, content: bytes) -> int | None:
        """Receive a piece of the body; return a value that ends the call."""
        self._body.write(content)
        return self._count(content, body=True)

    def _count(self, content: bytes, body: bool) -> int | None:
        # Exceptions must not propagate into libcurl.
        try:
            self._allowance.count_read(len(content))
            if body:
                self._allowance.count_body(len(content))
            self._allowance.check_overhead()
        except errors.ConnectionBroken as error:
            self._error = error
            return _END_CALL
        return None


class CurlClient:
    """A client that keeps one connection to ``ip:port`` open.

    :param reconnect: whether libcurl may replace a closed connection, which
        may send a request twice. Otherwise the call raises
        ConnectionBroken.
    :param quota: limits the responses on all connections of the host.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_s: float,
        reconnect: bool = True,
        quota: reply_allowance.Quota | None = None,
    ) -> None:
        self._address = address
        self._quota = quota
        self._reconnect = reconnect
        self._fresh_connect = False
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._opened = False
        self._aborted = False
        handle = pycurl.Curl()
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(pycurl.TCP_KEEPALIVE, 1)
        handle.setopt(pycurl.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S)
        handle.setopt(pycurl.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
        handle.setopt(pycurl.MAXCONNECTS, 1)
        if reconnect:
            handle.setopt(pycurl.MAXAGE_CONN, _MAX_IDLE_S)
        handle.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)
        handle.setopt(pycurl.PROXY, '')
        handle.setopt(pycurl.MAXFILESIZE, _MAX_REPLY_BYTES)
        handle.setopt(
            pycurl.CONNECTTIMEOUT_MS, max(1, int(connect_timeout_s * 1e3))
        )
        handle.setopt(pycurl.HTTPHEADER, _HEADERS)
        self._handle = handle

    def post(self, path: str, body: bytes, timeout_s: float) -> HttpReply:
        """Send a POST request and wait for the response.

        :raises ConnectFailed: nothing was sent.
        :raises ConnectionSilent: no complete response within the timeout.
        :raises ConnectionBroken: the connection was closed.
        """
        handle = self._handle
        handle.setopt(pycurl.POST, 1)
        handle.setopt(pycurl.POSTFIELDS, body)
        return self._perform(path, timeout_s)

    def post_once(
        self, path: str, body: bytes, timeout_s: float, check: Check
    ) -> HttpReply:
        """Send a POST request at most once, on a new connection.

        libcurl repeats a request when a reused connection turns out to be
        closed, but never on a new connection.

        :param check: called once the connection is open, before the first
            byte is sent; an exception from it ends the call with nothing
            sent.
        :raises ConnectFailed: nothing was sent.
        :raises ConnectionSilent: no complete response within the timeout.
        :raises ConnectionBroken: the connection was closed.
        """
        handle = self._handle
        pre_request = _PreRequestCheck(check)
        handle.setopt(pycurl.FRESH_CONNECT, 1)
        self._fresh_connect = True
        handle.setopt(pycurl.PREREQFUNCTION, pre_request)
        try:
            return self.post(path, body, timeout_s)
        except errors.TransportError as error:
            if pre_request.refusal is not None:
                raise pre_request.refusal from error
            if not pre_request.passed:
                raise errors.ConnectFailed(str(error)) from error
            if isinstance(error, errors.ConnectFailed):
                raise errors.ConnectionBroken(str(error)) from error
            raise
        finally:
            handle.unsetopt(pycurl.PREREQFUNCTION)
            handle.setopt(pycurl.FRESH_CONNECT, 0)
            self._fresh_connect = False

    def get(
        self,
        path: str,
        timeout_s: float,
        headers: collections.abc.Sequence[str] = (),
    ) -> HttpReply:
        """Send a GET request and wait; raises the same errors as post.

        :param headers: further headers, each of the form ``Name: value``.
        :raises ReplyIncomplete: a part of the response arrived in time.
        :raises ReplyTooLarge: the response exceeds 16 MB.
        """
        self._handle.setopt(pycurl.HTTPHEADER, [*_HEADERS, *headers])
        self._handle.setopt(pycurl.HTTPGET, 1)
        return self._perform(path, timeout_s)

    def abort(self) -> None:
        """Abort the call in progress, from another thread.

        The client cannot be used afterwards.
        """
        with self._lock:
            self._aborted = True
            if self._socket is not None:
                _shut_down(self._socket)

    def close(self) -> None:
        """Close the connection."""
        self._handle.close()
        self._close_socket()

    def _open_socket(
        self, purpose: int, address: tuple[int, int, int, object]
    ) -> socket.socket | int:
        """Open a socket for libcurl, which duplicates its descriptor."""
        may_open = (
            self._reconnect or self._fresh_connect or self._socket is None
        )
        if not may_open:
            return _NO_SOCKET
        family, kind, protocol, _ = address
        connection = socket.socket(family, kind, protocol)
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
        )
        with self._lock:
            if self._aborted:
                connection.close()
                return _NO_SOCKET
            if self._socket is not None:
                self._socket.close()
            self._socket = connection
        self._opened = True
        return connection

    def _perform(self, path: str, timeout_s: float) -> HttpReply:
        handle = self._handle
        reused = self._socket is not None
        self._opened = False
        collector = ReplyCollector(self._quota)
        handle.setopt(pycurl.URL, f'http://{self._address}{path}')
        handle.setopt(pycurl.HEADERFUNCTION, collector.on_header)
        handle.setopt(pycurl.WRITEFUNCTION, collector.on_body)
        handle.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1e3)))
        try:
            handle.perform()
        except pycurl.error as error:
            if collector.rejected:
                raise errors.ConnectionBroken(
                    f'{self._address}: {collector.error}'
                ) from error
            failure = self._transport_error(error, reused)
            failure.fresh = self._opened
            raise failure from error
        if handle.getinfo(pycurl.ACTIVESOCKET) == _NO_SOCKET:
            # The response had "Connection: close".
            self._close_socket()
        if collector.error is not None:
            raise errors.ConnectionBroken(
                f'{self._address}: {collector.error}'
            )
        return HttpReply(handle.getinfo(pycurl.RESPONSE_CODE), collector.body)

    def _close_socket(self) -> None:
        with self._lock:
            if self._socket is not None:
                self._socket.close()
                self._socket = None

    def _transport_error(
        self, error: pycurl.error, reused: bool
    ) -> errors.TransportError:
        code, description = error.args
        message = f'{self._address}: {description}'
        timed_out = code == pycurl.E_OPERATION_TIMEDOUT
        connecting = code in _CONNECT_ERRORS or (
            timed_out and self._handle.getinfo(pycurl.PRETRANSFER_TIME) == 0
        )
        # libcurl repeats a request when a reused connection is closed
        # without a response. A failure to connect may therefore follow a
        # first send, and shows that nothing was sent only on a new
        # connection.
        if connecting and not reused:
            return errors.ConnectFailed(message)
        if timed_out and self._handle.getinfo(pycurl.HEADER_SIZE) > 0:
            return errors.ReplyIncomplete(message)
        if timed_out:
            return errors.ConnectionSilent(message)
        if code == pycurl.E_FILESIZE_EXCEEDED:
            return errors.ReplyTooLarge(message)
        return errors.ConnectionBroken(message)


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # Not connected, or already closed by the server.
        return
