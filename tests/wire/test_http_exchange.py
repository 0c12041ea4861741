"""HttpExchange: surplus bytes and connections that are closed."""

import collections.abc
import contextlib
import select
import socket
import struct
import threading
import tracemalloc

import attrs
import pytest

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import deadlines
from corianderport_wire.connection import http_exchange

_CLOCK = clocks.SystemClock()
_LONG_S = 10.0
_REQUEST = http_exchange.HttpRequest(
    b'GET', b'/x', ((b'host', b'a.example'), (b'x-id', b'q1')), b''
)
_OK = b'HTTP/1.1 200 OK\r\nx-id: q1\r\ncontent-length: 2\r\n\r\nok'
_UNMATCHED = b'HTTP/1.1 200 OK\r\nx-id: q0\r\ncontent-length: 3\r\n\r\nold'
_LINGER_RESET = struct.pack('ii', 1, 0)

Script = collections.abc.Callable[[socket.socket], None]


def _matches(reply: http_exchange.HttpReply) -> bool:
    return reply.header(b'x-id') in (b'q1', None)


@contextlib.contextmanager
def _server(script: Script) -> collections.abc.Iterator[str]:
    """Serve one connection with a script, on a thread."""
    listener = socket.create_server(('127.0.0.1', 0))

    def run() -> None:
        accepted, _ = listener.accept()
        # Closing a socket with unread bytes resets the connection.
        with accepted, contextlib.suppress(ConnectionResetError):
            script(accepted)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        host, port = listener.getsockname()
        yield f'{host}:{port}'
    finally:
        thread.join(_LONG_S)
        listener.close()


@contextlib.contextmanager
def _exchange(
    script: Script,
) -> collections.abc.Iterator[http_exchange.HttpExchange]:
    with _server(script) as address:
        exchange = http_exchange.HttpExchange(
            http_exchange.connect(address, _LONG_S), _CLOCK
        )
        try:
            yield exchange
        finally:
            exchange.close()


def _send(
    exchange: http_exchange.HttpExchange, seconds: float = _LONG_S
) -> http_exchange.HttpReply:
    deadline = deadlines.Deadline.after(_CLOCK, seconds)
    return exchange.exchange(_REQUEST, deadline, _matches)


def _until(ended: threading.Event) -> Script:
    def script(connection: socket.socket) -> None:
        ended.wait(_LONG_S)

    return script


def _answering(*answers: bytes) -> Script:
    def script(accepted: socket.socket) -> None:
        for answer in answers:
            if not accepted.recv(65_536):
                return
            accepted.sendall(answer)
        accepted.recv(65_536)

    return script


def _reset(accepted: socket.socket) -> None:
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    accepted.close()


def test_connection_is_reused() -> None:
    """Guards against discarding a connection after a complete response.

    Connecting for each request would cost a round trip.
    """
    with _exchange(_answering(_OK, _OK)) as exchange:
        assert _send(exchange).body == b'ok'
        assert _send(exchange).body == b'ok'


@pytest.mark.parametrize(
    'answer',
    [
        _OK + b'more',
        _OK + _UNMATCHED,
        _OK.replace(b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n'),
        _OK.replace(b'\r\n\r\n', b'\r\nkeep-alive: timeout=0\r\n\r\n'),
    ],
)
def test_unusable_connection_sends_nothing(
    answer: bytes,
) -> None:
    """Guards against sending on a connection that cannot be reused.

    The server has sent surplus bytes, announced that it closes the
    connection, or limited the idle time to zero.
    """
    with _exchange(_answering(answer)) as exchange:
        assert _send(exchange).body == b'ok'
        with pytest.raises(errors.ConnectionStale):
            _send(exchange)


def test_answer_to_an_earlier_request_is_passed_over() -> None:
    """Guards against an earlier response taken for the current one.

    A second response to an earlier request may arrive after the current
    request was sent.
    """
    with _exchange(_answering(_UNMATCHED + _OK)) as exchange:
        assert _send(exchange).body == b'ok'


def test_second_answer_that_arrives_between_requests_is_noticed() -> None:
    """Guards against a late second response taken for the next one.

    The server responds twice; the second response is not yet read when the
    next request is about to be sent.
    """
    sent = threading.Event()

    def script(accepted: socket.socket) -> None:
        accepted.recv(65_536)
        accepted.sendall(_OK)
        accepted.sendall(_UNMATCHED)
        sent.set()
        accepted.recv(65_536)

    with _exchange(script) as exchange:
        assert _send(exchange).body == b'ok'
        assert sent.wait(_LONG_S)
        with pytest.raises(errors.ConnectionStale):
            _send(exchange)


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\nx-id: q1\r\ncontent-length: 9\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nx-id: q1\r\ntransfer-encoding: chunked\r\n\r\n2'
        b'\r\nok\r\n',
        b'HTTP/1.1 200',
        b'',
        b'\x00\x01\x02 no answer\r\n\r\n',
        _UNMATCHED,
    ],
)
def test_answer_that_ends_early_is_no_answer(answer: bytes) -> None:
    """Guards against reporting a partial response as complete.

    The server closes the connection before it has sent a complete and valid
    response to the request.
    """

    def script(accepted: socket.socket) -> None:
        accepted.recv(65_536)
        accepted.sendall(answer)

    with _exchange(script) as exchange:
        with pytest.raises(errors.ConnectionBroken):
            _send(exchange)


_UNFRAMED = b'HTTP/1.1 200 OK\r\nx-id: q1\r\n\r\nall of it'


def test_response_without_length_ends_with_connection() -> None:
    """Guards against rejecting a complete response that has no length.

    Only the end of the stream tells where its body ends.
    """

    def script(accepted: socket.socket) -> None:
        accepted.recv(65_536)
        accepted.sendall(_UNFRAMED)

    with _exchange(script) as exchange:
        assert _send(exchange).body == b'all of it'


def test_response_without_length_is_incomplete_after_reset() -> None:
    """Guards against reporting a partial response as complete.

    The response has no length, so that only the reset tells that a part may
    be missing.
    """
    received = threading.Event()

    def script(accepted: socket.socket) -> None:
        accepted.recv(65_536)
        accepted.sendall(_UNFRAMED)
        received.wait(_LONG_S)
        _reset(accepted)

    with _exchange(script) as exchange:
        received.set()
        with pytest.raises(errors.ConnectionBroken):
            _send(exchange)


def test_silent_server_ends_at_the_deadline() -> None:
    """Guards against waiting for a response beyond the deadline.

    The server reads the request, sends nothing and keeps the connection.
    """
    done = threading.Event()

    def script(accepted: socket.socket) -> None:
        accepted.recv(65_536)
        done.wait(_LONG_S)

    with _exchange(script) as exchange:
        with pytest.raises(errors.ConnectionSilent):
            _send(exchange, 0.05)
        done.set()


def test_connection_closed_while_idle_is_detected_before_sending() -> None:
    """Guards against sending on a connection that the server has closed.

    Once a request is sent, a closed connection no longer shows whether the
    request has run.
    """
    with _exchange(lambda accepted: None) as exchange:
        # The socket becomes readable when the server has closed it.
        select.select([exchange._socket], (), (), _LONG_S)
        with pytest.raises(errors.ConnectionStale):
            _send(exchange)


def test_abort_ends_an_exchange() -> None:
    """Guards against a task that stays blocked after an abort.

    The server has read the request and sends nothing; another task aborts
    the exchange.
    """
    received = threading.Event()

    def script(accepted: socket.socket) -> None:
        accepted.recv(65_536)
        received.set()
        accepted.recv(65_536)

    with _exchange(script) as exchange:

        def abort() -> None:
            received.wait(_LONG_S)
            exchange.abort()

        threading.Thread(target=abort, daemon=True).start()
        with pytest.raises(errors.ConnectionBroken):
            _send(exchange)


def test_refused_connection() -> None:
    """Guards against 'outcome unknown' when nothing was sent.

    No process listens on the address.
    """
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
    with pytest.raises(errors.ConnectFailed):
        http_exchange.connect(f'{host}:{port}', _LONG_S)


def test_one_task_sends_while_another_waits_for_the_reply() -> None:
    """Guards against a check before sending that disturbs the waiting task.

    A poll object raises an error if two tasks use it at the same time.
    """
    with _exchange(_answering(_OK, _OK)) as exchange:
        _send(exchange)
        readable: list[bool] = []
        waiting = threading.Thread(
            target=lambda: readable.append(exchange.await_readable(_LONG_S))
        )
        waiting.start()
        deadline = deadlines.Deadline.after(_CLOCK, _LONG_S)
        exchange.send(_REQUEST, deadline)
        waiting.join(_LONG_S)
        assert readable == [True]
        assert exchange.receive(deadline, _matches).body == b'ok'


def test_abort_wakes_the_task_that_waits_for_bytes() -> None:
    """Guards against an idle connection whose task can't be ended."""
    with _exchange(_answering(_OK)) as exchange:
        _send(exchange)
        readable: list[bool] = []
        waiting = threading.Thread(
            target=lambda: readable.append(exchange.await_readable(_LONG_S))
        )
        waiting.start()
        exchange.abort()
        waiting.join(_LONG_S)
        assert readable == [True]


def test_no_bytes_in_time() -> None:
    """Guards against an idle connection that is never closed."""
    with _exchange(_answering(_OK)) as exchange:
        _send(exchange)
        assert not exchange.await_readable(0.01)


def test_body_is_not_copied_while_the_server_does_not_read() -> None:
    """Guards against a copy of the body for each send that waits.

    The caller is charged for its body once, and a gather sends dozens.
    """
    body = bytes(16_000_000)
    request = attrs.evolve(_REQUEST, method=b'POST', body=body)
    ended = threading.Event()
    with _exchange(_until(ended)) as exchange:
        deadline = deadlines.Deadline.after(_CLOCK, 0.3)
        tracemalloc.start()
        try:
            with pytest.raises(errors.ConnectionSilent):
                exchange.send(request, deadline)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            ended.set()
    assert peak_bytes < len(body) / 10


def test_large_body_arrives_in_order() -> None:
    """Guards against parts that are lost or repeated by partial writes."""
    body = bytes(range(256)) * 20_000
    request = attrs.evolve(_REQUEST, method=b'POST', body=body)
    received = bytearray()

    def script(connection: socket.socket) -> None:
        connection.settimeout(_LONG_S)
        while not received.endswith(body):
            content = connection.recv(30_000)
            if not content:
                return
            received.extend(content)
        connection.sendall(_OK)

    with _exchange(script) as exchange:
        deadline = deadlines.Deadline.after(_CLOCK, _LONG_S)
        assert exchange.exchange(request, deadline, _matches).status == 200
    head = b'POST /x HTTP/1.1\r\nhost: a.example\r\nx-id: q1\r\n\r\n'
    assert bytes(received) == head + body
