"""corianderport_wire.connection.curl_client

One persistent HTTP/1.1 connection through pycurl.
"""

import collections.abc
import io
import socket
import threading

import attrs
import pycurl

from corianderport_tier import errors

__all__ = ['CurlClient', 'HttpReply']

_KEEP_ALIVE_S = 5
# Sent data that stays unacknowledged for longer ends the connection.
_USER_TIMEOUT_MS = 2_000
_MAX_IDLE_S = 30
_NO_SOCKET: int = pycurl.SOCKET_BAD
_MAX_REPLY_BYTES = 16 * 1024 * 1024
_NOT_SENT = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST}
)

Check = collections.abc.Callable[[], None]


@attrs.frozen
class HttpReply:
    """Status and body of one reply."""

    status: int
    body: bytes


@attrs.define(eq=False)
class _SendGate:
    """libcurl calls it when it has connected and before it sends."""

    check: Check
    passed: bool = False
    refusal: errors.CorianderportError | None = None

    def __call__(self, *addresses: object) -> int:
        # libcurl must not get an exception from a callback.
        try:
            self.check()
        except errors.CorianderportError as error:
            self.refusal = error
            return int(pycurl.PREREQFUNC_ABORT)
        self.passed = True
        return int(pycurl.PREREQFUNC_OK)


class CurlClient:
    """A handle that keeps one connection to ``ip:port`` open.

    :param reconnect: whether libcurl replaces a connection that has ended,
        which may send a request a second time. Otherwise the call fails
        with ConnectionBroken.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_s: float,
        reconnect: bool = True,
    ) -> None:
        self._address = address
        self._reconnect = reconnect
        self._fresh = False
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._aborted = False
        handle = pycurl.Curl()
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(pycurl.TCP_KEEPALIVE, 1)
        handle.setopt(pycurl.TCP_KEEPIDLE, _KEEP_ALIVE_S)
        handle.setopt(pycurl.TCP_KEEPINTVL, _KEEP_ALIVE_S)
        handle.setopt(pycurl.MAXCONNECTS, 1)
        if reconnect:
            handle.setopt(pycurl.MAXAGE_CONN, _MAX_IDLE_S)
        handle.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)
        handle.setopt(pycurl.PROXY, '')
        handle.setopt(pycurl.MAXFILESIZE, _MAX_REPLY_BYTES)
        handle.setopt(
            pycurl.CONNECTTIMEOUT_MS, max(1, int(connect_timeout_s * 1e3))
        )
        # libcurl adds an Expect header to large bodies, which costs a
        # round trip.
        handle.setopt(
            pycurl.HTTPHEADER, ['Content-Type: application/json', 'Expect:']
        )
        self._handle = handle

    def post(self, path: str, body: bytes, timeout_s: float) -> HttpReply:
        """Send a POST and wait for its reply.

        :raises ConnectFailed: no byte was sent.
        :raises ConnectionSilent: no whole reply within the timeout.
        :raises ConnectionBroken: the connection ended.
        """
        handle = self._handle
        handle.setopt(pycurl.POST, 1)
        handle.setopt(pycurl.POSTFIELDS, body)
        return self._perform(path, timeout_s)

    def post_once(
        self, path: str, body: bytes, timeout_s: float, check: Check
    ) -> HttpReply:
        """Send a POST at most once, on a new connection.

        libcurl sends a request again when a reused connection turns out to
        be closed, but never on a new one.

        :param check: called on the open connection before the first byte
            is sent; what it raises ends the call with nothing sent.
        :raises ConnectFailed: no byte was sent.
        :raises ConnectionSilent: no whole reply within the timeout.
        :raises ConnectionBroken: the connection ended.
        """
        handle = self._handle
        gate = _SendGate(check)
        handle.setopt(pycurl.FRESH_CONNECT, 1)
        self._fresh = True
        handle.setopt(pycurl.PREREQFUNCTION, gate)
        try:
            return self.post(path, body, timeout_s)
        except errors.TransportError as error:
            if gate.refusal is not None:
                raise gate.refusal from error
            if not gate.passed:
                raise errors.ConnectFailed(str(error)) from error
            if isinstance(error, errors.ConnectFailed):
                raise errors.ConnectionBroken(str(error)) from error
            raise
        finally:
            handle.unsetopt(pycurl.PREREQFUNCTION)
            handle.setopt(pycurl.FRESH_CONNECT, 0)
            self._fresh = False

    def get(self, path: str, timeout_s: float) -> HttpReply:
        """Send a GET and wait for its reply; errors as for post."""
        self._handle.setopt(pycurl.HTTPGET, 1)
        return self._perform(path, timeout_s)

    def abort(self) -> None:
        """End the call in progress, from another thread.

        The client cannot be used again.
        """
        with self._lock:
            self._aborted = True
            if self._socket is not None:
                _shut_down(self._socket)

    def close(self) -> None:
        """Close the connection."""
        self._handle.close()
        self._drop_socket()

    def _open_socket(
        self, purpose: int, address: tuple[int, int, int, object]
    ) -> socket.socket | int:
        """Open a socket for libcurl, which duplicates its descriptor."""
        may_open = self._reconnect or self._fresh or self._socket is None
        if not may_open:
            return _NO_SOCKET
        family, kind, protocol, _ = address
        opened = socket.socket(family, kind, protocol)
        opened.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
        )
        with self._lock:
            if self._aborted:
                opened.close()
                return _NO_SOCKET
            if self._socket is not None:
                self._socket.close()
            self._socket = opened
        return opened

    def _perform(self, path: str, timeout_s: float) -> HttpReply:
        handle = self._handle
        reused = self._socket is not None
        reply = io.BytesIO()
        handle.setopt(pycurl.URL, f'http://{self._address}{path}')
        handle.setopt(pycurl.WRITEFUNCTION, reply.write)
        handle.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1e3)))
        try:
            handle.perform()
        except pycurl.error as error:
            raise self._fault(error, reused) from error
        if handle.getinfo(pycurl.ACTIVESOCKET) == _NO_SOCKET:
            # The reply asked for the connection to be closed.
            self._drop_socket()
        return HttpReply(
            handle.getinfo(pycurl.RESPONSE_CODE), reply.getvalue()
        )

    def _drop_socket(self) -> None:
        with self._lock:
            if self._socket is not None:
                self._socket.close()
                self._socket = None

    def _fault(
        self, error: pycurl.error, reused: bool
    ) -> errors.TransportError:
        number, text = error.args
        described = f'{self._address}: {text}'
        timed_out = number == pycurl.E_OPERATION_TIMEDOUT
        connecting = number in _NOT_SENT or (
            timed_out and self._handle.getinfo(pycurl.PRETRANSFER_TIME) == 0
        )
        # libcurl repeats a request when a reused connection ends without
        # an answer, so that a failure to connect does not show that
        # nothing was sent before.
        if connecting and not reused:
            return errors.ConnectFailed(described)
        if timed_out:
            return errors.ConnectionSilent(described)
        return errors.ConnectionBroken(described)


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # Not connected, or closed by the other end.
        return
