"""corianderport_wire.connection.peer_authentication

Mutual HMAC authentication of peer connections, and a frame size limit.

The client sends ``CRP1`` and a nonce. The server answers with its own nonce.
The client sends one proof for each of two keys, and the server replies with
its proof for the key that matched. An unauthenticated client receives nothing
but a nonce. All messages have a fixed size, so that an unauthenticated client
cannot control how much is read.
"""

import hashlib
import hmac
import secrets
import socket
import struct
import typing

import attrs
import thriftpy2.transport

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import deadlines
from corianderport_wire.connection import stream_wrapper

__all__ = [
    'CLIENT_BYTES',
    'MESSAGES',
    'SERVER_BYTES',
    'FrameLimiter',
    'SharedKeys',
    'authenticate_to_server',
    'authenticate_client',
]

_MAGIC = b'CRP1'
_NONCE_BYTES = 32
_PROOF_BYTES = 32
_FRAME_LENGTH_BYTES = 4
# Bytes that each side sends in a successful authentication, in two messages.
CLIENT_BYTES = len(_MAGIC) + _NONCE_BYTES + 2 * _PROOF_BYTES
SERVER_BYTES = _NONCE_BYTES + _PROOF_BYTES
MESSAGES = 2


@attrs.frozen
class SharedKeys:
    """One key, or two during a key rotation; the first one is preferred."""

    keys: tuple[bytes, ...] = attrs.field(repr=False)

    @classmethod
    def from_text(cls, text: str) -> 'SharedKeys':
        """Parse one or two comma-separated keys.

        :raises SettingInvalid: the text does not hold one or two keys.
        """
        keys = tuple(key.strip().encode() for key in text.split(','))
        if not 1 <= len(keys) <= 2 or not all(keys):
            raise errors.SettingInvalid(
                'shared_keys: expected one or two keys'
            )
        return cls(keys)

    def pair(self) -> tuple[bytes, bytes]:
        """Return both keys, or the only key twice."""
        return self.keys[0], self.keys[-1]


class FrameLimiter(stream_wrapper.StreamWrapper):
    """Stream below a framed transport that rejects oversized frames.

    The compiled framed transport allocates memory for a frame as soon as it
    has read the length, so the length must be checked before that.
    """

    def __init__(self, stream: typing.Any, limit_bytes: int) -> None:
        super().__init__(stream)
        self._limit_bytes = limit_bytes
        self._header = b''
        self._remaining = 0

    def read(self, size: int) -> bytes:
        """Read up to ``size`` bytes.

        :raises TTransportException: a frame exceeds the limit.
        """
        received = super().read(size)
        self._track_frames(received)
        return received

    def _track_frames(self, received: bytes) -> None:
        offset = 0
        while offset < len(received):
            skipped = min(self._remaining, len(received) - offset)
            self._remaining -= skipped
            offset += skipped
            if self._remaining == 0 and offset < len(received):
                missing = _FRAME_LENGTH_BYTES - len(self._header)
                self._header += received[offset : offset + missing]
                offset += missing
                if len(self._header) == _FRAME_LENGTH_BYTES:
                    self._remaining = self._check_length(self._header)
                    self._header = b''

    def _check_length(self, header: bytes) -> int:
        (size,) = struct.unpack('!i', header)
        if not 0 <= size <= self._limit_bytes:
            raise thriftpy2.transport.TTransportException(
                message=f'frame of {size} bytes exceeds {self._limit_bytes}'
            )
        return int(size)


def authenticate_to_server(
    connection: socket.socket,
    keys: SharedKeys,
    clock: clocks.Clock,
    timeout_s: float,
) -> None:
    """Run the client side of the mutual authentication.

    :raises Unauthenticated: the server has none of this host's keys.
    :raises OSError: the connection failed or timed out.
    """
    reader = _Reader(connection, clock, timeout_s)
    own_nonce = secrets.token_bytes(_NONCE_BYTES)
    connection.settimeout(timeout_s)
    connection.sendall(_MAGIC + own_nonce)
    nonces = own_nonce + reader.read(_NONCE_BYTES)
    proofs = [_proof(key, b'client', nonces) for key in keys.pair()]
    connection.sendall(b''.join(proofs))
    server_proof = reader.read(_PROOF_BYTES)
    if _find_key(keys, b'server', nonces, (server_proof,)) is None:
        raise errors.Unauthenticated('the server has none of the shared keys')


def authenticate_client(
    connection: socket.socket,
    keys: SharedKeys,
    clock: clocks.Clock,
    timeout_s: float,
) -> None:
    """Run the server side of the mutual authentication.

    :raises Unauthenticated: the client has none of this host's keys.
    :raises OSError: the connection failed or timed out.
    """
    reader = _Reader(connection, clock, timeout_s)
    connection.settimeout(timeout_s)
    greeting = reader.read(len(_MAGIC) + _NONCE_BYTES)
    if not greeting.startswith(_MAGIC):
        raise errors.Unauthenticated('unknown protocol version')
    own_nonce = secrets.token_bytes(_NONCE_BYTES)
    connection.sendall(own_nonce)
    nonces = greeting[len(_MAGIC) :] + own_nonce
    proofs = reader.read(2 * _PROOF_BYTES)
    key = _find_key(
        keys,
        b'client',
        nonces,
        (proofs[:_PROOF_BYTES], proofs[_PROOF_BYTES:]),
    )
    if key is None:
        raise errors.Unauthenticated('the client has none of the shared keys')
    connection.sendall(_proof(key, b'server', nonces))


def _proof(key: bytes, side: bytes, nonces: bytes) -> bytes:
    return hmac.new(key, side + nonces, hashlib.sha256).digest()


def _find_key(
    keys: SharedKeys, side: bytes, nonces: bytes, proofs: tuple[bytes, ...]
) -> bytes | None:
    for key in keys.keys:
        expected = _proof(key, side, nonces)
        if any(hmac.compare_digest(expected, proof) for proof in proofs):
            return key
    return None


class _Reader:
    """Reads the messages of one authentication.

    A single deadline covers the whole authentication, so that a client
    cannot extend it by sending one byte at a time.
    """

    def __init__(
        self,
        connection: socket.socket,
        clock: clocks.Clock,
        timeout_s: float,
    ) -> None:
        self._connection = connection
        self._clock = clock
        self._deadline = deadlines.Deadline.after(clock, timeout_s)

    def read(self, size: int) -> bytes:
        """Read exactly ``size`` bytes."""
        received = b''
        while len(received) < size:
            remaining_s = self._deadline.remaining(self._clock)
            if remaining_s <= 0:
                raise TimeoutError('peer authentication timed out')
            self._connection.settimeout(remaining_s)
            chunk = self._connection.recv(size - len(received))
            if not chunk:
                raise ConnectionResetError('closed during authentication')
            received += chunk
        return received
