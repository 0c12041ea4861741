"""A host whose gathers reach searchers that send bytes without end."""

import collections.abc
import contextlib
import pathlib
import socket
import threading
import time
import typing

import attrs

from . import crowd_caller
from . import limited_host
from . import raw_searcher
from . import store_double

__all__ = ['Flood', 'FloodedHost', 'Trickle', 'flooded_host']

# Guards against hanging; no verdict depends on a shorter time.
_LONG_S = 20.0
_POLL_INTERVAL_S = 0.02
_SAMPLE_INTERVAL_S = 0.01
_ESTABLISHED = '01'
_CALM = 'calm'
_SEARCHERS_PER_SERVICE = 2


@attrs.frozen
class Flood:
    """Sends a start and then a piece again and again, as fast as it can."""

    start: bytes
    piece: bytes

    def send(
        self,
        connection: socket.socket,
        request_id: bytes,
        stopped: threading.Event,
    ) -> None:
        """Send until the host closes the connection."""
        connection.sendall(self.start.replace(b'ID', request_id))
        piece = self.piece * max(1, 65_536 // len(self.piece))
        while not stopped.is_set():
            connection.sendall(piece)


@attrs.frozen
class Trickle:
    """Sends a start and then a piece at intervals."""

    start: bytes
    piece: bytes
    interval_s: float

    def send(
        self,
        connection: socket.socket,
        request_id: bytes,
        stopped: threading.Event,
    ) -> None:
        """Send until the host closes the connection."""
        connection.sendall(self.start.replace(b'ID', request_id))
        while not stopped.wait(self.interval_s):
            connection.sendall(self.piece)


class FloodedHost:
    """A host process, and the bytes that wait in its sockets."""

    def __init__(
        self, host: limited_host.LimitedHost, ports: frozenset[int]
    ) -> None:
        self.host = host
        self._ports = ports
        self.max_unread_mb = 0.0
        self._stopped = threading.Event()
        self._sampler = threading.Thread(target=self._sample, daemon=True)
        self._sampler.start()

    def close(self) -> None:
        """Stop sampling."""
        self._stopped.set()
        self._sampler.join(_LONG_S)

    def _sample(self) -> None:
        while not self._stopped.wait(_SAMPLE_INTERVAL_S):
            unread = _unread_bytes(self._ports) / 1e6
            self.max_unread_mb = max(self.max_unread_mb, unread)


def _unread_bytes(ports: frozenset[int]) -> int:
    """Return the received bytes that connections to some ports hold."""
    total = 0
    lines = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    for fields in map(str.split, lines):
        port = int(fields[2].rpartition(':')[2], 16)
        if fields[3] == _ESTABLISHED and port in ports:
            total += int(fields[4].split(':')[1], 16)
    return total


def _routing(services: collections.abc.Sequence[str]) -> dict[str, typing.Any]:
    """Return a configuration with a gather and a route of one service."""
    common = {
        'host': 'a.example',
        'kind': 'idempotent',
        'timeout_ms': 2_000,
        'goal_ms': 200,
        'attempts': 2,
    }
    return {
        'version': 7,
        'backends': [
            {
                'name': name,
                'health_path': '/healthz',
                'max_conns': 125,
                'proto': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'routes': [
            {
                **common,
                'name': 'sweep',
                'prefix': '/sweep/',
                'priority': 1,
                'gather': list(services),
                'top_k': 50,
                'min_shard_ratio': 0.95,
            },
            {
                **common,
                'name': _CALM,
                'prefix': f'/{_CALM}/',
                'priority': 0,
                'backend': _CALM,
            },
        ],
        'limits': {
            'max_header_bytes': crowd_caller.HEAD_BYTES,
            'max_body_bytes': crowd_caller.BODY_BYTES,
            'header_timeout_ms': 3_000,
            'idle_timeout_ms': 15_000,
        },
    }


@contextlib.contextmanager
def flooded_host(
    directory: pathlib.Path,
    answer: raw_searcher.Answer,
    machine: limited_host.Machine,
    services: int,
) -> collections.abc.Iterator[FloodedHost]:
    """Start a host whose gathers all reach searchers with one answer."""
    names = [f's{n:02}' for n in range(services)]
    with contextlib.ExitStack() as stack:
        store = store_double.Store()
        stack.callback(store.close)
        flooding: set[int] = set()
        searchers = [(_CALM, raw_searcher.PlainAnswer(b'0123456789abcdef'))]
        answers: list[tuple[str, raw_searcher.Answer]] = [
            *searchers,
            *((name, answer) for name in names * _SEARCHERS_PER_SERVICE),
        ]
        for number, (service, chosen) in enumerate(answers):
            searcher = raw_searcher.RawSearcher(chosen)
            stack.callback(searcher.close)
            if service != _CALM:
                flooding.add(int(searcher.address.rpartition(':')[2]))
            store.put(
                f'servers/i-{number}',
                {
                    'backend': service,
                    'addr': searcher.address,
                    'zone': 'west-a',
                    'version': 'v1',
                    'capacity': 25,
                    'state': 'ready',
                    'warmup_left_ms': 0,
                    'call_seq': 1,
                    'born': 1,
                },
            )
        store.put('op/config', _routing(names))
        host = limited_host.LimitedHost(
            directory / 'boot.toml', store.address, machine
        )
        stack.callback(host.close)
        deadline_s = time.monotonic() + _LONG_S
        while not host.is_ready():
            assert host.alive, ''.join(host.lines)
            assert time.monotonic() < deadline_s, ''.join(host.lines)
            time.sleep(_POLL_INTERVAL_S)
        flooded = FloodedHost(host, frozenset(flooding))
        stack.callback(flooded.close)
        yield flooded
