"""A caller that sends one request after the other."""

import contextlib
import http.client
import random
import selectors
import socket
import threading
import time

import attrs

from . import observations
from ..version import configuration

__all__ = ['Caller', 'Crowd', 'Request', 'SLACK_S', 'send']

# Time after its deadline in which a request has to be answered or closed.
SLACK_S = 10.0
# The load has to leave most of the processor to the hosts.
_INTERVAL_S = 0.06
_BODY_SIZES = (0, 100, 20_000, 60_000)
# Share of requests that are sent on a connection of their own.
_NEW_SHARE = 0.5


@attrs.frozen
class Request:
    """A request before it is sent."""

    request_id: str
    host: int
    path: str
    key: str
    timeout_s: float
    body_bytes: int

    @property
    def content(self) -> bytes:
        """The request as it is sent."""
        head = (
            f'POST {self.path} HTTP/1.1\r\nHost: a.example\r\n'
            f'X-Request-Id: {self.request_id}\r\n'
            f'X-Deadline-Ms: {self.timeout_s * 1e3:.0f}\r\n'
            f'Authorization: Bearer {self.key}\r\n'
            f'Content-Length: {self.body_bytes}\r\n\r\n'
        )
        return head.encode() + bytes(self.body_bytes)


def send(
    connection: socket.socket, request: Request, is_first: bool
) -> observations.Sent:
    """Send a request and wait for its answer or the end of the connection."""
    begin_s = time.monotonic()
    connection.settimeout(request.timeout_s + SLACK_S)
    with contextlib.suppress(OSError):
        # A host that refuses may answer before it has read the request.
        connection.sendall(request.content)
    return _received(connection, request, begin_s, is_first)


def _received(
    connection: socket.socket,
    request: Request,
    begin_s: float,
    is_first: bool,
) -> observations.Sent:
    """Read a response; closes a connection that carries no other one."""
    status, error, body = 0, '', b''
    fields: dict[str, str] = {}
    response = http.client.HTTPResponse(connection)
    try:
        response.begin()
        fields = {n.lower(): v for n, v in response.getheaders()}
        body = response.read()
        status = response.status
    except TimeoutError:
        error = 'timeout'
    except http.client.IncompleteRead:
        error = 'cut'
    except (OSError, http.client.HTTPException) as reason:
        error = f'closed: {type(reason).__name__}'
    if error or fields.get('connection') == 'close':
        connection.close()
    stamps = ('x-response-stamp', 'x-part-stamps')
    return observations.Sent(
        request.request_id,
        request.host,
        request.path,
        request.key,
        begin_s,
        time.monotonic(),
        request.timeout_s,
        is_first,
        status,
        error,
        fields.get('x-request-id', ''),
        ', '.join(fields[name] for name in stamps if name in fields),
        body,
    )


class Caller:
    """Sends requests with one key to one host until it is stopped."""

    def __init__(
        self,
        name: str,
        host: int,
        port: int,
        key: str,
        paths: tuple[str, ...],
        observed: observations.Observations,
        seed: int,
    ) -> None:
        self._name = name
        self._host = host
        self._port = port
        self._key = key
        self._paths = paths
        self._observed = observed
        self._random = random.Random(f'{seed} {name}')
        self._stopped = threading.Event()
        self._task = threading.Thread(target=self._run, daemon=True)
        self._task.start()

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped.set()

    def join(self) -> None:
        """Wait until the last request has ended."""
        self._task.join()

    def _run(self) -> None:
        connection: socket.socket | None = None
        number = 0
        while not self._stopped.wait(_INTERVAL_S):
            number += 1
            request = Request(
                f'{self._name}-{number}',
                self._host,
                self._random.choice(self._paths),
                self._key,
                self._random.choice((0.5, 1.0, 2.0)),
                self._random.choice(_BODY_SIZES),
            )
            if connection is not None and (
                connection.fileno() < 0 or self._random.random() < _NEW_SHARE
            ):
                connection.close()
                connection = None
            is_first = connection is None
            if connection is None:
                try:
                    connection = socket.create_connection(
                        ('127.0.0.1', self._port), SLACK_S
                    )
                except OSError:
                    # The host is not running.
                    continue
            self._observed.sent.append(send(connection, request, is_first))
        if connection is not None:
            connection.close()


# Long enough for a request that waits for a connection to a searcher.
_CROWD_TIMEOUT_S = 1.0
_CONNECT_S = 5.0
# Time for the rest of a response whose first byte has arrived.
_READ_S = 5.0
_Waiting = dict[socket.socket, tuple[Request, float]]


class Crowd:
    """Callers that send a request each and keep their connections open."""

    def __init__(
        self,
        host: int,
        port: int,
        size: int,
        observed: observations.Observations,
    ) -> None:
        self._host = host
        self._port = port
        self._size = size
        self._observed = observed

    def run(self) -> None:
        """Send the requests and wait until all are answered or closed."""
        began_s: _Waiting = {}
        with selectors.DefaultSelector() as selector:
            for number in range(self._size):
                request = Request(
                    f'crowd{self._host}-{number}',
                    self._host,
                    configuration.REPEATED,
                    configuration.KEYS['beta'],
                    _CROWD_TIMEOUT_S,
                    0,
                )
                try:
                    connection = socket.create_connection(
                        ('127.0.0.1', self._port), _CONNECT_S
                    )
                except OSError:
                    # The host is not running, or its backlog is full.
                    continue
                began_s[connection] = (request, time.monotonic())
                with contextlib.suppress(OSError):
                    connection.sendall(request.content)
                selector.register(connection, selectors.EVENT_READ)
            waiting = dict(began_s)
            while waiting:
                for key, _ in selector.select(self._left_s(waiting)):
                    connection = key.fileobj
                    selector.unregister(connection)
                    self._note(connection, *waiting.pop(connection))
                for connection, started in list(waiting.items()):
                    if self._left_s({connection: started}) <= 0:
                        selector.unregister(connection)
                        self._note(connection, *waiting.pop(connection))
        for connection in began_s:
            connection.close()

    def _left_s(self, waiting: _Waiting) -> float:
        """Return the time until the first of the requests is overdue."""
        first_s = min(begin_s for _, begin_s in waiting.values())
        end_s = first_s + _CROWD_TIMEOUT_S + SLACK_S
        return max(0.0, end_s - time.monotonic())

    def _note(
        self, connection: socket.socket, request: Request, begin_s: float
    ) -> None:
        connection.settimeout(_READ_S)
        self._observed.sent.append(
            _received(connection, request, begin_s, is_first=False)
        )
