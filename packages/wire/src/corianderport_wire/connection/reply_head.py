"""corianderport_wire.connection.reply_head

Rewrites heads of replies that httptools and h11 read differently.
"""

from corianderport_tier import errors

__all__ = ['HEAD_END', 'normalized']

HEAD_END = b'\r\n\r\n'
# httptools accepts HTTP/2.0 too.
_VERSIONS = (b'HTTP/1.1 ', b'HTTP/1.0 ')
_LINE_END = b'\r\n'
_WHITE_SPACE = b' \t'
# Padded and folded lines.
_UNUSUAL = (b' \r\n', b'\t\r\n', b'\r\n ', b'\r\n\t')


def normalized(head: bytes) -> bytes:
    """Return the head of a reply as httptools has to read it.

    httptools keeps white space at the end of a header line, which is no part
    of the value, and then does not recognize values such as ``chunked``. It
    refuses lines that continue the one before.

    :raises ReplyInvalid: the reply is not of HTTP/1.
    """
    if not head.startswith(_VERSIONS):
        raise errors.ReplyInvalid('not a reply of HTTP/1')
    if any(mark in head for mark in _UNUSUAL):
        start, *lines = head[: -len(HEAD_END)].split(_LINE_END)
        fields = _unfolded(lines)
        head = _LINE_END.join((start.rstrip(_WHITE_SPACE), *fields, b'', b''))
    return head


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
