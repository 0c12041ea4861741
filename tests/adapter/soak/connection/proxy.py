"""Loopback proxy whose links delay, reset, go silent or truncate."""

import contextlib
import random
import socket
import struct
import threading
import time
import typing

import attrs

__all__ = [
    'Delay',
    'Direction',
    'Effect',
    'LossOfConnection',
    'NoEffect',
    'Proxy',
    'Reset',
    'Silence',
    'Truncate',
]

# Guards against tasks that outlive a run; longer than any run.
_IDLE_S = 60.0
_CONNECT_S = 2.0
_READ_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_HEAD_END = b'\r\n\r\n'
# Shorter than a status line.
_HEAD_CUT = 9

Direction = typing.Literal['request', 'reply']


class LossOfConnection(Exception):
    """The link ends; ``resets`` says whether by a reset."""

    def __init__(self, resets: bool) -> None:
        super().__init__()
        self.resets = resets


class Effect(typing.Protocol):
    """What a link does to the bytes that it carries."""

    @property
    def breaks_open(self) -> bool:
        """Whether open connections end when the effect begins."""

    def silences(self, direction: Direction, is_new: bool) -> bool:
        """Whether a connection carries nothing more in a direction."""

    def carry(self, direction: Direction, content: bytes) -> bytes:
        """Return the bytes to pass on.

        :raises LossOfConnection: the connection ends.
        """


@attrs.frozen
class NoEffect:
    """Passes everything on."""

    breaks_open: bool = False

    def silences(self, direction: Direction, is_new: bool) -> bool:
        """Return False."""
        return False

    def carry(self, direction: Direction, content: bytes) -> bytes:
        """Return the content."""
        return content


@attrs.frozen
class Delay(NoEffect):
    """Holds each piece back for a time."""

    seconds: float = 0.1

    def carry(self, direction: Direction, content: bytes) -> bytes:
        """Return the content after the delay."""
        time.sleep(self.seconds)
        return content


@attrs.frozen
class Reset(NoEffect):
    """Resets open connections, and some of those that carry bytes.

    :param share: share of the pieces at which a connection is reset.
    """

    breaks_open: bool = True
    share: float = 0.1

    def carry(self, direction: Direction, content: bytes) -> bytes:
        """Return the content, or end the connection."""
        if random.random() < self.share:
            raise LossOfConnection(resets=True)
        return content


@attrs.frozen
class Silence(NoEffect):
    """Drops the bytes of some directions, without closing anything.

    A connection stays silent after the end of the fault, like one whose
    state a middlebox has lost.

    :param with_new: whether connections opened meanwhile are silent too.
    """

    directions: frozenset[Direction] = frozenset(('request', 'reply'))
    with_new: bool = False

    def silences(self, direction: Direction, is_new: bool) -> bool:
        """Whether the direction is cut."""
        return direction in self.directions and (self.with_new or not is_new)


@attrs.frozen
class Truncate(NoEffect):
    """Ends connections in the middle of a reply.

    :param place: part of the reply in which it ends.
    :param share: share of the replies that are cut.
    """

    place: typing.Literal['head', 'body'] = 'head'
    share: float = 0.3

    def carry(self, direction: Direction, content: bytes) -> bytes:
        """Return the content, or the first part of a reply."""
        if direction == 'request' or random.random() >= self.share:
            return content
        head, end, body = content.partition(_HEAD_END)
        if self.place == 'head' or not body:
            return content[:_HEAD_CUT]
        return head + end + body[: len(body) // 2]


class _Link:
    """One connection through a proxy."""

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self._sockets = {'request': near, 'reply': far}
        self.silent: set[Direction] = set()
        self._resets = False

    def close(self, resets: bool = False) -> None:
        """Wake both tasks of the link, which then close the sockets."""
        self._resets = self._resets or resets
        for connection in self._sockets.values():
            with contextlib.suppress(OSError):
                if self._resets:
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                    )
                # The end of the sending side would be sent before the reset.
                connection.shutdown(
                    socket.SHUT_RD if self._resets else socket.SHUT_RDWR
                )

    def read(self, direction: Direction) -> bytes:
        content = self._sockets[direction].recv(_READ_BYTES)
        # Bytes that arrive after the receiving side was shut down are still
        # returned.
        return b'' if self._resets else content

    def write(self, direction: Direction, content: bytes) -> None:
        other: Direction = 'reply' if direction == 'request' else 'request'
        self._sockets[other].sendall(content)


class Proxy:
    """Listens on a port of its own and forwards to an address."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=512)
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self._effect: Effect = NoEffect()
        self._lock = threading.Lock()
        self._links: set[_Link] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept nothing more and end all connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for link in self._open_links():
            link.close()

    def apply(self, effect: Effect) -> None:
        """Set the effect on open and later connections."""
        with self._lock:
            self._effect = effect
        for link in self._open_links():
            self._silence(link, effect, is_new=False)
            if effect.breaks_open:
                link.close(resets=True)

    def _open_links(self) -> list[_Link]:
        with self._lock:
            return list(self._links)

    def _silence(self, link: _Link, effect: Effect, is_new: bool) -> None:
        directions: tuple[Direction, ...] = ('request', 'reply')
        for direction in directions:
            if effect.silences(direction, is_new):
                link.silent.add(direction)

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect, args=(near,), daemon=True
            ).start()

    def _connect(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self._target, _CONNECT_S)
        except OSError:
            near.close()
            return
        with near, far:
            for connection in (near, far):
                connection.settimeout(_IDLE_S)
                connection.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
                )
            link = _Link(near, far)
            with self._lock:
                self._links.add(link)
                effect = self._effect
            self._silence(link, effect, is_new=True)
            replies = threading.Thread(
                target=self._forward, args=(link, 'reply'), daemon=True
            )
            replies.start()
            self._forward(link, 'request')
            replies.join()
            with self._lock:
                self._links.discard(link)

    def _forward(self, link: _Link, direction: Direction) -> None:
        resets = False
        with contextlib.suppress(OSError, ValueError):
            try:
                while content := link.read(direction):
                    carried = self._effect.carry(direction, content)
                    if direction not in link.silent:
                        link.write(direction, carried)
                    if len(carried) < len(content):
                        break
            except LossOfConnection as loss:
                resets = loss.resets
        link.close(resets)
