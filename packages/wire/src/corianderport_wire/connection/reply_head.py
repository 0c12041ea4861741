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
_PADDED_ENDINGS = (b' \r\n', b'\t\r\n')


def normalized(head: bytes) -> bytes:
    """Return the head of a reply as httptools has to read it.

    httptools keeps white space at the end of a header line, which is no part
    of the value, and then does not recognize values such as ``chunked``.

    :raises ReplyInvalid: the reply is not of HTTP/1.
    """
    if not head.startswith(_VERSIONS):
        raise errors.ReplyInvalid('not a reply of HTTP/1')
    if not any(ending in head for ending in _PADDED_ENDINGS):
        return head
    lines = head[: -len(HEAD_END)].split(_LINE_END)
    return _LINE_END.join((*map(_strip_line_end, lines), b'', b''))


def _strip_line_end(line: bytes) -> bytes:
    if line.startswith((b' ', b'\t')):
        # Continues the line before, which the parser refuses. Stripped, it
        # could be the empty line that ends the head.
        return line
    return line.rstrip(_WHITE_SPACE)
