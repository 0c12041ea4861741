"""corianderport_wire.connection.request_framing

Refuses framing that h11 accepts and other parsers may read differently.

A request that two parsers divide differently can carry another request past
the first one.
"""

import re

from corianderport_wire.connection import caller_messages

__all__ = ['BAD_REQUEST', 'HeadBytes', 'check_head']

BAD_REQUEST = 400
_VERSION_NOT_SUPPORTED = 505
_EMPTY_LINE = b'\r\n'
_HEAD_END = b'\r\n\r\n'
# Bytes of a head end that may have arrived with an earlier read.
_HEAD_END_OVERLAP = 2
_BARE_LINE_BREAK = re.compile(rb'(?<!\r)\n|\r(?!\n)')


class HeadBytes:
    """Separates the head of a request from what precedes and follows it.

    Empty lines before the request are counted and left out.
    """

    def __init__(self) -> None:
        self._begun = False
        # A CR whose next byte has not arrived yet.
        self._held = b''
        self._tail = b''
        self.count = 0

    def take(self, received: bytes) -> tuple[bytes, bytes | None]:
        """Return further bytes of the head, and the bytes after its end.

        The latter is None while the head is incomplete.

        :raises RequestRejected: a line of the head does not end with CR LF.
        """
        content = self._held + received
        self._held = b''
        if not self._begun:
            content = self._without_empty_lines(content)
        searched = self._tail + content
        end = searched.find(_HEAD_END)
        if end >= 0:
            end += len(_HEAD_END) - len(self._tail)
            head, after = content[:end], content[end:]
        else:
            head, after = content, None
            if head.endswith(b'\r'):
                head, self._held = head[:-1], b'\r'
            self._tail = (self._tail + head)[-_HEAD_END_OVERLAP:]
        if _BARE_LINE_BREAK.search(head):
            raise caller_messages.RequestRejected(BAD_REQUEST)
        self.count += len(head)
        return head, after

    def _without_empty_lines(self, content: bytes) -> bytes:
        at = 0
        while content.startswith(_EMPTY_LINE, at):
            at += len(_EMPTY_LINE)
        self.count += at
        self._begun = content[at:] not in (b'', b'\r')
        return content[at:]


def check_head(head: caller_messages.RequestHead, version: bytes) -> bool:
    """Check the framing of a request; return whether its body is chunked.

    :param version: of HTTP, such as ``1.1``.
    :raises RequestRejected: the framing is ambiguous, or the version is not
        supported.
    """
    if not version.startswith(b'1.'):
        raise caller_messages.RequestRejected(_VERSION_NOT_SUPPORTED)
    names = {name for name, _ in head.headers}
    if b'transfer-encoding' not in names:
        return False
    # HTTP/1.0 has no chunks: a recipient of that version reads no body.
    if b'content-length' in names or version == b'1.0':
        raise caller_messages.RequestRejected(BAD_REQUEST)
    return True
