"""One connection of a client in a crowd, and the requests that it sends."""

import contextlib
import socket
import struct
import typing

__all__ = [
    'BODY_BYTES',
    'Caller',
    'HEAD_BYTES',
    'Progress',
    'SLOW_INTERVAL_S',
    'chunks',
    'request_head',
    'short_fields_head',
]

# Limits of the configuration on a head and on a body.
HEAD_BYTES = 16_384
BODY_BYTES = 262_144
# Interval between the bytes of slow senders and slow readers.
SLOW_INTERVAL_S = 0.25
_HEAD_END = b'\r\n\r\n'


class Progress(typing.Protocol):
    """The crowd that a client belongs to."""

    @property
    def sending_left_s(self) -> float:
        """Time left for sending; at least a moment."""

    def done_sending(self, client: int) -> None:
        """Note that a client has sent what it wants to send."""

    def await_end(self) -> None:
        """Wait until the crowd ends."""

    def pause(self, seconds: float) -> bool:
        """Pause a client; return True when the crowd has ended."""


def chunks(body: bytes, size: int) -> bytes:
    """Encode a body in chunks, without the last (empty) one."""
    pieces = [body[i : i + size] for i in range(0, len(body), size)]
    return b''.join(b'%x\r\n%b\r\n' % (len(p), p) for p in pieces)


def request_head(
    target: str, *fields: str, method: str = 'POST', number: int = 0
) -> bytes:
    """Return the head of a request."""
    lines = [
        f'{method} {target} HTTP/1.1',
        'Host: a.example',
        f'X-Request-Id: q{number}',
        'X-Deadline-Ms: 10000',
        *fields,
    ]
    return '\r\n'.join((*lines, '', '')).encode()


def short_fields_head(
    target: str, *fields: str, method: str = 'POST'
) -> bytes:
    """Return the largest legal head, made of fields of four bytes."""
    start = request_head(target, *fields, method=method)[: -len('\r\n')]
    count, rest = divmod(HEAD_BYTES - len(start) - len('\r\n'), len('a:\r\n'))
    return start + (count - 1) * b'a:\r\n' + b'a:' + rest * b'b' + _HEAD_END


class Caller:
    """One connection of a client in a crowd, used by one task."""

    def __init__(
        self,
        connection: socket.socket,
        path: str,
        crowd: Progress,
        client: int,
    ) -> None:
        self.path = path
        self._client = client
        self._connection = connection
        self._crowd = crowd

    def send(self, content: bytes) -> None:
        """Send all bytes; a host that doesn't read ends the sending.

        :raises OSError: the host has closed the connection.
        """
        unsent = memoryview(content)
        while unsent:
            self._connection.settimeout(self._crowd.sending_left_s)
            try:
                unsent = unsent[self._connection.send(unsent) :]
            except TimeoutError:
                self.hold()
                return

    def send_pieces(self, content: bytes, size: int) -> None:
        """Send all bytes in pieces of a size."""
        for start in range(0, len(content), size):
            self.send(content[start : start + size])

    def send_slowly(
        self, content: bytes, interval_s: float = SLOW_INTERVAL_S
    ) -> None:
        """Send one byte now and then until the crowd ends."""
        for number in range(len(content)):
            if self._crowd.pause(interval_s):
                return
            self.send(content[number : number + 1])
            self._crowd.done_sending(self._client)

    def read_slowly(self, interval_s: float = SLOW_INTERVAL_S) -> None:
        """Read one byte now and then until the crowd ends."""
        self._connection.settimeout(interval_s)
        while True:
            with contextlib.suppress(TimeoutError):
                if not self._connection.recv(1):
                    return
            self._crowd.done_sending(self._client)
            if self._crowd.pause(interval_s):
                return

    def send_and_read(self, request: bytes, interval_s: float) -> None:
        """Send a request and read what arrives, until the crowd ends."""
        while True:
            self.send(request)
            self._connection.settimeout(interval_s)
            with contextlib.suppress(TimeoutError):
                if not self._connection.recv(65_536):
                    return
            self._crowd.done_sending(self._client)
            if self._crowd.pause(interval_s):
                return

    def pause(self, seconds: float) -> None:
        """Send and read nothing for some time."""
        self._crowd.pause(seconds)

    def end_sending(self) -> None:
        """Close the connection's sending side only."""
        self._connection.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Close the connection with a reset."""
        self._connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self._connection.close()
        raise ConnectionResetError('closed by the client')

    def hold(self) -> None:
        """Keep the connection open until the crowd ends."""
        self._crowd.done_sending(self._client)
        self._crowd.await_end()
