"""Forms of requests: each row of docs/http-forms.md, end to end."""

import collections.abc
import socket

import pytest

from . import http_host

_OK = b'HTTP/1.1 200 OK\r\nx-response-stamp: s\r\ncontent-length: 2\r\n\r\nok'
_IDENTITY = b'host: a.example\r\nx-request-id: q1\r\n'
_GET = b'GET /one/x?y=1 HTTP/1.1\r\n' + _IDENTITY
_POST = b'POST /one/x HTTP/1.1\r\n' + _IDENTITY
_LENGTH = b'content-length: 2\r\n'
_CHUNKED = b'transfer-encoding: chunked\r\n'


@pytest.fixture(scope='module')
def host(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[http_host.HttpHost]:
    with http_host.running(tmp_path_factory.mktemp('host')) as started:
        yield started


def _get(fields: bytes = b'') -> bytes:
    return _GET + fields + b'\r\n'


def _post(fields: bytes, body: bytes) -> bytes:
    return _POST + fields + b'\r\n' + body


def _chunked(body: bytes) -> bytes:
    return _post(_CHUNKED, body)


# For each form: the request, and the field x and the body that reach the
# searcher.
_SERVED: dict[str, tuple[bytes, list[bytes], bytes]] = {
    'white-space': (_get(b'x: \t a b\t \r\n'), [b'a b'], b''),
    'empty-value': (_get(b'x:\r\nx: \r\n'), [b'', b''], b''),
    'folded': (_get(b'x: a\r\n \t b\r\n'), [b'a b'], b''),
    'equal-lengths': (_post(_LENGTH + _LENGTH, b'ab'), [], b'ab'),
    'equal-lengths-list': (_post(b'content-length: 2, 2\r\n', b'ab'),
                           [], b'ab'),
    'chunked': (_chunked(b'1\r\na\r\n1\r\nb\r\n0\r\n\r\n'), [], b'ab'),
    'chunked-case': (_post(b'Transfer-Encoding: CHUNKED\r\n',
                           b'2\r\nab\r\n0\r\n\r\n'), [], b'ab'),
    'chunk-extension': (_chunked(b'2;a=b;c="d"\r\nab\r\n0;e\r\n\r\n'),
                        [], b'ab'),
    'chunk-size-padded': (_chunked(b'02 \r\nab\r\n0\r\n\r\n'), [], b'ab'),
    'trailers': (_chunked(b'2\r\nab\r\n0\r\nx: y\r\n\r\n'), [], b'ab'),
    'http-1.2': (_get().replace(b'/1.1', b'/1.2'), [], b''),
    'empty-line': (b'\r\n' + _get(), [], b''),
    'empty-lines': (b'\r\n\r\n' + _get(), [], b''),
    'high-bytes': (_get(b'x: \x80\xc3\xbf\r\n'), [b'\x80\xc3\xbf'], b''),
    'control-bytes': (_get(b'x: a\x01\x7fb\r\n'), [b'a\x01\x7fb'], b''),
    'repeated-field': (_get(b'x: a\r\nX: b\r\n'), [b'a', b'b'], b''),
    'unknown-expectation': (_post(b'expect: x\r\n' + _LENGTH, b'ab'),
                            [], b'ab'),
    'upgrade': (_get(b'connection: upgrade\r\nupgrade: websocket\r\n'),
                [], b''),
    'connection-list': (_get(b'connection: keep-alive , X\r\nx: 1\r\n'),
                        [], b''),
    'body-of-get': (_get(_LENGTH) + b'ab', [], b'ab'),
    'absolute-target': (_get().replace(b'/one', b'HTTP://a.example/one')
                        .replace(b'host: a', b'host: b'), [], b''),
    'absolute-target-without-host': (
        _get().replace(b'/one', b'https://a.example/one')
        .replace(b'/1.1', b'/1.0').replace(b'host: a.example\r\n', b''),
        [], b''),
    'no-body': (_post(b'content-length: 0\r\n', b''), [], b''),
}  # fmt: skip

# For each form: the request and the status of the host's response. The
# connection ends after it.
_REFUSED: dict[str, tuple[bytes, int]] = {
    'folded-first-line': (_GET.replace(b'\r\nhost', b'\r\n host') + b'\r\n',
                          400),
    'unequal-lengths': (_post(_LENGTH + b'content-length: 3\r\n', b'ab'), 400),
    'length-sign': (_post(b'content-length: +2\r\n', b'ab'), 400),
    'length-empty': (_post(b'content-length:\r\n', b''), 400),
    'length-and-chunked': (_post(_LENGTH + _CHUNKED, b'0\r\n\r\n'), 400),
    'chunked-and-length': (_post(_CHUNKED + _LENGTH, b'0\r\n\r\n'), 400),
    'identity': (_post(b'transfer-encoding: identity\r\n', b''), 501),
    'other-coding': (_post(b'transfer-encoding: gzip, chunked\r\n',
                           b'0\r\n\r\n'), 501),
    'chunked-twice': (_post(_CHUNKED + _CHUNKED, b'0\r\n\r\n'), 501),
    'chunked-http-1.0': (_chunked(b'0\r\n\r\n').replace(b'/1.1', b'/1.0'),
                         400),
    'chunk-size-plus': (_chunked(b'+2\r\nab\r\n0\r\n\r\n'), 400),
    'chunk-size-minus': (_chunked(b'-2\r\nab\r\n0\r\n\r\n'), 400),
    'chunk-size-hex-prefix': (_chunked(b'0x2\r\nab\r\n0\r\n\r\n'), 400),
    'chunk-size-empty': (_chunked(b'\r\nab\r\n0\r\n\r\n'), 400),
    'chunk-line-feed': (_chunked(b'2\nab\r\n0\r\n\r\n'), 400),
    'chunk-extension-line-feed': (_chunked(b'2;a\nab\r\n0\r\n\r\n'), 400),
    'chunk-extension-return': (_chunked(b'2;a\rb\r\nab\r\n0\r\n\r\n'), 400),
    'chunk-end-line-feed': (_chunked(b'2\r\nab\n0\r\n\r\n'), 400),
    'chunk-end-missing': (_chunked(b'2\r\nabxx0\r\n\r\n'), 400),
    'trailer-line-feed': (_chunked(b'0\r\nx: y\n\r\n'), 400),
    'trailer-malformed': (_chunked(b'0\r\nx : y\r\n\r\n'), 400),
    'http-0.9': (b'GET /one/x\r\n\r\n', 400),
    'http-2.0': (_get().replace(b'/1.1', b'/2.0'), 505),
    'http-2-preface': (b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n', 505),
    'line-feed': (_get().replace(b'\r\n', b'\n'), 400),
    'line-feed-in-head': (_get(b'x: a\ny: b\r\n'), 400),
    'line-feed-at-end': (_GET + b'\n', 400),
    'line-feed-first': (b'\n' + _get(), 400),
    'return-in-value': (_get(b'x: a\rb\r\n'), 400),
    'return-at-line-end': (_get(b'x: a\r\r\n'), 400),
    'nul': (_get(b'x: a\0b\r\n'), 400),
    'space-before-colon': (_get(b'x : a\r\n'), 400),
    'no-colon': (_get(b'x\r\n'), 400),
    'empty-name': (_get(b': a\r\n'), 400),
    'high-byte-in-name': (_get(b'x\xff: a\r\n'), 400),
    'high-byte-in-target': (_get().replace(b'/x', b'/\xff'), 400),
    'two-spaces': (_get().replace(b'GET ', b'GET  '), 400),
    'connect': (_get().replace(b'GET /one/x?y=1', b'CONNECT a.example:80'),
                501),
    'asterisk-target': (_get().replace(b'/one/x?y=1', b'*'), 400),
    'fragment': (_get().replace(b'?y=1', b'#y'), 400),
    'target-without-slash': (_get().replace(b'/one/', b'one/'), 400),
    'target-with-user': (_get().replace(b'/one', b'http://u@a.example/one'),
                         400),
    'target-of-other-scheme': (_get().replace(b'/one', b'ftp://a.example/one'),
                               400),
    'two-hosts': (_get(b'host: a.example\r\n'), 400),
    'no-host': (_get().replace(b'host: a.example\r\n', b''), 400),
}  # fmt: skip


@pytest.mark.parametrize('form', _SERVED)
def test_served(host: http_host.HttpHost, form: str) -> None:
    """Guards against a permitted form that is refused or changed."""
    request, values, body = _SERVED[form]
    response, (sent,) = host.relay(request, _OK)
    assert (response.status, response.body) == (200, b'ok')
    message = http_host.split(sent)
    assert (
        message.start
        == request.split()[0]
        + (b' /one/x?y=1' if request.split()[0] == b'GET' else b' /one/x')
        + b' HTTP/1.1'
    )
    assert message.values(b'x') == values
    assert message.values(b'host') == [b'a.example']
    assert message.body == body
    assert message.values(b'transfer-encoding') == []
    assert message.values(b'upgrade') == []


@pytest.mark.parametrize('whole', [True, False])
@pytest.mark.parametrize('form', _REFUSED)
def test_refused(host: http_host.HttpHost, form: str, whole: bool) -> None:
    """Guards against a malformed request that is served or not answered.

    What follows it on the connection is not served: it may be the part of
    the request that another parser does not see. The request arrives in one
    read, and in single bytes.
    """
    request, status = _REFUSED[form]
    host.searcher.reply = _OK
    host.searcher.received.clear()
    with host.connect() as caller:
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        step = len(request) if whole else 1
        responses = http_host.Responses(caller)
        for at in range(0, len(request), step):
            caller.sendall(request[at : at + step])
        caller.sendall(_get())
        response = responses.read()
        assert response is not None
        assert response.status == status
        assert responses.at_end()
    assert host.searcher.received == []


def test_options_of_the_whole_server(host: http_host.HttpHost) -> None:
    """Guards against a target without a path that is taken for a path."""
    request = _get().replace(b'GET /one/x?y=1', b'OPTIONS *')
    response, sent = host.relay(request, _OK)
    assert (response.status, sent) == (404, [])


def _read_all(
    caller: socket.socket, methods: list[bytes]
) -> list[http_host.Message]:
    responses = http_host.Responses(caller)
    messages = [responses.read(method) for method in methods]
    return [message for message in messages if message is not None]


def test_pipelined_requests_are_answered_in_turn(
    host: http_host.HttpHost,
) -> None:
    """Guards against a request whose bounds are lost among others."""
    host.searcher.reply = _OK
    host.searcher.received.clear()
    requests = [_SERVED[form][0] for form in ('trailers', 'body-of-get')] * 3
    with host.connect() as caller:
        caller.sendall(b''.join(requests))
        answers = _read_all(caller, [b'GET'] * len(requests))
    assert [answer.status for answer in answers] == [200] * len(requests)
    bodies = [http_host.split(sent).body for sent in host.searcher.received]
    assert bodies == [b'ab'] * len(requests)


@pytest.mark.parametrize('framing', [_LENGTH, _CHUNKED])
def test_continue_is_sent_before_the_body(
    host: http_host.HttpHost, framing: bytes
) -> None:
    """Guards against a caller that waits for leave to send its body."""
    host.searcher.reply = _OK
    host.searcher.received.clear()
    with host.connect() as caller:
        responses = http_host.Responses(caller)
        caller.sendall(_post(framing + b'expect: 100-continue\r\n', b''))
        interim = responses.read()
        assert interim is not None
        assert interim.status == 100
        body = b'ab' if framing == _LENGTH else b'2\r\nab\r\n0\r\n\r\n'
        caller.sendall(body)
        response = responses.read()
        assert response is not None
        assert response.status == 200
    (sent,) = host.searcher.received
    assert http_host.split(sent).values(b'expect') == []
    assert http_host.split(sent).body == b'ab'


@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        # The body follows without waiting.
        (_post(b'expect: 100-continue\r\n' + _LENGTH, b'ab'), 200),
        # An HTTP/1.0 caller does not know interim responses.
        (_post(b'expect: 100-continue\r\n' + _LENGTH, b'ab').replace(
            b'/1.1', b'/1.0'), 200),
        # The body is refused before it is sent.
        (_post(b'expect: 100-continue\r\ncontent-length: 999999\r\n', b''),
         413),
    ],
)  # fmt: skip
def test_continue_is_not_sent_without_need(
    host: http_host.HttpHost, request_bytes: bytes, status: int
) -> None:
    """Guards against an interim response that nobody waits for."""
    response, _ = host.relay(request_bytes, _OK)
    assert response.status == status


@pytest.mark.parametrize('field', [b'', b'connection: keep-alive\r\n'])
def test_http_1_0_connection_ends_with_the_response(
    host: http_host.HttpHost, field: bytes
) -> None:
    """Guards against a response whose end an old caller does not see."""
    host.searcher.reply = _OK
    with host.connect() as caller:
        caller.sendall(_get(field).replace(b'/1.1', b'/1.0'))
        responses = http_host.Responses(caller)
        response = responses.read()
        assert response is not None
        assert (response.status, response.body) == (200, b'ok')
        assert response.values(b'connection') == [b'close']
        assert responses.at_end()


def test_connection_close_in_a_list_ends_the_connection(
    host: http_host.HttpHost,
) -> None:
    """Guards against a connection that stays open unasked."""
    host.searcher.reply = _OK
    with host.connect() as caller:
        caller.sendall(_get(b'connection: x , Close\r\n'))
        responses = http_host.Responses(caller)
        assert responses.read() is not None
        assert responses.at_end()


def test_fields_that_route_a_request_are_not_hop_by_hop(
    host: http_host.HttpHost,
) -> None:
    """Guards against a request without the fields that every request has.

    A caller may name them in Connection, although HTTP forbids it.
    """
    fields = b'connection: host, x-request-id, x\r\nx: 1\r\n'
    response, (sent,) = host.relay(_get(fields), _OK)
    assert response.status == 200
    message = http_host.split(sent)
    assert message.values(b'host') == [b'a.example']
    assert message.values(b'x-request-id') == [b'q1']
    assert message.values(b'x') == []


def test_post_without_body_states_its_length(
    host: http_host.HttpHost,
) -> None:
    """Guards against a searcher that waits for a body or asks for a length."""
    _, (sent,) = host.relay(_post(b'content-length: 0\r\n', b''), _OK)
    assert http_host.split(sent).values(b'content-length') == [b'0']
