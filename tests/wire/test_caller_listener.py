"""CallerListener: request parsing, disconnects and graceful shutdown."""

import collections.abc
import concurrent.futures
import contextlib
import errno
import http.client
import socket
import threading
import typing

import attrs
import pytest

from corianderport_testkit.connection import failing_socket
from corianderport_tier import clocks
from corianderport_tier.request import deadlines
from corianderport_tier.version import routes
from corianderport_wire.connection import caller_listener
from corianderport_wire.connection import disconnect_watcher
from corianderport_wire.connection import http_exchange

_CLOCK = clocks.SystemClock()
_LONG_S = 10.0
_LIMITS = routes.CallerLimits(2_000, 1_000, 0.2, 5.0)


def _echo(
    request: caller_listener.ReceivedRequest,
    caller: caller_listener.CallerConnection,
) -> caller_listener.HttpResponse:
    return caller_listener.HttpResponse(
        200, ((b'x-target', request.target),), request.body
    )


@contextlib.contextmanager
def listening(
    serve: caller_listener.RequestHandler = _echo,
    limits: caller_listener.Limits = lambda: _LIMITS,
) -> collections.abc.Iterator[caller_listener.CallerListener]:
    executor = concurrent.futures.ThreadPoolExecutor(16)
    watcher = disconnect_watcher.DisconnectWatcher()
    listener = caller_listener.CallerListener(
        '127.0.0.1:0', serve, limits, watcher, executor, _CLOCK
    )
    executor.submit(watcher.run)
    executor.submit(listener.run)
    try:
        yield listener
    finally:
        listener.stop_accepting()
        listener.close_idle()
        watcher.close()
        executor.shutdown()


def _connect(listener: caller_listener.CallerListener) -> socket.socket:
    host, _, port = listener.address.rpartition(':')
    return socket.create_connection((host, int(port)), _LONG_S)


def connect_client(
    listener: caller_listener.CallerListener,
) -> http.client.HTTPConnection:
    host, _, port = listener.address.rpartition(':')
    return http.client.HTTPConnection(host, int(port), timeout=_LONG_S)


def _status(answer: bytes) -> int:
    return int(answer.split()[1])


def _receive_all(connection: socket.socket) -> bytes:
    received = b''
    while part := connection.recv(65_536):
        received += part
    return received


@pytest.mark.parametrize('chunked', [False, True])
def test_bodies_with_a_length_or_in_chunks(chunked: bool) -> None:
    """Guards against a body that is cut or that runs into the next request.

    The length or the last chunk tells where a body ends; a wrong end breaks
    the second request on the connection.
    """
    with listening() as listener:
        client = connect_client(listener)
        body = iter([b'ab', b'cd']) if chunked else b'abcd'
        for _ in range(2):
            client.request(
                'POST', '/a%2Fb?c=d', body, encode_chunked=chunked,
                headers={'Transfer-Encoding': 'chunked'} if chunked else {},
            )  # fmt: skip
            answer = client.getresponse()
            assert answer.read() == b'abcd'
            assert answer.getheader('x-target') == '/a%2Fb?c=d'
            body = iter([b'ab', b'cd']) if chunked else b'abcd'
        client.close()


def test_requests_in_one_packet_are_answered_in_turn() -> None:
    """Guards against losing a request that arrives with the previous one.

    Both are received by one read; the second one must be served although
    no more bytes arrive.
    """
    one = b'GET /1 HTTP/1.1\r\nhost: a\r\n\r\n'
    two = b'GET /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'
    with listening() as listener, _connect(listener) as caller:
        caller.sendall(one + two)
        answers = _receive_all(caller)
    assert answers.index(b'/1') < answers.index(b'/2')


def test_pipelined_request_is_timed_from_its_first_byte() -> None:
    """Guards against searchers that get more time than the caller has.

    A request that arrived with the one before it was timed from the response
    to that one.
    """
    received_s: list[float] = []
    ended_s: list[float] = []

    def serve(
        request: caller_listener.ReceivedRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse:
        received_s.append(request.received_s)
        ended_s.append(_CLOCK.monotonic())
        return _echo(request, caller)

    one = b'GET /1 HTTP/1.1\r\nhost: a\r\n\r\n'
    two = b'GET /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'
    with listening(serve) as listener, _connect(listener) as caller:
        caller.sendall(one + two)
        _receive_all(caller)
    assert received_s[1] < ended_s[0]


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'GET / HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 2_990
         + b'\r\n\r\n', 431),
        (b'GET /' + b'y' * 3_000, 431),
        (b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n'
         + b'z' * 1_001, 413),
        (b'no request\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nhost:', 408),
        (b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n'
         b'content-length: 4\r\n\r\nabcd', 400),
    ],
)  # fmt: skip
def test_invalid_or_oversized_request_is_rejected(
    sent: bytes, status: int
) -> None:
    """Guards against requests that hold a connection or exhaust memory.

    The request is too large, malformed or never completed. The caller gets
    a status, and the connection is closed.
    """
    with listening() as listener, _connect(listener) as caller:
        caller.sendall(sent)
        assert _status(_receive_all(caller)) == status


@pytest.mark.parametrize(
    'headers', [((b'x-note', b'v '),), ((b'x note', b'v'),)]
)
def test_response_that_cannot_be_sent_is_replaced(
    headers: http_exchange.Headers, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against closing a caller's connection without an answer.

    The connection stays usable, and the log names the reason.
    """
    answers = iter(
        [
            caller_listener.HttpResponse(200, headers, b'body'),
            caller_listener.HttpResponse(200, (), b'next'),
        ]
    )
    with listening(lambda request, caller: next(answers)) as listener:
        client = connect_client(listener)
        client.request('GET', '/x')
        response = client.getresponse()
        assert (response.status, response.read()) == (502, b'')
        client.request('GET', '/x')
        assert client.getresponse().read() == b'next'
        client.close()
    assert 'cannot be passed on' in caplog.text


def test_disconnect_is_detected_while_request_runs() -> None:
    """Guards against searchers that work on for a disconnected caller.

    The task of the connection waits for searchers and does not read the
    socket, so that it does not notice the disconnect by itself.
    """
    disconnected = threading.Event()

    def serve(
        request: caller_listener.ReceivedRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse | None:
        with caller.watch(disconnected.set):
            running.set()
            assert disconnected.wait(_LONG_S)
        return None

    running = threading.Event()
    with listening(serve) as listener:
        caller = _connect(listener)
        caller.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        assert running.wait(_LONG_S)
        caller.close()
        assert disconnected.wait(_LONG_S)


def test_request_is_timed_from_its_first_byte_to_the_sent_response() -> None:
    """Guards against taking the time of reading and writing for none.

    Callers count the deadline and the latency from when they began to send.
    """
    events: list[str] = []
    received_s: list[float] = []

    def serve(
        request: caller_listener.ReceivedRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse:
        events.append('served')
        received_s.append(request.received_s)
        caller.call_when_sent(lambda: events.append('sent'))
        return caller_listener.HttpResponse(200, (), b'')

    with listening(serve) as listener:
        caller = _connect(listener)
        caller.sendall(
            b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n'
            b'expect: 100-continue\r\n\r\n'
        )
        assert _status(caller.recv(65_536)) == 100
        body_s = _CLOCK.monotonic()
        caller.sendall(b'x')
        assert _status(caller.recv(65_536)) == 200
        caller.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        assert _status(caller.recv(65_536)) == 200
        caller.close()
    assert events == 2 * ['served', 'sent']
    assert received_s[0] <= body_s <= received_s[1]


def test_stop_answers_what_runs_and_closes_what_is_idle() -> None:
    """Guards against a shutdown that cuts requests or waits for idle callers.

    One connection has a request in progress; the other one is idle, and its
    caller would keep it open.
    """
    running = threading.Event()
    release = threading.Event()

    def serve(
        request: caller_listener.ReceivedRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse | None:
        if request.target == b'/slow':
            running.set()
            release.wait(_LONG_S)
        return caller_listener.HttpResponse(200, (), b'done')

    with listening(serve) as listener:
        busy, idle = connect_client(listener), connect_client(listener)
        idle.request('GET', '/fast')
        assert idle.getresponse().read() == b'done'
        busy.request('GET', '/slow')
        assert running.wait(_LONG_S)
        listener.closing = True
        listener.stop_accepting()
        listener.close_idle()
        assert idle.sock.recv(1) == b''
        release.set()
        answer = busy.getresponse()
        assert answer.read() == b'done'
        assert answer.getheader('connection') == 'close'
        deadline = deadlines.Deadline.after(_CLOCK, _LONG_S)
        assert listener.await_closed(deadline)
        idle.close()


def test_idle_connection_is_kept_while_the_listener_closes() -> None:
    """Guards against resetting a request sent during the shutdown.

    A caller may use an idle connection until a response tells it that the
    host closes the connection.
    """
    with listening() as listener:
        client = connect_client(listener)
        client.request('GET', '/1')
        client.getresponse().read()
        listener.closing = True
        client.request('GET', '/2')
        answer = client.getresponse()
        assert answer.status == 200
        assert answer.getheader('connection') == 'close'
        client.close()


def test_limits_in_force_at_the_first_byte_apply() -> None:
    """Guards against judging a request by limits of an older configuration.

    The connection was idle when the configuration changed, in one direction
    and in the other.
    """
    current = _LIMITS
    with listening(limits=lambda: current) as listener:
        client = connect_client(listener)
        for body_bytes, size, status in (
            (1_000, 1_000, 200),
            (2_500, 2_500, 200),
            (1_000, 1_001, 413),
        ):
            current = attrs.evolve(_LIMITS, body_bytes=body_bytes)
            client.request('POST', '/x', b'z' * size)
            answer = client.getresponse()
            answer.read()
            assert answer.status == status
        client.close()


def test_failed_accept_does_not_end_the_listener() -> None:
    """Guards against refusing callers after one failed accept.

    Accepting fails while the process has no free file descriptor, and when
    a caller closes its connection before it is accepted.
    """
    with listening() as listener:
        # The accept call in progress uses the real socket; the failures
        # start after the first connection.
        failing = failing_socket.FailingSocket(
            listener._acceptor._listener,
            [
                OSError(errno.EMFILE, 'too many open files'),
                OSError(errno.ECONNABORTED, 'connection aborted'),
            ],
        )
        listener._acceptor._listener = typing.cast(socket.socket, failing)
        for _ in range(2):
            client = connect_client(listener)
            client.request('GET', '/x')
            assert client.getresponse().status == 200
            client.close()
        assert failing.failures == []
