"""Hypothesis grammars of HTTP messages, valid and malformed."""

import collections.abc
import re

import attrs
from hypothesis import strategies

__all__ = [
    'Framed',
    'Fields',
    'divisions',
    'malformed_replies',
    'malformed_requests',
    'replies',
    'requests',
]

_TOKEN = b"!#$%&'*+-.^_`|~0123456789abcXYZ"
_SPACE = b' \t'
_VISIBLE = b'!",:;=(){}<>@\\/[]?aZ0~\x80\xa0\xff'
_PATH = b"abcXYZ019-._~!$&'()*+,;=:@/"
_QUERY = _PATH + b'?'
_LINE_END = b'\r\n'
_CUTS = 4


def _bytes(
    alphabet: bytes, least: int = 0, most: int = 6
) -> strategies.SearchStrategy[bytes]:
    # One draw for all bytes takes less time than one for each.
    return strategies.binary(min_size=least, max_size=most).map(
        lambda drawn: bytes(alphabet[n % len(alphabet)] for n in drawn)
    )


@attrs.frozen
class Fields:
    """Header fields as they are sent, and as they are read."""

    lines: bytes
    values: tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class Framed:
    """A message as it is sent, and what the other side has to get."""

    content: bytes
    # Length of the head within the content.
    head_bytes: int
    start: bytes
    values: tuple[tuple[bytes, bytes], ...]
    body: bytes
    # Whether the end of the connection ends the body.
    ends: bool = False


@strategies.composite
def _value(draw: strategies.DrawFn) -> tuple[bytes, bytes]:
    """Return a value as it is sent and as it is read."""
    words = draw(strategies.lists(_bytes(_VISIBLE, 1, 4), max_size=3))
    sent, read = b'', b''
    for number, word in enumerate(words):
        if number == 0:
            gap, meaning = b'', b''
        elif draw(strategies.booleans()):
            gap = meaning = draw(_bytes(_SPACE, 1, 2))
        else:
            gap = _LINE_END + draw(_bytes(_SPACE, 1, 2))
            meaning = b' '
        sent, read = sent + gap + word, read + meaning + word
    before, after = draw(_bytes(_SPACE, 0, 2)), draw(_bytes(_SPACE, 0, 2))
    return before + sent + after, read


@strategies.composite
def _fields(draw: strategies.DrawFn) -> Fields:
    """Return fields, of which a Connection field may name some."""
    lines, values = b'', []
    for suffix, (sent, read) in draw(
        strategies.lists(
            strategies.tuples(_bytes(_TOKEN), _value()), max_size=3
        )
    ):
        name = b'Xt' + suffix
        lines += name + b':' + sent + _LINE_END
        values.append((name.lower(), read))
    if values and draw(strategies.booleans()):
        listed = draw(strategies.sampled_from(values))[0]
        lines += b'Connection: keep-alive ,' + listed.upper() + _LINE_END
        values = [value for value in values if value[0] != listed]
    return Fields(lines, tuple(values))


@strategies.composite
def _chunks(draw: strategies.DrawFn, body: bytes) -> bytes:
    """Return a body in chunks, with extensions and trailers."""
    sent, at = b'', 0
    while at < len(body):
        size = draw(strategies.integers(1, len(body) - at))
        zeros = b'0' * draw(strategies.integers(0, 3))
        extension = draw(
            strategies.sampled_from([b'', b';a', b';a=b', b';a="b c";d'])
        )
        sent += zeros + b'%X' % size + extension + _LINE_END
        sent += body[at : at + size] + _LINE_END
        at += size
    trailers = draw(strategies.sampled_from([b'', b'Xt-late: 1\r\n']))
    return sent + b'0' + _LINE_END + trailers + _LINE_END


@strategies.composite
def _framing(
    draw: strategies.DrawFn, body: bytes, chunks: bool, unframed: bool
) -> tuple[bytes, bytes]:
    """Return the fields that frame a body, and the body as it is sent."""
    length = b'%d' % len(body)
    forms = [b'Content-Length: %s\r\n', b'content-length:0%s \t\r\n',
             b'Content-Length: %s, %s\r\n',
             b'CONTENT-LENGTH:%s\r\nContent-Length: %s\r\n']  # fmt: skip
    choices = [form.replace(b'%s', length) for form in forms] + [
        b'Transfer-Encoding: Chunked\t\r\n'
    ] * (2 if chunks else 0)
    if unframed:
        choices += [b'', b'Transfer-Encoding: identity\r\n']
    lines = draw(strategies.sampled_from(choices))
    if b'Chunked' in lines:
        return lines, draw(_chunks(body))
    return lines, body


@strategies.composite
def requests(draw: strategies.DrawFn, prefix: bytes, host: bytes) -> Framed:
    """Return a valid request for a path below a prefix."""
    method = draw(
        strategies.sampled_from([b'GET', b'POST', b'PUT', b'DELETE'])
        | _bytes(_TOKEN, 1, 4).map(lambda token: b'X' + token)
    )
    target = prefix + draw(_bytes(_PATH))
    if draw(strategies.booleans()):
        target += b'?' + draw(_bytes(_QUERY))
    old = draw(strategies.booleans()) and draw(strategies.booleans())
    fields, body = draw(_fields()), draw(strategies.binary(max_size=40))
    lines, sent = draw(_framing(body, chunks=not old, unframed=not body))
    if b'identity' in lines:
        lines = b''
    absolute = draw(strategies.booleans())
    head = _LINE_END * draw(strategies.integers(0, 2))
    head += method + b' ' + (b'http://' + host if absolute else b'') + target
    head += b' HTTP/1.0\r\n' if old else b' HTTP/1.1\r\n'
    head += b'Host:' + (b'other' if absolute else host) + _LINE_END
    if draw(strategies.booleans()):
        head += lines + fields.lines + _LINE_END
    else:
        head += fields.lines + lines + _LINE_END
    start = method + b' ' + target + b' HTTP/1.1'
    return Framed(head + sent, len(head), start, fields.values, body)


@strategies.composite
def replies(draw: strategies.DrawFn, extra: bytes) -> Framed:
    """Return a valid reply; its start is the status.

    :param extra: lines of fields that it has to have.
    """
    status = draw(
        strategies.sampled_from([200, 201, 204, 206, 302, 304, 404, 410])
    )
    old = draw(strategies.booleans()) and draw(strategies.booleans())
    fields, body = draw(_fields()), draw(strategies.binary(max_size=40))
    lines, sent = draw(_framing(body, chunks=not old, unframed=True))
    if status in (204, 304):
        lines, sent, body = b'', b'', b''
    interim = b''.join(
        b'HTTP/1.1 %d Early\r\n' % code + draw(_fields()).lines + _LINE_END
        for code in draw(
            strategies.lists(
                strategies.sampled_from([100, 102, 103]), max_size=2
            )
        )
    )
    head = _LINE_END * draw(strategies.integers(0, 1)) + interim
    head += b'HTTP/1.0 ' if old else b'HTTP/1.1 '
    head += b'%d' % status
    head += draw(strategies.sampled_from([b'', b' ', b' OK', b' \xc3\xa4 b']))
    head += _LINE_END + extra + lines + fields.lines + _LINE_END
    ends = old or status not in (204, 304) and b'ength' not in (
        lines.lower()
    ) and b'hunked' not in lines  # fmt: skip
    return Framed(
        head + sent, len(head), b'%d' % status, fields.values, body, ends
    )


Mutation = collections.abc.Callable[[strategies.DrawFn, Framed], bytes]


def _insert(draw: strategies.DrawFn, message: Framed) -> bytes:
    """Insert a bare CR, a bare LF or NUL into the head."""
    at = draw(strategies.integers(0, message.head_bytes - 1))
    byte = draw(strategies.sampled_from([b'\r', b'\n', b'\0']))
    return message.content[:at] + byte + message.content[at:]


def _space_before_colon(draw: strategies.DrawFn, message: Framed) -> bytes:
    head, body = _split(message)
    at = head.rindex(_LINE_END * 2) + len(_LINE_END)
    space = draw(_bytes(_SPACE, 1, 2))
    return head[:at] + b'Xt' + space + b': a\r\n' + head[at:] + body


def _two_lengths(draw: strategies.DrawFn, message: Framed) -> bytes:
    """Add a length to a framing that it contradicts."""
    head, body = _split(message)
    at = head.rindex(_LINE_END * 2) + len(_LINE_END)
    lengths = [b'Content-Length: 1%d\r\n' % len(message.body)]
    if re.search(rb'(?i)\r\ncontent-length:', head):
        lengths.append(b'Transfer-Encoding: chunked\r\n')
    else:
        lengths.append(b'Transfer-Encoding: gzip, chunked\r\n')
    added = draw(strategies.sampled_from(lengths))
    if not re.search(rb'(?i)\r\n(content-length|transfer-encoding):', head):
        added += b'Content-Length: 2%d\r\n' % len(message.body)
    return head[:at] + added + head[at:] + body


def _chunk_size(draw: strategies.DrawFn, message: Framed) -> bytes:
    """Replace the body by chunks, one of which has a malformed size."""
    size = draw(
        strategies.sampled_from(
            [b'+2', b'-2', b'0x2', b' 2', b'', b'2;a\n', b'2\n', b'2;\r;',
             b'2\r', b'g', b'1' * 17]
        )
    )  # fmt: skip
    head, _ = _split(message)
    start = head[: head.index(_LINE_END, len(head) - len(head.lstrip()))]
    start = re.sub(rb'HTTP/1\.0', b'HTTP/1.1', start)
    start = re.sub(rb' (204|304)\b', b' 200', start)
    fields = b'\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n'
    before = draw(strategies.sampled_from([b'', b'1\r\na\r\n']))
    return start + fields + before + size + b'\r\nab\r\n0\r\n\r\n'


def _split(message: Framed) -> tuple[bytes, bytes]:
    at = message.head_bytes
    return message.content[:at], message.content[at:]


_MUTATIONS: list[Mutation] = [
    _insert,
    _space_before_colon,
    _two_lengths,
    _chunk_size,
]


@strategies.composite
def malformed_requests(
    draw: strategies.DrawFn, prefix: bytes, host: bytes
) -> bytes:
    """Return a request with one fault."""
    message = draw(requests(prefix, host))
    return draw(strategies.sampled_from(_MUTATIONS))(draw, message)


@strategies.composite
def malformed_replies(draw: strategies.DrawFn, extra: bytes) -> bytes:
    """Return a reply with one fault in its head or its chunks."""
    message = draw(replies(extra))
    return draw(strategies.sampled_from(_MUTATIONS))(draw, message)


@strategies.composite
def divisions(draw: strategies.DrawFn, content: bytes) -> list[bytes]:
    """Return the content in pieces, each of which is sent alone."""
    cuts = draw(
        strategies.lists(
            strategies.integers(1, max(1, len(content) - 1)), max_size=_CUTS
        )
    )
    bounds = [0, *sorted(set(cuts)), len(content)]
    return [
        content[start:end]
        for start, end in zip(bounds, bounds[1:], strict=False)
        if start < end
    ]
