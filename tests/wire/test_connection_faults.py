"""Unexpected errors on connections: each is counted, logged and answered."""

import collections.abc
import concurrent.futures
import contextlib
import socket
import threading
import typing

import h11
import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import clocks
from corianderport_tier.process import decision_log
from corianderport_tier.process import limit_events
from corianderport_tier.process import metrics
from corianderport_wire.connection import acceptor
from corianderport_wire.connection import caller_listener
from corianderport_wire.connection import disconnect_watcher
from corianderport_wire.connection import peer_authentication
from corianderport_wire.connection import peer_calls
from corianderport_wire.connection import peer_server

_CLOCK = clocks.SystemClock()
_LONG_S = 10.0
_GET = b'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'


class _Counts:
    """Events on simulated time, and how often each was counted."""

    def __init__(self) -> None:
        self._metrics = metrics.Metrics()
        self.events = limit_events.LimitEvents(
            decision_log.DecisionLog(observer=self._metrics),
            clock_module.ManualClock(),
        )

    def of(self, event: str) -> int:
        return self._metrics.totals().decisions.get(event, 0)


@pytest.fixture
def counts() -> _Counts:
    return _Counts()


def _warnings(caplog: pytest.LogCaptureFixture, event: str) -> int:
    return sum(
        record.levelname == 'WARNING' and record.getMessage().startswith(event)
        for record in caplog.records
    )


def _serve_ok(
    request: caller_listener.ReceivedRequest,
    caller: caller_listener.CallerConnection,
) -> caller_listener.HttpResponse:
    return caller_listener.HttpResponse(200, (), b'ok')


class _WithoutThreads(concurrent.futures.ThreadPoolExecutor):
    """Starts the tasks of a listener, and none for connections."""

    def submit(
        self, fn: typing.Any, /, *args: typing.Any, **kwargs: typing.Any
    ) -> concurrent.futures.Future[typing.Any]:
        if args:
            raise RuntimeError("can't start new thread")
        return super().submit(fn, *args, **kwargs)


@contextlib.contextmanager
def _listening(
    counts: _Counts,
    serve: caller_listener.RequestHandler = _serve_ok,
    executor_class: type[
        concurrent.futures.ThreadPoolExecutor
    ] = concurrent.futures.ThreadPoolExecutor,
) -> collections.abc.Iterator[collections.abc.Callable[[], bytes]]:
    """Yield a function that sends a request and returns all that follows."""
    executor = executor_class(8)
    watcher = disconnect_watcher.DisconnectWatcher()
    listener = caller_listener.CallerListener(
        '127.0.0.1:0',
        serve,
        lambda: None,
        watcher,
        executor,
        _CLOCK,
        events=counts.events,
    )
    executor.submit(listener.run)
    host, _, port = listener.address.rpartition(':')

    def call() -> bytes:
        received = b''
        with socket.create_connection((host, int(port)), _LONG_S) as caller:
            caller.sendall(_GET)
            while part := caller.recv(65_536):
                received += part
        return received

    try:
        yield call
    finally:
        listener.stop_accepting()
        listener.close_idle()
        watcher.close()
        executor.shutdown()


def test_failed_handler_is_answered(
    counts: _Counts, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a fault of this host that shows as a lost connection."""

    def serve(
        request: caller_listener.ReceivedRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse:
        raise ZeroDivisionError

    with _listening(counts, serve) as call:
        for _ in range(3):
            assert call().startswith(b'HTTP/1.1 500 ')
    assert counts.of('caller_task_failed') == 3
    assert _warnings(caplog, 'caller_task_failed') == 1
    assert 'ZeroDivisionError' in caplog.text


def test_response_that_http_does_not_permit_is_counted(
    counts: _Counts, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against replaced responses that only the log shows."""

    def serve(
        request: caller_listener.ReceivedRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse:
        caller.abort()
        return caller_listener.HttpResponse(200, ((b'x', b'a\nb'),), b'')

    with _listening(counts, serve) as call:
        for _ in range(3):
            call()
    assert counts.of('caller_response_replaced') == 3
    assert _warnings(caplog, 'caller_response_replaced') == 1
    assert 'Illegal header value' in caplog.text


def test_response_that_h11_does_not_send_is_replaced(
    counts: _Counts,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection that ends without a response.

    h11 accepts the head, but not the body that follows.
    """
    send = h11.Connection.send

    def refuse_body(
        protocol: h11.Connection, event: h11.Event
    ) -> bytes | None:
        if isinstance(event, h11.Data):
            raise h11.LocalProtocolError('refused by the test')
        return send(protocol, event)

    monkeypatch.setattr(h11.Connection, 'send', refuse_body)
    with _listening(counts) as call:
        assert call().startswith(b'HTTP/1.1 502 ')
    assert counts.of('caller_response_replaced') == 1
    assert 'refused by the test' in caplog.text


def test_error_of_h11_is_noticed(
    counts: _Counts,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against errors of a library that end a task without a word."""

    def refuse(protocol: h11.Connection, received: bytes) -> None:
        raise h11.RemoteProtocolError('refused by the test')

    monkeypatch.setattr(h11.Connection, 'receive_data', refuse)
    with _listening(counts) as call:
        for _ in range(3):
            assert call().startswith(b'HTTP/1.1 400 ')
    assert counts.of('caller_protocol_error') == 3
    assert _warnings(caplog, 'caller_protocol_error') == 1


def test_connection_without_a_thread_is_refused(
    counts: _Counts, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a shortage of threads that shows as lost connections."""
    with _listening(counts, executor_class=_WithoutThreads) as call:
        for _ in range(3):
            assert call().startswith(b'HTTP/1.1 503 ')
    assert counts.of('caller_task_not_started') == 3
    assert _warnings(caplog, 'caller_task_not_started') == 1


def test_failed_callback_does_not_end_the_watch(
    counts: _Counts, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against disconnects that are missed after one error."""
    watcher = disconnect_watcher.DisconnectWatcher(counts.events)
    threading.Thread(target=watcher.run, daemon=True).start()

    def fail() -> None:
        raise ZeroDivisionError

    disconnected = threading.Event()
    for callback in (fail, fail, disconnected.set):
        watched, caller = socket.socketpair()
        called = threading.Event()

        def call(
            callback: collections.abc.Callable[[], None] = callback,
            called: threading.Event = called,
        ) -> None:
            called.set()
            callback()

        with watched, watcher.watching(watched, call):
            caller.close()
            assert called.wait(_LONG_S)
    assert disconnected.wait(_LONG_S)
    watcher.close()
    assert counts.of('disconnect_watch_failed') == 2
    assert _warnings(caplog, 'disconnect_watch_failed') == 1


def test_failed_accept_handler_is_counted(
    counts: _Counts, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against accepted connections that vanish unnoticed."""
    accepting = acceptor.Acceptor(
        '127.0.0.1', 0, 8, _CLOCK, events=counts.events
    )

    def fail(connection: socket.socket) -> None:
        raise RuntimeError("can't start new thread")

    threading.Thread(target=accepting.run, args=(fail,), daemon=True).start()
    host, _, port = accepting.address.rpartition(':')
    for _ in range(3):
        with socket.create_connection((host, int(port)), _LONG_S) as client:
            assert client.recv(1) == b''
    accepting.stop()
    assert counts.of('accept_failed') == 3
    assert _warnings(caplog, 'accept_failed') == 1


class _AcceptAny:
    """Replaces the authentication of peers."""

    def __call__(self, *arguments: object) -> None:
        return


def test_malformed_call_of_a_peer_is_counted(
    counts: _Counts,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against errors of thrift that end a task without a word.

    A connection that a peer closes between calls is no error.
    """
    monkeypatch.setattr(
        peer_authentication, 'authenticate_client', _AcceptAny()
    )
    server = peer_server.PeerServer(
        '127.0.0.1',
        0,
        _CLOCK,
        8,
        peer_authentication.SharedKeys.from_text('test-key'),
        counts.events,
    )
    server.start(typing.cast(peer_calls.PeerService, object()))
    host, _, port = server.address.rpartition(':')
    malformed = b'\0\0\0\4abcd'
    for frame in (malformed, malformed, b''):
        with socket.create_connection((host, int(port)), _LONG_S) as peer:
            peer.sendall(frame)
            peer.shutdown(socket.SHUT_WR)
            with contextlib.suppress(ConnectionResetError):
                peer.recv(65_536)
    server.close()
    assert counts.of('peer_call_failed') == 2
    assert _warnings(caplog, 'peer_call_failed') == 1
