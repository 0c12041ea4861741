"""An entry host in this process, between raw bytes on both sides."""

import collections.abc
import contextlib
import pathlib
import socket
import threading
import time

import attrs

from corianderport_daemon.process import entry_host
from corianderport_daemon.process import entry_settings
from corianderport_platform import adapter as adapter_module
from corianderport_platform import settings

from . import fakes
from . import test_documents
from . import test_settings

__all__ = ['HttpHost', 'Message', 'Peer', 'Responses', 'running', 'split']

# Guards against hanging; no verdict depends on a shorter time.
LONG_S = 30.0
# Time-out of the route. A machine that stalls for longer makes the host refuse
# or give up the request.
_TIMEOUT_MS = 20_000
_POLL_INTERVAL_S = 0.01
_SEARCHER = 'i-desk'
_HEAD_END = b'\r\n\r\n'
_SHOWN_DECISIONS = 12


@attrs.frozen
class Message:
    """A message as its bytes show it, without any library."""

    start: bytes
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def values(self, name: bytes) -> list[bytes]:
        """Return the values of a field, named in lower case."""
        return [value for field, value in self.fields if field == name]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split()[1])


def split(content: bytes) -> Message:
    """Take one message apart; its body is all that follows the head."""
    head, _, body = content.partition(_HEAD_END)
    start, *lines = head.split(b'\r\n')
    fields = []
    for line in lines:
        name, _, value = line.partition(b':')
        fields.append((name.lower(), value.strip(b' \t')))
    return Message(start, tuple(fields), body)


class Peer:
    """A searcher that records requests and sends prepared bytes."""

    def __init__(self) -> None:
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self.name = _SEARCHER
        # Sent in reply to each request.
        self.reply = b''
        # Whether the connection ends after a reply.
        self.ends = False
        self.received: list[bytes] = []
        self.connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no more connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(
                    target=self._serve, args=(accepted,), daemon=True
                ).start()

    def _serve(self, accepted: socket.socket) -> None:
        with accepted, contextlib.suppress(OSError):
            received = b''
            while part := accepted.recv(65_536):
                received += part
                if not _complete(received):
                    continue
                self.received.append(received)
                received = b''
                # Once the reply arrives, the test may prepare the next one.
                reply, ends = self.reply, self.ends
                accepted.sendall(reply)
                if ends:
                    return


def _complete(received: bytes) -> bool:
    """Whether a whole request of the host has arrived."""
    if _HEAD_END not in received:
        return False
    message = split(received)
    (length,) = message.values(b'content-length') or [b'0']
    return len(message.body) >= int(length)


class _Adapter(adapter_module.PlatformAdapter):
    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    def settings(self) -> entry_settings.EntrySettings:
        return settings.load(
            {
                settings.PATH_VARIABLE: str(self._path),
                'CORIANDERPORT_METRICS_PORT': '0',
                'CORIANDERPORT_SHARED_KEYS': 'test-key',
            }
        )

    def settings_fingerprint(self) -> object:
        return None


@attrs.define
class HttpHost:
    """A running host with one searcher."""

    host: entry_host.EntryHost
    searcher: Peer

    def connect(self) -> socket.socket:
        """Open a connection as a caller."""
        return self._connect(0)

    def connect_metrics(self) -> socket.socket:
        """Open a connection to the metrics address."""
        return self._connect(2)

    def call(self, content: bytes, method: bytes = b'GET') -> Message:
        """Send bytes on a new connection and return the response."""
        with self.connect() as caller:
            caller.sendall(content)
            response = Responses(caller).read(method)
        assert response is not None, 'closed without a response'
        return response

    def relay(
        self, request: bytes, reply: bytes, ends: bool = False
    ) -> tuple[Message, list[bytes]]:
        """Return the host's response, and what reached the searcher."""
        self.searcher.reply, self.searcher.ends = reply, ends
        self.searcher.received.clear()
        method = request.lstrip().partition(b' ')[0]
        return self.call(request, method), list(self.searcher.received)

    def count(self, kind: str) -> int:
        """Return how many decisions of a kind were counted."""
        return self.host._metrics.totals().decisions.get(kind, 0)

    def decisions(self) -> str:
        """Return the last decisions, which say why a request failed."""
        recent = self.host._log.recent()[-_SHOWN_DECISIONS:]
        return '; '.join(f'{d.kind} {d.choice}: {d.reason}' for d in recent)

    def _connect(self, number: int) -> socket.socket:
        listeners = self.host._listeners
        listener = (listeners.callers, *listeners._admin)[number]
        host, _, port = listener.address.rpartition(':')
        return socket.create_connection((host, int(port)), LONG_S)


class Responses:
    """Takes the responses on a connection of a caller apart."""

    def __init__(self, caller: socket.socket) -> None:
        self._caller = caller
        self._received = b''

    def read(self, method: bytes = b'GET') -> Message | None:
        """Return the next response; None at the end of the connection."""
        while _HEAD_END not in self._received:
            if not self._receive():
                return None
        message = split(self._received)
        (length,) = message.values(b'content-length') or [b'0']
        bodiless = method == b'HEAD' or message.status in (100, 204, 304)
        size = 0 if bodiless else int(length)
        while len(message.body) < size:
            if not self._receive():
                return None
            message = split(self._received)
        self._received = message.body[size:]
        return attrs.evolve(message, body=message.body[:size])

    def at_end(self) -> bool:
        """Whether the connection ends without any more bytes."""
        return not self._received and not self._receive()

    def _receive(self) -> bool:
        try:
            received = self._caller.recv(65_536)
        except ConnectionError:
            return False
        self._received += received
        return bool(received)


@contextlib.contextmanager
def running(directory: pathlib.Path) -> collections.abc.Iterator[HttpHost]:
    """Run a host whose only route leads to one searcher."""
    with contextlib.ExitStack() as stack:
        store = fakes.Store()
        stack.callback(store.close)
        peer = Peer()
        stack.callback(peer.close)
        store.put(
            f'servers/{peer.name}',
            {**test_documents._SEARCHER, 'backend': 'desk',
             'addr': peer.address, 'warmup_left_ms': 0},
        )  # fmt: skip
        route = {
            **test_documents.ROUTING['routes'][1],
            'split': [{'backend': 'desk', 'weight': 1}],
            'timeout_ms': _TIMEOUT_MS,
        }
        store.put('op/config', {**test_documents.ROUTING, 'routes': [route]})
        path = directory / 'boot.toml'
        path.write_text(
            test_settings.TEXT.replace('127.0.0.1:8229', store.address)
        )
        host = stack.enter_context(
            entry_host.EntryHost.from_adapter(_Adapter(path))
        )
        deadline_s = time.monotonic() + LONG_S
        while not host.ready:
            assert time.monotonic() < deadline_s
            time.sleep(_POLL_INTERVAL_S)
        yield HttpHost(host, peer)
