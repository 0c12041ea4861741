"""ReplyParser: complete, incomplete and invalid responses."""

import gc
import weakref

import h11
import hypothesis
from hypothesis import strategies
import pytest

from corianderport_tier import errors
from corianderport_wire.connection import reply_parser

_PLAIN = b'HTTP/1.1 200 OK\r\nX-Id: q1\r\nContent-Length: 2\r\n\r\nok'
_CHUNKED = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'1\r\no\r\n1\r\nk\r\n0\r\nx-late: 1\r\n\r\n'
)


@pytest.mark.parametrize(
    ('content', 'status', 'body', 'reusable'),
    [
        (_PLAIN, 200, b'ok', True),
        (_CHUNKED, 200, b'ok', True),
        (b'HTTP/1.1 100 Continue\r\n\r\n' + _PLAIN, 200, b'ok', True),
        (b'HTTP/1.1 204 No Content\r\n\r\n', 204, b'', True),
        (_PLAIN.replace(b'1.1', b'1.0', 1), 200, b'ok', False),
        (_PLAIN.replace(b'X-Id', b'Connection: close\r\nX-Id'), 200, b'ok', 0),
        (_PLAIN + b'more', 200, b'ok', False),
        (_PLAIN + b'HTTP/1.1 2', 200, b'ok', False),
        (_PLAIN.replace(b'\r\n', b' \t\r\n', 3), 200, b'ok', True),
        (_CHUNKED.replace(b'chunked', b'chunked \t'), 200, b'ok', True),
        (b'\r\n' + _PLAIN, 200, b'ok', True),
    ],
)
@pytest.mark.parametrize('step', [1, 7, 1_000])
def test_complete_response(
    content: bytes, status: int, body: bytes, reusable: bool, step: int
) -> None:
    """Guards against chunks that are lost or taken for a whole response."""
    parser = reply_parser.ReplyParser(b'GET')
    for at in range(0, len(content), step):
        if step < 1_000 and parser.replies:
            # Surplus bytes are tested only as part of one large chunk.
            return
        parser.receive(content[at : at + step])
    (reply,) = parser.replies
    assert (reply.status, reply.body) == (status, body)
    assert reply.header(b'x-late') is None
    assert parser.reusable == bool(reusable)


def test_names_of_headers_are_in_lower_case() -> None:
    """Guards against missing a header because of the case of its name.

    Servers may send the names of headers in any case.
    """
    parser = reply_parser.ReplyParser(b'GET')
    parser.receive(_PLAIN)
    assert parser.replies[0].header(b'x-id') == b'q1'


_name = strategies.text('Az09!#-_~:', max_size=3).map(str.encode)
_value = strategies.one_of(
    strategies.text('\tv ,"\\\x80\xff', max_size=5).map(
        lambda text: text.encode('latin-1')
    ),
    strategies.binary(max_size=2),
)
_space = strategies.text(' \t', max_size=2).map(str.encode)


@hypothesis.given(
    strategies.integers(190, 1_000),
    strategies.lists(
        strategies.tuples(_name, _space, _value, _space), max_size=3
    ),
)
def test_parsed_response_can_be_sent(
    status: int, fields: list[tuple[bytes, bytes, bytes, bytes]]
) -> None:
    """Guards against a response that one library accepts and the other not.

    httptools parses the responses of searchers, and h11 sends them to the
    caller, which gets the values without the white space around them.
    """
    lines = [b'HTTP/1.1 %03d X' % status, b'content-length: 0']
    lines += [b''.join((b'x', n, b':', a, v, b)) for n, a, v, b in fields]
    parser = reply_parser.ReplyParser(b'GET')
    try:
        parser.receive(b'\r\n'.join((*lines, b'', b'')))
    except errors.ConnectionBroken:
        return
    for reply in parser.replies:
        head = h11.Response(status_code=reply.status, headers=reply.headers)
        assert all(v == v.strip(b' \t') for _, v in head.headers)


def test_response_to_head_has_no_body() -> None:
    """Guards against waiting for a body that the headers announce."""
    parser = reply_parser.ReplyParser(b'HEAD')
    parser.receive(b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n')
    assert [r.body for r in parser.replies] == [b'']
    assert not parser.reusable


def test_response_without_length_ends_at_end_of_stream() -> None:
    """Guards against reporting a response before its body has ended.

    The response has no length, so that more of its body may follow until
    the connection is closed.
    """
    parser = reply_parser.ReplyParser(b'GET')
    parser.receive(b'HTTP/1.1 200 OK\r\n\r\nall ')
    parser.receive(b'of it')
    assert parser.replies == []
    parser.receive(b'')
    assert [r.body for r in parser.replies] == [b'all of it']
    assert not parser.reusable


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok',
        _CHUNKED[:-5],
        b'no answer\r\n\r\n',
        b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n',
        b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n'
        b'transfer-encoding: chunked\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nx-id : q1\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nx-id: q1\r\n \r\n\r\n',
        b'HTTP/1.1 200 OK\r\n \r\nx-id: q1\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nx-long: ' + 70_000 * b'x' + b'\r\n\r\n',
        b'HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n',
    ],
)
def test_incomplete_or_invalid_response(content: bytes) -> None:
    """Guards against reporting a partial response as complete."""
    parser = reply_parser.ReplyParser(b'GET')
    with pytest.raises(errors.ConnectionBroken):
        if content:
            parser.receive(content)
        parser.receive(b'')
    assert parser.replies == []


_UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Id: q1\r\n\r\n'


@pytest.mark.parametrize('head', [_UNFRAMED, _PLAIN[:-2], _CHUNKED[:47]])
def test_head_that_ends_early_is_not_a_response(head: bytes) -> None:
    """Guards against a 200 with an empty body that nobody has sent."""
    assert head.endswith(b'\r\n\r\n')
    for length in range(len(head)):
        parser = reply_parser.ReplyParser(b'GET')
        with pytest.raises(errors.ConnectionBroken):
            if length:
                parser.receive(head[:length])
            parser.receive(b'')
        assert parser.replies == []


def test_oversized_response_is_rejected() -> None:
    """Guards against a server that makes this host run out of memory.

    The response announces no length, so that its size shows only as it
    arrives.
    """
    parser = reply_parser.ReplyParser(b'GET')
    parser.receive(b'HTTP/1.1 200 OK\r\n\r\n')
    piece = 1024 * 1024 * b'x'
    with pytest.raises(errors.ConnectionBroken):
        for _ in range(17):
            parser.receive(piece)


def test_closed_parser_is_freed_at_once() -> None:
    """Guards against incomplete bodies that wait for a collection of cycles.

    Their bytes are no longer charged when the exchange ends.
    """
    gc.disable()
    try:
        parser = reply_parser.ReplyParser(b'GET')
        parser.receive(_PLAIN[:-1])
        freed = weakref.ref(parser)
        parser.close()
        del parser
        assert freed() is None
    finally:
        gc.enable()
