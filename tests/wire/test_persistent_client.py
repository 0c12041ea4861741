"""PersistentClient: lost connections and responses that end early."""

import collections.abc
import contextlib
import errno
import itertools
import socket
import threading
import typing

import pytest

from corianderport_testkit import clock as manual
from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_wire.connection import http_exchange
from corianderport_wire.connection import persistent_client

_CLOCK = clocks.SystemClock()
_LONG_S = 10.0
_SHORT_S = 0.2
_HEAD = (
    b'HTTP/1.1 100 Continue\r\n\r\n'
    b'HTTP/1.1 200 OK\r\nX-Id: q1\r\nContent-Length: 2\r\n\r\n'
)
_OK = _HEAD + b'ok'

# What one connection sends after each request; then it is closed.
Replies = collections.abc.Iterable[bytes]


class _Server:
    """Serves scripted connections one after the other.

    :param held: the number of connections that stay open at their end.
    """

    def __init__(
        self, connections: collections.abc.Sequence[Replies], held: int = 0
    ) -> None:
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self.requests: list[bytes] = []
        self._held = held
        self._stack = contextlib.ExitStack()
        self._thread = threading.Thread(
            target=self._run, args=(connections,), daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        self._thread.join(_LONG_S)
        self._stack.close()
        self._listener.close()

    def _run(self, connections: collections.abc.Sequence[Replies]) -> None:
        for number, replies in enumerate(connections):
            accepted, _ = self._listener.accept()
            with contextlib.ExitStack() as ended:
                (self._stack if number < self._held else ended).enter_context(
                    accepted
                )
                with contextlib.suppress(OSError):
                    for reply in replies:
                        request = accepted.recv(65_536)
                        if not request:
                            break
                        self.requests.append(request)
                        accepted.sendall(reply)


@contextlib.contextmanager
def _client(
    connections: collections.abc.Sequence[Replies],
    held: int = 0,
    clock: clocks.Clock = _CLOCK,
) -> collections.abc.Iterator[
    tuple[persistent_client.PersistentClient, _Server]
]:
    server = _Server(connections, held)
    client = persistent_client.PersistentClient(server.address, _LONG_S, clock)
    try:
        yield client, server
    finally:
        client.close()
        server.close()


def test_complete_responses_on_one_connection() -> None:
    """Guards against connecting for each call, which costs a round trip."""
    with _client([[_OK, _OK]]) as (client, server):
        for target in ('/a?b=c', '/d'):
            reply = client.get(target, _LONG_S)
            assert (reply.status, reply.body) == (200, b'ok')
        first, second = server.requests
    host = b'\r\nhost: ' + server.address.encode() + b'\r\n'
    assert first.startswith(b'GET /a?b=c HTTP/1.1\r\n') and host in first
    assert second.startswith(b'GET /d HTTP/1.1\r\n')


@pytest.mark.parametrize('length', range(len(_HEAD) + 2))
def test_response_that_ends_early_is_not_a_response(length: int) -> None:
    """Guards against a truncated list that passes for all entries."""
    with _client([[_OK[:length]]]) as (client, _):
        with pytest.raises(errors.ConnectionBroken) as raised:
            client.get('/', _LONG_S)
        assert raised.value.fresh


@pytest.mark.parametrize(
    ('start', 'piece'),
    [
        (b'HTTP/1.1 200 OK\r\n', b'x-a: b\r\n'),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (b'HTTP/1.1 200 OK\r\n\r\n', bytes(65_536)),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
            b'1\r\nx\r\n',
        ),
    ],
)
def test_response_without_end_is_bounded(start: bytes, piece: bytes) -> None:
    """Guards against a server whose bytes end only with the deadline."""
    sent = start + b''.join(
        itertools.repeat(piece, 24 * 1024 * 1024 // len(piece))
    )
    with _client([[sent]]) as (client, _):
        with pytest.raises(errors.ConnectionBroken):
            client.get('/', _LONG_S)


def test_response_above_the_limit_is_reported_as_too_large() -> None:
    """Guards against reading a response again that can never arrive whole."""
    size = 17 * 1024 * 1024
    reply = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % size
    with _client([[reply + bytes(size)]]) as (client, _):
        with pytest.raises(errors.ReplyTooLarge):
            client.get('/', _LONG_S)


@pytest.mark.parametrize('end', [[_OK], [_OK, b'']])
def test_call_is_repeated_if_the_idle_connection_has_ended(
    end: Replies,
) -> None:
    """Guards against a failed call for each restart of the server.

    The server closes the connection after its response, or when the next
    request has arrived.
    """
    with _client([end, [_OK]]) as (client, _):
        for _ in range(2):
            assert client.get('/', _LONG_S).body == b'ok'


def test_call_with_a_part_of_a_response_is_not_repeated() -> None:
    """Guards against reading a failing server twice for each call."""
    with _client([[_OK, _HEAD]]) as (client, server):
        client.get('/', _LONG_S)
        with pytest.raises(errors.ConnectionBroken) as raised:
            client.get('/', _LONG_S)
        assert not raised.value.fresh
        assert len(server.requests) == 2


def test_call_is_repeated_once() -> None:
    """Guards against a server that ends each connection being called on."""
    with _client([[_OK, b''], [b'']]) as (client, server):
        client.get('/', _LONG_S)
        with pytest.raises(errors.ConnectionBroken) as raised:
            client.get('/', _LONG_S)
        assert raised.value.fresh
        assert len(server.requests) == 3


@pytest.mark.parametrize(
    ('reply', 'kind'),
    [
        (b'', errors.ConnectionSilent),
        (_HEAD[:30], errors.ReplyIncomplete),
        (_HEAD + b'o', errors.ReplyIncomplete),
    ],
)
def test_late_response_belongs_to_no_other_call(
    reply: bytes, kind: type[errors.TransportError]
) -> None:
    """Guards against the rest of a response that answers the next call.

    The connection stays open, so that the rest could still arrive.
    """
    with _client([[reply], [_OK]], held=1) as (client, _):
        with pytest.raises(errors.ConnectionSilent) as raised:
            client.get('/', _SHORT_S)
        assert type(raised.value) is kind
        assert client.get('/', _LONG_S).body == b'ok'


def test_error_tells_whether_the_connection_was_new() -> None:
    """Guards against a lost connection that passes for a failed server.

    The server answers once and is silent from then on; at last it is gone.
    """
    with _client([[_OK, b''], [b'']], held=2) as (client, server):
        client.get('/', _LONG_S)
        failures = []
        for _ in range(2):
            with pytest.raises(errors.ConnectionSilent) as silent:
                client.get('/', _SHORT_S)
            failures.append(silent.value.fresh)
        server.close()
        with pytest.raises(errors.ConnectFailed) as refused:
            client.get('/', _LONG_S)
    assert [*failures, refused.value.fresh] == [False, True, True]


class _UnacknowledgedSocket:
    """A connection that the kernel ends in its second response."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._received = False

    def recv(self, size: int) -> bytes:
        if self._received:
            raise OSError(errno.ETIMEDOUT, 'connection timed out')
        received = self._connection.recv(size)
        self._received = True
        return received

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._connection, name)


def test_call_is_repeated_if_its_bytes_were_not_acknowledged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against losing the rest of the time to a silent connection.

    The kernel ends it two seconds after a byte that is not acknowledged, and
    reports the same kind of error as a call that has reached its deadline.
    """
    opened: list[object] = []

    def connect(address: str, timeout_s: float) -> object:
        connection = real_connect(address, timeout_s)
        opened.append(connection)
        is_first = len(opened) == 1
        return _UnacknowledgedSocket(connection) if is_first else connection

    real_connect = http_exchange.connect
    monkeypatch.setattr(http_exchange, 'connect', connect)
    with _client([[_OK, _OK], [_OK]]) as (client, _):
        for _ in range(2):
            assert client.get('/', _LONG_S).body == b'ok'
    assert len(opened) == 2


def test_connection_that_idled_long_is_not_used() -> None:
    """Guards against a wait for a server that has forgotten the connection.

    A firewall may drop the packets of a connection that was idle for long.
    """
    clock = manual.ManualClock()
    with _client([[_OK, b''], [_OK]], held=1, clock=clock) as (client, server):
        client.get('/', _LONG_S)
        clock.advance(31.0)
        assert client.get('/', _LONG_S).body == b'ok'
        assert len(server.requests) == 2
