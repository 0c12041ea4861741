"""RequestParser: heads and bodies are counted apart, however reads are cut."""

import random

import h11
import pytest

from corianderport_tier.version import routes
from corianderport_wire.connection import caller_messages
from corianderport_wire.connection import request_parser

_SEED = 20261206
_RANDOM_CUTS = 60
_SERVED = 200

_BODY = b'0123456789' * 9
_LENGTH_HEAD = b'POST /a?b=c HTTP/1.1\r\nhost: a\r\ncontent-length: 90\r\n\r\n'
_CHUNKED_HEAD = (
    b'POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
)
_CHUNKS = b''.join(
    b'%x\r\n%s\r\n' % (len(part), part)
    for part in (_BODY[:1], _BODY[1:40], _BODY[40:])
)
_SHORT_FIELDS = b''.join(b'%x:\r\n' % n for n in range(150))
_REQUESTS = {
    'length': (_LENGTH_HEAD, _BODY, _BODY),
    'chunked': (_CHUNKED_HEAD, _CHUNKS + b'0\r\n\r\n', _BODY),
    'trailers': (_CHUNKED_HEAD, _CHUNKS + b'0\r\nx: y\r\n\r\n', _BODY),
    'empty lines': (b'\r\n\r\n' + _LENGTH_HEAD, _BODY, _BODY),
    'no body': (b'GET / HTTP/1.1\r\nhost: a\r\n\r\n', b'', b''),
    'short fields': (
        b'GET / HTTP/1.1\r\nhost: a\r\n' + _SHORT_FIELDS + b'\r\n',
        b'',
        b'',
    ),
}


def _limits(head: int, body: int) -> routes.CallerLimits:
    return routes.CallerLimits(head, body, 1.0, 1.0)


def _parse(
    pieces: list[bytes], limits: routes.CallerLimits
) -> tuple[int, bytes, bytes]:
    """Return the verdict, the body and the bytes after the request."""
    parser = request_parser.RequestParser(limits)
    body = b''
    ended = False
    try:
        for piece in pieces:
            parser.feed(piece)
            while not ended and (event := parser.next_event()) is not None:
                if isinstance(event, h11.Data):
                    body += bytes(event.data)
                ended = ended or isinstance(event, h11.EndOfMessage)
    except caller_messages.RequestRejected as rejected:
        return rejected.status, b'', b''
    assert ended
    return _SERVED, body, parser.surplus


def _expected(head: int, body: int, limits: routes.CallerLimits) -> int:
    if head > limits.header_bytes:
        return 431
    return 413 if body > limits.body_bytes else _SERVED


def _random_pieces(content: bytes, rng: random.Random) -> list[bytes]:
    count = rng.randrange(1, min(len(content), 12))
    cuts = sorted(rng.sample(range(1, len(content)), count))
    return [
        content[start:end]
        for start, end in zip([0, *cuts], [*cuts, None], strict=True)
    ]


@pytest.mark.parametrize('name', _REQUESTS)
@pytest.mark.parametrize('head_margin', [-1, 0, 1, 4_000])
@pytest.mark.parametrize('body_margin', [-1, 0, 1, 4_000])
def test_verdict_does_not_depend_on_the_reads(
    name: str, head_margin: int, body_margin: int
) -> None:
    """Guards against counting bytes of a body as bytes of the head.

    The request is cut at every byte, into single bytes and at random. A body
    that arrived in the same read as its head was rejected with 431.
    """
    head, encoded, body = _REQUESTS[name]
    limits = _limits(len(head) + head_margin, max(0, len(body) + body_margin))
    content = head + encoded
    expected = _expected(len(head), len(body), limits)
    rng = random.Random(_SEED)
    divisions = [
        [content],
        [content[n : n + 1] for n in range(len(content))],
        *([content[:n], content[n:]] for n in range(1, len(content))),
        *(_random_pieces(content, rng) for _ in range(_RANDOM_CUTS)),
    ]
    for pieces in divisions:
        status, received, surplus = _parse(pieces, limits)
        assert (status, surplus) == (expected, b''), pieces
        assert expected != _SERVED or received == body, pieces


@pytest.mark.parametrize('name', _REQUESTS)
def test_bytes_after_a_request_belong_to_the_next_one(name: str) -> None:
    """Guards against losing or counting twice what is sent in advance.

    The bytes of the next request arrive in the read that ends this one, and
    are longer than both limits.
    """
    head, encoded, body = _REQUESTS[name]
    limits = _limits(len(head), len(body))
    surplus = b'z' * (len(head) + len(body) + 1)
    content = head + encoded
    for cut in range(len(content)):
        pieces = [content[:cut], content[cut:] + surplus]
        assert _parse([p for p in pieces if p], limits) == (
            _SERVED,
            body,
            surplus,
        )


def test_trailers_count_against_the_limit_of_the_head() -> None:
    """Guards against unlimited fields after the last chunk."""
    content = _CHUNKED_HEAD + b'0\r\n' + b'x: y\r\n' * 20 + b'\r\n'
    limits = _limits(len(_CHUNKED_HEAD), 0)
    assert _parse([content], limits)[0] == 431


def test_declared_length_is_checked_with_the_head() -> None:
    """Guards against waiting for a body that is rejected in any case."""
    status, _, _ = _parse([_LENGTH_HEAD], _limits(1_000, len(_BODY) - 1))
    assert status == 413


_BARE_LINE_BREAKS = {
    'everywhere': _LENGTH_HEAD.replace(b'\r\n', b'\n'),
    'first': b'\n' + _LENGTH_HEAD,
    'after an empty line': b'\r\n\n' + _LENGTH_HEAD,
    'in the middle': _LENGTH_HEAD.replace(b'\r\n', b'\n', 1),
    'at the end': _LENGTH_HEAD[:-2] + b'\n',
    'CR alone': _LENGTH_HEAD.replace(b'b=c', b'b\rc'),
    'CR twice': _LENGTH_HEAD.replace(b'\r\n', b'\r\r\n', 1),
}


@pytest.mark.parametrize('name', _BARE_LINE_BREAKS)
def test_bare_line_break_is_malformed(name: str) -> None:
    """Guards against a head that ends elsewhere for another parser.

    h11 takes a line feed alone for the end of a line. The empty first line
    once made a head that never ended for the parser.
    """
    content = _BARE_LINE_BREAKS[name] + _BODY
    pieces = [[content[:cut], content[cut:]] for cut in range(1, len(content))]
    for divided in (
        *pieces,
        [content[n : n + 1] for n in range(len(content))],
    ):
        assert _parse(divided, _limits(1_000, 1_000))[0] == 400
