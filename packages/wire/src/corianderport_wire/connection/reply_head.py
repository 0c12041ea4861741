"""corianderport_wire.connection.reply_head

Rewrites heads of replies that httptools and h11 read differently.
"""

from corianderport_tier import errors

__all__ = ['HEAD_END', 'check_fields', 'normalized']

HEAD_END = b'\r\n\r\n'
# httptools accepts HTTP/2.0 too.
_VERSIONS = (b'HTTP/1.1 ', b'HTTP/1.0 ')
_LINE_END = b'\r\n'
_WHITE_SPACE = b' \t'
_LENGTH = b'content-length'
_LENGTH_START = b'\r\ncontent-length:'
_CODING = b'transfer-encoding'
_CODING_START = b'\r\ntransfer-encoding'
_CHUNKED = b'chunked'
_CHUNKED_LINE = b'\r\ntransfer-encoding: chunked\r\n'
_UNSUPPORTED = 'unsupported transfer coding'
_NO_CODING = b'identity'


def normalized(head: bytes) -> bytes:
    """Return the head of a reply as httptools has to read it.

    httptools keeps white space at the end of a header line, which is no part
    of the value, and then does not recognize values such as ``chunked``. It
    refuses lines that continue the one before, and repeated equal lengths.

    :raises ReplyInvalid: the reply is not of HTTP/1, has NUL in its head, or
        has a body with a coding that this host does not decode.
    """
    if not head.startswith(_VERSIONS):
        raise errors.ReplyInvalid('not a reply of HTTP/1')
    if b'\0' in head:
        # httptools permits it in the reason phrase.
        raise errors.ReplyInvalid('NUL in the head')
    if not _is_unusual(head):
        return head
    start, *lines = head[: -len(HEAD_END)].split(_LINE_END)
    fields = _with_one_length(_unfolded(lines))
    fields = _with_known_coding(fields, start)
    return _LINE_END.join((start.rstrip(_WHITE_SPACE), *fields, b'', b''))


def check_fields(fields: list[tuple[bytes, bytes]]) -> None:
    """Check the fields of a head that was not normalized.

    :raises ReplyInvalid: the body has a coding that this host does not
        decode.
    """
    codings = [value.lower() for name, value in fields if name == _CODING]
    if codings not in ([], [_CHUNKED]):
        raise errors.ReplyInvalid(_UNSUPPORTED)


def _is_unusual(head: bytes) -> bool:
    """Whether a line is padded or folded, or the framing is to be checked."""
    if (
        b' \r\n' in head
        or b'\t\r\n' in head
        or b'\r\n ' in head
        or b'\r\n\t' in head
    ):
        return True
    lower = head.lower()
    coding = lower.find(_CODING_START)
    if coding >= 0:
        usual = lower.startswith(_CHUNKED_LINE, coding)
        repeated = lower.find(_CODING_START, coding + 1) >= 0
        return repeated or not (usual and head.startswith(_VERSIONS[0]))
    start = lower.find(_LENGTH_START)
    if start < 0:
        return False
    end = lower.find(_LINE_END, start + len(_LENGTH_START))
    return b',' in lower[start:end] or lower.find(_LENGTH_START, end) >= 0


def _unfolded(lines: list[bytes]) -> list[bytes]:
    """Return one line for each field, without white space at its end.

    A line that continues nothing or is empty is kept, so that httptools
    refuses it: without white space, it could be the end of the head.
    """
    fields: list[bytes] = []
    for line in lines:
        content = line.rstrip(_WHITE_SPACE)
        if not line.startswith((b' ', b'\t')):
            fields.append(content)
        elif content and fields:
            fields[-1] += b' ' + content.lstrip(_WHITE_SPACE)
        else:
            fields.append(line)
    return fields


def _with_one_length(fields: list[bytes]) -> list[bytes]:
    """Return the fields with one of several equal lengths.

    Unequal ones are kept, so that httptools refuses them.
    """
    lengths = _values(fields, _LENGTH)
    if len(lengths) < 2 or len(set(lengths)) > 1:
        return fields
    return [b'%s: %s' % (_LENGTH, lengths[0]), *_without(fields, _LENGTH)]


def _with_known_coding(fields: list[bytes], start: bytes) -> list[bytes]:
    """Return the fields without the coding that means none.

    Bodies with other codings than chunks are refused.

    The coding is not passed on, so that the caller could not undo it.
    HTTP/1.0 has no chunks: its recipients read until the connection ends.
    """
    codings = [value.lower() for value in _values(fields, _CODING)]
    if not codings:
        return fields
    if codings == [_NO_CODING] and not _values(fields, _LENGTH):
        # Earlier versions of HTTP had it. The connection ends the body.
        return _without(fields, _CODING)
    if codings != [_CHUNKED] or not start.startswith(_VERSIONS[0]):
        raise errors.ReplyInvalid(_UNSUPPORTED)
    return fields


def _values(fields: list[bytes], name: bytes) -> list[bytes]:
    return [
        value.strip(_WHITE_SPACE)
        for field in fields
        if _name(field) == name
        for value in field.partition(b':')[2].split(b',')
    ]


def _without(fields: list[bytes], name: bytes) -> list[bytes]:
    return [field for field in fields if _name(field) != name]


def _name(field: bytes) -> bytes:
    return field.partition(b':')[0].lower()
