"""Messages of the grammars, through a host in this process."""

import collections.abc

import hypothesis
from hypothesis import strategies
import pytest

from corianderport_tier import errors
from corianderport_wire.connection import reply_parser

from . import http_grammar
from . import http_host

_HOST = b'a.example'
_IDENTITY = b'X-Request-Id: q1\r\n'
_STAMP = b'X-Response-Stamp: s\r\n'
_OK = b'HTTP/1.1 200 OK\r\nx-response-stamp: s\r\ncontent-length: 2\r\n\r\nok'
_GET = b'GET /one/x HTTP/1.1\r\nHost: a.example\r\n' + _IDENTITY + b'\r\n'
# Each test takes a few seconds.
_EXAMPLES = hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None, database=None
)
_REFUSALS = (400, 501, 505)


@pytest.fixture(scope='module')
def host(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[http_host.HttpHost]:
    with http_host.running(tmp_path_factory.mktemp('host')) as started:
        yield started


def _custom(message: http_host.Message) -> tuple[tuple[bytes, bytes], ...]:
    return tuple(f for f in message.fields if f[0].startswith(b'xt'))


@_EXAMPLES
@hypothesis.given(
    strategies.data(),
    http_grammar.requests(b'/one/', _HOST),
    http_grammar.requests(b'/one/', _HOST),
)
def test_valid_requests_arrive_unchanged(
    host: http_host.HttpHost,
    data: strategies.DataObject,
    first: http_grammar.Framed,
    second: http_grammar.Framed,
) -> None:
    """Guards against a form of requests that is refused or changed.

    A second request follows in the same bytes: it shows that both sides see
    the same end of the first one.
    """
    host.searcher.reply, host.searcher.ends = _OK, False
    host.searcher.received.clear()
    # A connection of HTTP/1.0 ends with the first response.
    old = b' HTTP/1.0\r\n' in first.content[: first.head_bytes]
    messages = (first,) if old else (first, second)
    content = b''.join(_with_id(m.content) for m in messages)
    with host.connect() as caller:
        for piece in data.draw(http_grammar.divisions(content)):
            caller.sendall(piece)
        responses = http_host.Responses(caller)
        for message in messages:
            response = responses.read()
            assert response is not None
            assert response.status == 200, host.decisions()
            assert response.body == b'ok'
            sent = http_host.split(host.searcher.received.pop(0))
            assert sent.start == message.start
            assert sent.values(b'host') == [_HOST]
            assert _custom(sent) == message.values
            assert sent.body == message.body


def _with_id(content: bytes) -> bytes:
    return content.replace(b'\r\nHost:', b'\r\n' + _IDENTITY + b'Host:', 1)


@_EXAMPLES
@hypothesis.given(
    strategies.data(), http_grammar.malformed_requests(b'/one/', _HOST)
)
def test_malformed_requests_are_refused(
    host: http_host.HttpHost, data: strategies.DataObject, content: bytes
) -> None:
    """Guards against a request that parsers may divide differently.

    A valid request follows, which must not be served.
    """
    host.searcher.reply, host.searcher.ends = _OK, False
    host.searcher.received.clear()
    content = _with_id(content)
    with host.connect() as caller:
        try:
            for piece in data.draw(http_grammar.divisions(content)):
                caller.sendall(piece)
            caller.sendall(_GET)
        except ConnectionError:
            # The host has answered before the last piece.
            pass
        responses = http_host.Responses(caller)
        response = responses.read()
        assert response is not None
        assert response.status in _REFUSALS
        assert responses.at_end()
    assert host.searcher.received == []


@_EXAMPLES
@hypothesis.given(
    http_grammar.replies(_STAMP), strategies.sampled_from([b'GET', b'HEAD'])
)
def test_valid_replies_arrive_unchanged(
    host: http_host.HttpHost, reply: http_grammar.Framed, method: bytes
) -> None:
    """Guards against a form of replies that is refused or changed."""
    content = reply.content
    if method == b'HEAD':
        content = content[: reply.head_bytes]
    request = _GET.replace(b'GET', method)
    response, _ = host.relay(request, content, reply.ends)
    # The host would rest a searcher that sends several errors in turn.
    host.relay(_GET, _OK)
    assert response.start.split()[1] == reply.start, host.decisions()
    assert _custom(response) == reply.values
    assert response.body == (b'' if method == b'HEAD' else reply.body)


@_EXAMPLES
@hypothesis.given(http_grammar.malformed_replies(_STAMP))
def test_malformed_replies_become_502(
    host: http_host.HttpHost, content: bytes
) -> None:
    """Guards against a malformed reply that is passed on or awaited.

    The next request on the caller's connection is served.
    """
    host.searcher.reply, host.searcher.ends = content, False
    count = host.count('reply-invalid')
    with host.connect() as caller:
        responses = http_host.Responses(caller)
        for reply, status in ((content, 502), (_OK, 200)):
            host.searcher.reply = reply
            caller.sendall(_GET)
            response = responses.read()
            assert response is not None
            assert response.status == status, host.decisions()
    assert host.count('reply-invalid') == count + 1


def _verdict(pieces: list[bytes]) -> object:
    """Return the first reply, or how its parser ended."""
    parser = reply_parser.ReplyParser(b'GET')
    try:
        for piece in pieces:
            parser.receive(piece)
            if parser.replies:
                return parser.replies[0]
        parser.receive(b'')
    except errors.ConnectionBroken as error:
        return type(error)
    return parser.replies[0]


@_EXAMPLES
@hypothesis.given(
    strategies.data(),
    http_grammar.replies(_STAMP).map(lambda reply: reply.content)
    | http_grammar.malformed_replies(_STAMP),
)
def test_verdict_on_a_reply_does_not_depend_on_the_reads(
    data: strategies.DataObject, content: bytes
) -> None:
    """Guards against a reply that one division into reads passes on.

    The head is rewritten before it is parsed, which needs all of it.
    """
    expected = _verdict([content])
    for pieces in (
        data.draw(http_grammar.divisions(content)),
        [content[at : at + 1] for at in range(len(content))],
    ):
        assert _verdict(pieces) == expected
