"""Loads of callers that the benchmark runs in processes of their own.

Crowds and ordinary callers in one process would wait for each other.
"""

import collections.abc
import concurrent.futures
import contextlib
import http.client
import socket
import threading
import time
import typing

import attrs

from . import crowd_caller
from . import crowd_rows
from . import crowds

__all__ = [
    'Signals',
    'Latencies',
    'run_crowd',
    'send_kept_alive',
    'send_ordinary',
]

_LONG_S = 20.0
_ORDINARY_CALLERS = 4
_ORDINARY_RATE_S = 25.0
_KEPT_ALIVE_TASKS = 8
_KEPT_ALIVE_RATE_S = 200.0
_CALM_PATH = '/calm/x'


class Signals(typing.Protocol):
    """Event that two processes share."""

    def set(self) -> None:
        """Set the event."""

    def wait(self, timeout: float | None = None) -> bool:
        """Wait for the event."""


@attrs.frozen
class Latencies:
    """Times of the served requests, and the number of all others."""

    served_ms: tuple[float, ...]
    failed: int

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the times; infinite without any."""
        if not self.served_ms:
            return float('inf')
        ordered = sorted(self.served_ms)
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]

    @classmethod
    def joined(
        cls, parts: collections.abc.Iterable['Latencies']
    ) -> typing.Self:
        """Return the times of several tasks together."""
        served_ms: list[float] = []
        failed = 0
        for part in parts:
            served_ms.extend(part.served_ms)
            failed += part.failed
        return cls(tuple(served_ms), failed)


def run_crowd(
    port: int, path: str, row_name: str, connections: int, ended: Signals
) -> None:
    """Run a crowd until an event is set."""
    [row] = [row for row in crowd_rows.ROWS if row.name == row_name]
    with crowds.Crowd(
        port, path, row.behaviours, connections, row.receive_bytes
    ):
        ended.wait()


def send_ordinary(port: int, seconds: float) -> Latencies:
    """Send requests of ordinary callers on connections that stay open."""
    with concurrent.futures.ThreadPoolExecutor(_ORDINARY_CALLERS) as executor:
        sent = [
            executor.submit(_send_ordinary, port, seconds)
            for _ in range(_ORDINARY_CALLERS)
        ]
    return Latencies.joined(future.result() for future in sent)


def send_kept_alive(
    port: int,
    connections: int,
    seconds: float,
    connected: Signals,
    start: Signals,
) -> Latencies:
    """Open connections, then use all of them in turn.

    :param connected: set when all are open.
    :param start: the requests begin when it is set.
    """
    with contextlib.ExitStack() as stack:
        opened = []
        for _ in range(connections):
            connection = socket.create_connection(('127.0.0.1', port), _LONG_S)
            stack.enter_context(connection)
            opened.append(connection)
        connected.set()
        start.wait()
        with concurrent.futures.ThreadPoolExecutor(
            _KEPT_ALIVE_TASKS
        ) as executor:
            sent = [
                executor.submit(
                    _use_in_turn, opened[task::_KEPT_ALIVE_TASKS], seconds
                )
                for task in range(_KEPT_ALIVE_TASKS)
            ]
    return Latencies.joined(future.result() for future in sent)


def _pace(rate_s: float, seconds: float) -> collections.abc.Iterator[None]:
    """Wait until each time of a regular schedule."""
    started_s = time.monotonic()
    pause = threading.Event()
    for number in range(int(rate_s * seconds)):
        left_s = started_s + number / rate_s - time.monotonic()
        if left_s > 0:
            pause.wait(left_s)
        if time.monotonic() - started_s > 2 * seconds:
            # The requests take longer than the load is to last.
            return
        yield


def _send_ordinary(port: int, seconds: float) -> Latencies:
    served_ms = []
    failed = 0
    headers = {
        'Host': 'a.example',
        'X-Request-Id': 'ordinary',
        'X-Deadline-Ms': '10000',
    }
    client = http.client.HTTPConnection('127.0.0.1', port, timeout=_LONG_S)
    for _ in _pace(_ORDINARY_RATE_S, seconds):
        begun_s = time.monotonic()
        try:
            client.request('POST', _CALM_PATH, b'query', headers)
            response = client.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            status = 0
            client.close()
        if status == http.HTTPStatus.OK:
            served_ms.append((time.monotonic() - begun_s) * 1e3)
        else:
            failed += 1
    client.close()
    return Latencies(tuple(served_ms), failed)


def _use_in_turn(
    connections: list[socket.socket], seconds: float
) -> Latencies:
    served_ms = []
    failed = 0
    rate_s = _KEPT_ALIVE_RATE_S / _KEPT_ALIVE_TASKS
    request = crowd_caller.request_head(_CALM_PATH, method='GET')
    for number, _ in enumerate(_pace(rate_s, seconds)):
        connection = connections[number % len(connections)]
        begun_s = time.monotonic()
        try:
            connection.sendall(request)
            served = connection.recv(65_536).startswith(b'HTTP/1.1 200')
        except OSError:
            served = False
        if served:
            served_ms.append((time.monotonic() - begun_s) * 1e3)
        else:
            failed += 1
    return Latencies(tuple(served_ms), failed)
