"""An action is sent to a searcher at most once."""

import collections.abc
import socket
import threading

import attrs
import pytest

from corianderport_testkit.process import searcher
from corianderport_testkit.version import deployments
from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier.version import configuration
from corianderport_wire.connection import upstream_client

_CLOCK = clocks.SystemClock()
_TIMEOUT_S = 20.0


def _call(payload: str) -> messages.UpstreamAction:
    return messages.UpstreamAction(
        'r', 'r.1', 'reserve', payload, deadlines.Deadline.after(_CLOCK, 60)
    )


def _dial(address: str) -> upstream_client.HttpUpstreamTransport:
    return upstream_client.HttpUpstreamDialer(_CLOCK).dial(
        configuration.Searcher('s', address, 'dc-a'), _TIMEOUT_S
    )


@pytest.fixture
def server() -> collections.abc.Iterator[searcher.SearcherServer]:
    """A searcher that serves over HTTP."""
    started = searcher.SearcherServer(
        searcher.Searcher('s', deployments.Deployment(), searcher.Behaviour())
    )
    started.start()
    yield started
    started.close()


@pytest.mark.parametrize(('cut', 'runs'), [('before', 0), ('after', 1)])
def test_cut_connection_is_not_retried(
    server: searcher.SearcherServer, cut: str, runs: int
) -> None:
    """Guards against a resend after the searcher closed the connection.

    The searcher closes it before or after it runs the action. The host
    cannot tell which, and a resend could run the action twice.
    """
    server.searcher.behaviour.act_cut = cut
    transport = _dial(server.address)
    with pytest.raises(errors.ConnectionBroken):
        transport.act(_call('p'), _TIMEOUT_S, lambda: None)
    transport.close()
    assert server.searcher.record.runs.get('p', 0) == runs


def test_late_response_raises_connection_silent(
    server: searcher.SearcherServer,
) -> None:
    """Guards against reporting 'not run' when the response times out.

    The searcher runs the action after the host has stopped waiting.
    """
    server.searcher.behaviour.act_late_s = 0.3
    transport = _dial(server.address)
    with pytest.raises(errors.ConnectionSilent):
        transport.act(_call('p'), 0.1, lambda: None)
    transport.close()


def test_check_is_called_on_the_open_connection() -> None:
    """Guards against sending when the deadline passed while connecting.

    A check before connecting comes too early; the check must be called on
    the open connection, before the first byte is sent.
    """
    connected = threading.Event()
    received: list[bytes] = []
    listener = socket.create_server(('127.0.0.1', 0))

    def accept() -> None:
        connection, _ = listener.accept()
        connected.set()
        received.append(connection.recv(1))
        connection.close()

    def check() -> None:
        assert connected.wait(_TIMEOUT_S)
        raise errors.DeadlinePast('passed while connecting')

    task = threading.Thread(target=accept)
    task.start()
    transport = _dial('127.0.0.1:%d' % listener.getsockname()[1])
    with pytest.raises(errors.DeadlinePast):
        transport.act(_call('p'), _TIMEOUT_S, check)
    transport.close()
    task.join()
    listener.close()
    assert received == [b'']


def test_action_never_uses_an_idle_connection() -> None:
    """Guards against libcurl's automatic resend on a reused connection.

    The fake searcher keeps each connection open after one response, but
    reads no second request from it.
    """
    listener = socket.create_server(('127.0.0.1', 0))
    body = (
        b'{"request_id": "r", "attempt_id": "r.1", "succeeded": true, '
        b'"outcome": "", "incarnation": ""}'
    )
    reply = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
        len(body),
        body,
    )
    requests: list[int] = []
    connections: list[socket.socket] = []

    def accept() -> None:
        for number in range(2):
            connection, _ = listener.accept()
            connections.append(connection)
            stream = connection.makefile('rb')
            length = 0
            for line in iter(stream.readline, b'\r\n'):
                if line.lower().startswith(b'content-length:'):
                    length = int(line.partition(b':')[2])
            stream.read(length)
            requests.append(number)
            connection.sendall(reply)

    task = threading.Thread(target=accept)
    task.start()
    transport = _dial('127.0.0.1:%d' % listener.getsockname()[1])
    for _ in range(2):
        transport.act(_call('p'), _TIMEOUT_S, lambda: None)
    task.join(_TIMEOUT_S)
    transport.close()
    for connection in connections:
        connection.close()
    listener.close()
    assert requests == [0, 1]


def test_refused_connection_has_sent_nothing() -> None:
    """Guards against 'outcome unknown' when the connection is refused.

    No process listens on the address, so the action cannot have run.
    """
    checked: list[bool] = []
    with socket.socket() as unused:
        # The port stays bound, so that no other socket can listen on it.
        unused.bind(('127.0.0.1', 0))
        transport = _dial('127.0.0.1:%d' % unused.getsockname()[1])
        with pytest.raises(errors.ConnectFailed):
            transport.act(_call('p'), _TIMEOUT_S, lambda: checked.append(True))
        transport.close()
    assert not checked


def test_refusal_is_explicit(server: searcher.SearcherServer) -> None:
    """Guards against reporting a refusal as a broken connection.

    A searcher that sheds load has not run the action, whereas the outcome
    on a broken connection is unknown.
    """
    server.searcher.behaviour.shed = True
    transport = _dial(server.address)
    reply = transport.act(_call('p'), _TIMEOUT_S, lambda: None)
    transport.close()
    assert isinstance(reply, messages.UpstreamRefusal)
    assert attrs.asdict(server.searcher.record)['runs'] == {}
