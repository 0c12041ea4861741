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


def _ok(fields: bytes, body: bytes = b'ok') -> bytes:
    return _OK + fields + b'\r\n' + body


def _chunked(body: bytes) -> bytes:
    return _ok(_CHUNKED, body)


# For each form, the reply.
_REFUSED: dict[str, bytes] = {
    'unequal-lengths': _ok(_LENGTH + b'content-length: 3\r\n'),
    'unequal-lengths-list': _ok(b'content-length: 2, 3\r\n'),
    'length-sign': _ok(b'content-length: +2\r\n'),
    'length-empty': _ok(b'content-length:\r\n'),
    'length-overflow': _ok(b'content-length: 99999999999999999999999\r\n'),
    'length-and-chunked': _ok(_LENGTH + _CHUNKED, b'2\r\nok\r\n0\r\n\r\n'),
    'chunked-and-length': _ok(_CHUNKED + _LENGTH, b'2\r\nok\r\n0\r\n\r\n'),
    'identity-and-length': _ok(b'transfer-encoding: identity\r\n' + _LENGTH),
    'chunk-size-plus': _chunked(b'+2\r\nok\r\n0\r\n\r\n'),
    'chunk-size-minus': _chunked(b'-2\r\nok\r\n0\r\n\r\n'),
    'chunk-size-hex-prefix': _chunked(b'0x2\r\nok\r\n0\r\n\r\n'),
    'chunk-size-empty': _chunked(b'\r\nok\r\n0\r\n\r\n'),
    'chunk-size-padded': _chunked(b'2 \r\nok\r\n0\r\n\r\n'),
    'chunk-size-overflow': _chunked(b'fffffffffffffffff\r\nok\r\n'),
    'chunk-extension-padded': _chunked(b'2 ; a=b\r\nok\r\n0\r\n\r\n'),
    'chunk-line-feed': _chunked(b'2\nok\r\n0\r\n\r\n'),
    'chunk-extension-line-feed': _chunked(b'2;a\nok\r\n0\r\n\r\n'),
    'chunk-extension-return': _chunked(b'2;a\rb\r\nok\r\n0\r\n\r\n'),
    'chunk-end-line-feed': _chunked(b'2\r\nok\n0\r\n\r\n'),
    'chunk-end-missing': _chunked(b'2\r\nokxx0\r\n\r\n'),
    'trailer-length': _chunked(b'2\r\nok\r\n0\r\ncontent-length: 3\r\n\r\n'),
    'trailer-malformed': _chunked(b'2\r\nok\r\n0\r\nx : y\r\n\r\n'),
    'http-0.9': b'ok\r\n\r\n',
    'http-1.2': _PLAIN.replace(b'/1.1', b'/1.2'),
    'status-short': _PLAIN.replace(b'200', b'20'),
    'status-long': _PLAIN.replace(b'200', b'2000'),
    'upgrade-unasked': b'HTTP/1.1 101 S\r\nconnection: upgrade\r\n'
                       b'upgrade: x\r\n\r\n',
    'upgrade-without-field': b'HTTP/1.1 101 S\r\n\r\n' + _PLAIN,
    'folded-first-line': _ok(b' x: a\r\n' + _LENGTH).replace(
        _STAMP, b''),
    'folded-empty': _ok(_LENGTH + b'x: a\r\n \r\n'),
    'line-feed-in-head': _ok(_LENGTH + b'x: a\ny: b\r\n'),
    'return-in-value': _ok(_LENGTH + b'x: a\rb\r\n'),
    'return-at-line-end': _ok(_LENGTH + b'x: a\r\r\n'),
    'nul': _ok(_LENGTH + b'x: a\0b\r\n'),
    'control-bytes': _ok(_LENGTH + b'x: a\x01b\r\n'),
    'space-before-colon': _ok(_LENGTH + b'x : a\r\n'),
    'no-colon': _ok(_LENGTH + b'x\r\n'),
    'empty-name': _ok(_LENGTH + b': a\r\n'),
    'high-byte-in-name': _ok(_LENGTH + b'x\xff: a\r\n'),
    'long-head': _ok(_LENGTH + b'x: ' + b'a' * 70_000 + b'\r\n'),
    'http-2.0': _PLAIN.replace(b'/1.1', b'/2.0'),
    'status-below-100': _PLAIN.replace(b'200', b'099'),
    'other-coding': _ok(b'transfer-encoding: gzip, chunked\r\n',
                        b'2\r\nok\r\n0\r\n\r\n'),
    'other-coding-unframed': _ok(b'transfer-encoding: gzip\r\n'),
    'chunked-twice': _ok(_CHUNKED + _CHUNKED, b'2\r\nok\r\n0\r\n\r\n'),
    'chunked-twice-list': _ok(b'transfer-encoding: chunked, chunked\r\n',
                              b'2\r\nok\r\n0\r\n\r\n'),
    'chunked-not-last': _ok(b'transfer-encoding: chunked, identity\r\n',
                            b'2\r\nok\r\n0\r\n\r\n'),
    'coding-empty': _ok(b'transfer-encoding:\r\n' + _LENGTH),
    'chunked-http-1.0': _chunked(b'2\r\nok\r\n0\r\n\r\n').replace(
        b'/1.1', b'/1.0'),
    'line-feeds': _PLAIN.replace(b'\r\n', b'\n'),
    'other-coding-after-another-reply': (
        _ok(b'x-request-id: q0\r\n' + _LENGTH)
        + _ok(b'transfer-encoding: gzip, chunked\r\n',
              b'2\r\nok\r\n0\r\n\r\n')),
    'upgrade-after-another-reply': (
        _ok(b'x-request-id: q0\r\n' + _LENGTH)
        + b'HTTP/1.1 101 S\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n'),
    'return-in-last-line': (_OK + _LENGTH + b'\r\r\n'),
    'return-first': b'\r' + _PLAIN,
    'line-feed-first': b'\n' + _PLAIN,
    'nul-in-reason': _PLAIN.replace(b'OK', b'O\0K'),
}  # fmt: skip


@pytest.mark.parametrize('form', _REFUSED)
def test_refused(
    host: http_host.HttpHost, form: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a malformed reply that is passed on or not answered.

    The caller gets 502 at once, the log has the reason, and the next request
    on its connection is served.
    """
    host.searcher.reply, host.searcher.ends = _REFUSED[form], False
    count = host.count('reply-invalid')
    caplog.set_level('INFO')
    with host.connect() as caller:
        responses = http_host.Responses(caller)
        caller.sendall(_GET)
        response = responses.read()
        assert response is not None
        assert (response.status, response.body) == (502, b'')
        host.searcher.reply = _PLAIN
        caller.sendall(_GET)
        response = responses.read()
        assert response is not None
        assert (response.status, response.body) == (200, b'ok')
    assert host.count('reply-invalid') == count + 1
    reasons = [
        decision.reason
        for record in caplog.records
        if (decision := getattr(record, 'decision', None)) is not None
        and decision.kind == 'send-failed'
    ]
    assert len(reasons) == 1
    assert reasons[0].startswith('ReplyInvalid: ')
    assert 'callback' not in reasons[0]


# For each form: the reply, whether its connection ends after it, and the
# field x that reaches the caller.
_SERVED: dict[str, tuple[bytes, bool, list[bytes]]] = {
    'white-space': (_ok(b'x: \t a b\t \r\n' + _LENGTH), False, [b'a b']),
    'padded-length': (_ok(b'content-length: \t2 \t\r\n'), False, []),
    'padded-chunked': (_ok(b'transfer-encoding: chunked \r\n',
                           b'2\r\nok\r\n0\r\n\r\n'), False, []),
    'empty-value': (_ok(b'x:\r\nx: \r\n' + _LENGTH), False, [b'', b'']),
    'chunked': (_chunked(b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n'), False, []),
    'chunked-case': (_ok(b'Transfer-Encoding: CHUNKED\r\n',
                         b'2\r\nok\r\n0\r\n\r\n'), False, []),
    'chunk-extension': (_chunked(b'2;a=b;c="d"\r\nok\r\n0;e\r\n\r\n'),
                        False, []),
    'trailers': (_chunked(b'2\r\nok\r\n0\r\nx: y\r\n\r\n'), False, []),
    'unframed': (_ok(b''), True, []),
    'http-1.0': (_PLAIN.replace(b'/1.1', b'/1.0'), True, []),
    'no-reason': (_PLAIN.replace(b' OK', b''), False, []),
    'high-byte-in-reason': (_PLAIN.replace(b'OK', b'\xc3\xa4'), False, []),
    'empty-line': (b'\r\n' + _PLAIN, False, []),
    'high-bytes': (_ok(b'x: \x80\xc3\xbf\r\n' + _LENGTH), False,
                   [b'\x80\xc3\xbf']),
    'repeated-field': (_ok(b'x: a\r\nX: b\r\n' + _LENGTH), False,
                       [b'a', b'b']),
    'upgrade-offered': (_ok(b'connection: upgrade\r\nupgrade: x\r\n'
                            + _LENGTH), False, []),
    'connection-list': (_ok(b'connection: keep-alive , X\r\nx: 1\r\n'
                            + _LENGTH), False, []),
    'connection-close': (_ok(b'connection: a, Close\r\n' + _LENGTH), True,
                         []),
    'interim': (b'HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nx: a\r\n\r\n'
                + _PLAIN, False, []),
    'interim-then-padded': (
        b'HTTP/1.1 100 C\r\nx: a \r\n\r\n'
        + _ok(b'x: b \r\ntransfer-encoding: chunked\t\r\n',
              b'2\r\nok\r\n0\r\n\r\n'), False, [b'b']),
    'empty-lines-then-padded': (b'\r\n\r\n' + _ok(b'x: a \r\n' + _LENGTH),
                                False, [b'a']),
    'folded': (_ok(b'x: a \r\n \t b\r\n\tc\r\n' + _LENGTH), False,
               [b'a b c']),
    'folded-length': (_ok(b'content-length:\r\n 2\r\n'), False, []),
    'equal-lengths': (_ok(_LENGTH + b'x: a\r\nContent-Length: 2\r\n'), False,
                      [b'a']),
    'equal-lengths-list': (_ok(b'content-length: 2 , 2\r\n'), False, []),
    'identity': (_ok(b'transfer-encoding: Identity\r\n'), True, []),
    'padded-after-another-reply': (
        _ok(b'x-request-id: q0\r\n' + _LENGTH) + _ok(b'x: a \t\r\n' + _LENGTH),
        False, [b'a']),
}  # fmt: skip


@pytest.mark.parametrize('form', _SERVED)
def test_served(host: http_host.HttpHost, form: str) -> None:
    """Guards against a permitted form that is refused or changed."""
    reply, ends, values = _SERVED[form]
    response, _ = host.relay(_GET, reply, ends)
    assert (response.status, response.body) == (200, b'ok')
    assert response.values(b'x') == values
    assert response.values(b'x-response-stamp') == [b's']
    assert response.values(b'content-length') == [b'2']
    assert response.values(b'transfer-encoding') == []
    assert response.values(b'upgrade') == []
