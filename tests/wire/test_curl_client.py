"""CurlClient: responses that end early or do not end."""

import collections.abc
import concurrent.futures
import contextlib
import itertools
import socket
import threading

import pytest

from corianderport_testkit import clock as manual
from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier.version import configuration
from corianderport_wire.connection import curl_client
from corianderport_wire.connection import upstream_client

_LONG_S = 10.0
_HEAD = (
    b'HTTP/1.1 100 Continue\r\n\r\n'
    b'HTTP/1.1 200 OK\r\nX-Id: q1\r\nContent-Length: 2\r\n\r\n'
)


@contextlib.contextmanager
def _server(
    pieces: collections.abc.Iterable[bytes],
) -> collections.abc.Iterator[str]:
    """Answer one request with some bytes and close the connection."""
    listener = socket.create_server(('127.0.0.1', 0))

    def run() -> None:
        accepted, _ = listener.accept()
        with accepted, contextlib.suppress(OSError):
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            accepted.recv(65_536)
            for piece in pieces:
                accepted.sendall(piece)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        host, port = listener.getsockname()
        yield f'{host}:{port}'
    finally:
        thread.join(_LONG_S)
        listener.close()


def _call(clock: clocks.Clock) -> messages.UpstreamSearch:
    deadline = deadlines.Deadline.after(clock, _LONG_S)
    return messages.UpstreamSearch('q', 'q.1', 'i', 1, ('a',), '', 1, deadline)


def _get(address: str) -> curl_client.HttpReply:
    client = curl_client.CurlClient(address, _LONG_S, reconnect=False)
    try:
        return client.get('/', _LONG_S)
    finally:
        client.close()


@pytest.mark.parametrize('length', range(len(_HEAD) + 1))
def test_head_that_ends_early_is_not_a_response(length: int) -> None:
    """Guards against a 200 with an empty body that nobody has sent.

    libcurl reports a response whose connection closes within the head.
    """
    with _server([_HEAD[:length]]) as address:
        with pytest.raises(errors.TransportError):
            _get(address)


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
    sent = itertools.chain([start], itertools.repeat(piece))
    with _server(sent) as address:
        with pytest.raises(errors.ConnectionBroken):
            _get(address)


def test_body_in_single_bytes_is_bounded_in_reads() -> None:
    """Guards against a server that takes all the processor time."""
    collector = curl_client.ReplyCollector()
    collector.on_header(b'HTTP/1.1 200 OK\r\n')
    collector.on_header(b'\r\n')
    results = [collector.on_body(b'a') for _ in range(10_000)]
    assert results[0] is None
    assert results[-1] is not None
    assert collector.rejected


def test_bodies_of_all_searchers_are_bounded_together() -> None:
    """Guards against many large bodies that use up the host's memory.

    Each of them stays within the limit of a single response.
    """
    body = bytes(14 * 1024 * 1024)
    reply = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
    clock = manual.ManualClock()
    dialer = upstream_client.HttpUpstreamDialer(clock)
    rejected = []
    for _ in range(3):
        with _server([reply, body]) as address:
            searcher = configuration.Searcher('s', address, 'dc-a')
            transport = dialer.dial(searcher, _LONG_S)
            with pytest.raises(errors.ConnectionBroken) as raised:
                transport.search(_call(clock), _LONG_S)
            transport.close()
        rejected.append('searchers are too large' in str(raised.value))
    assert rejected == [False, False, True]


def test_response_above_the_limit_is_reported_as_too_large() -> None:
    """Guards against reading a response again that can never arrive whole."""
    size = 17 * 1024 * 1024
    reply = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % size
    with _server([reply, bytes(size)]) as address:
        with pytest.raises(errors.ReplyTooLarge):
            _get(address)


def test_complete_response() -> None:
    with _server([_HEAD + b'ok']) as address:
        assert _get(address) == curl_client.HttpReply(200, b'ok')


def test_error_tells_whether_the_connection_was_new() -> None:
    """Guards against a lost connection that passes for a failed server.

    The server answers once and is silent from then on; at last it is gone.
    """
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
        client = curl_client.CurlClient(f'{host}:{port}', _LONG_S)
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            first = executor.submit(client.get, '/', _LONG_S)
            accepted, _ = listener.accept()
            accepted.sendall(_HEAD + b'ok')
            assert first.result(_LONG_S).body == b'ok'
        failures = []
        for _ in range(2):
            with pytest.raises(errors.ConnectionSilent) as silent:
                client.get('/', 0.1)
            failures.append(silent.value.fresh)
    accepted.close()
    with pytest.raises(errors.TransportError) as refused:
        client.get('/', _LONG_S)
    client.close()
    assert [*failures, refused.value.fresh] == [False, True, True]
