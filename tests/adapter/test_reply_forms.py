"""Forms of replies: each row of docs/http-forms.md, end to end."""

import collections.abc

import pytest

from . import http_host

_STAMP = b'x-response-stamp: s\r\n'
_OK = b'HTTP/1.1 200 OK\r\n' + _STAMP
_LENGTH = b'content-length: 2\r\n'
_CHUNKED = b'transfer-encoding: chunked\r\n'
_PLAIN = _OK + _LENGTH + b'\r\nok'
_FIELDS = b' /one/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: q1\r\n'
_GET = b'GET' + _FIELDS + b'\r\n'
_HEAD = b'HEAD' + _FIELDS + b'\r\n'


@pytest.fixture(scope='module')
def host(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[http_host.HttpHost]:
    with http_host.running(tmp_path_factory.mktemp('host')) as started:
        yield started


@pytest.mark.parametrize(
    ('method', 'reply', 'status', 'lengths'),
    [
        (b'HEAD', _OK + b'content-length: 9\r\n\r\n', 200, [b'9']),
        (b'HEAD', _OK + _CHUNKED + b'\r\n', 200, []),
        (b'HEAD', _OK + b'\r\n', 200, []),
        (b'HEAD', b'HTTP/1.1 304 N\r\ncontent-length: 9\r\n\r\n', 304, [b'9']),
        (b'HEAD', b'HTTP/1.1 204 N\r\n' + _STAMP + _LENGTH + b'\r\n', 204, []),
        (b'GET', b'HTTP/1.1 304 N\r\ncontent-length: 9\r\n\r\n', 304, [b'9']),
        (b'GET', b'HTTP/1.1 304 N\r\n\r\n', 304, []),
        (b'GET', b'HTTP/1.1 304 N\r\n' + _CHUNKED + b'\r\n', 304, []),
        (b'GET', b'HTTP/1.1 204 N\r\n' + _STAMP + b'\r\n', 204, []),
        (b'GET', b'HTTP/1.1 204 N\r\n' + _STAMP + _LENGTH + b'\r\n', 204, []),
        (b'GET', b'HTTP/1.1 204 N\r\n' + _STAMP + _CHUNKED + b'\r\n', 204, []),
    ],
)
def test_reply_without_body(
    host: http_host.HttpHost,
    method: bytes,
    reply: bytes,
    status: int,
    lengths: list[bytes],
) -> None:
    """Guards against waiting for a body, and against a wrong length.

    The length in a response to HEAD and in 304 is that of a body which is
    not sent; 204 must not state one. The caller's connection stays usable.
    """
    host.searcher.reply, host.searcher.ends = reply, False
    with host.connect() as caller:
        responses = http_host.Responses(caller)
        for _ in range(2):
            caller.sendall(method + _FIELDS + b'\r\n')
            response = responses.read(method)
            assert response is not None
            assert response.status == status
            assert response.values(b'content-length') == lengths
        host.searcher.reply = _PLAIN
        caller.sendall(_GET)
        response = responses.read()
        assert response is not None
        assert (response.status, response.body) == (200, b'ok')


def test_head_of_the_metrics(host: http_host.HttpHost) -> None:
    """Guards against a connection that is closed without a response.

    The host's own response has a body, which must not be sent.
    """
    with host.connect_metrics() as caller:
        responses = http_host.Responses(caller)
        caller.sendall(b'HEAD /metrics HTTP/1.1\r\nhost: a\r\n\r\n')
        response = responses.read(b'HEAD')
        assert response is not None
        assert response.status == 200
        assert int(response.values(b'content-length')[0]) > 0
        caller.sendall(b'GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n')
        response = responses.read()
        assert response is not None
        assert b'corianderport_decisions_total' in response.body
