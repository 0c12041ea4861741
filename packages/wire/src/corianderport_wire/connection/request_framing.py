"""corianderport_wire.connection.request_framing

Refuses framing that h11 accepts and other parsers may read differently.

A request that two parsers divide differently can carry another request past
the first one.
"""

import re

from corianderport_wire.connection import caller_messages

__all__ = ['BAD_REQUEST', 'ChunkLines', 'HeadBytes', 'check_head']

BAD_REQUEST = 400
_NOT_IMPLEMENTED = 501
_VERSION_NOT_SUPPORTED = 505
_EMPTY_LINE = b'\r\n'
_HEAD_END = b'\r\n\r\n'
# Bytes of a head end that may have arrived with an earlier read.
_HEAD_END_OVERLAP = 2
_BARE_LINE_BREAK = re.compile(rb'(?<!\r)\n|\r(?!\n)')
_CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]{1,16})[ \t]*(?:;|\r\n)')
# Bytes of a line end after the data of a chunk.
_CHUNK_END_BYTES = 2


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


class ChunkLines:
    """Checks the lines between the chunks of a body, and its trailers."""

    def __init__(self) -> None:
        self._line = b''
        # Bytes of the current chunk that have not arrived, with its line end.
        self._chunk_bytes = 0
        self._in_trailers = False
        self._ended = False
        # Lines of the trailer section, and their bytes.
        self.trailer_lines = 0
        self._trailer_bytes = 0

    @property
    def line_bytes(self) -> int:
        """Bytes of the incomplete line, which are held here."""
        return len(self._line)

    @property
    def incomplete_bytes(self) -> int:
        """Bytes that a parser holds until the line or trailers end."""
        return len(self._line) + self._trailer_bytes

    def check(self, received: bytes) -> None:
        """Check further bytes.

        :raises RequestRejected: a line does not end with CR LF, or is not
            the size of a chunk.
        """
        at = 0
        while at < len(received) and not self._ended:
            skipped = min(self._chunk_bytes, len(received) - at)
            self._chunk_bytes -= skipped
            at += skipped
            if self._chunk_bytes or at == len(received):
                return
            end = received.find(b'\n', at) + 1
            self._line += received[at : end or None]
            if not end:
                return
            self._check_line(self._line)
            self._line = b''
            at = end

    def _check_line(self, line: bytes) -> None:
        if _BARE_LINE_BREAK.search(line):
            raise caller_messages.RequestRejected(BAD_REQUEST)
        if self._in_trailers:
            self.trailer_lines += 1
            self._trailer_bytes += len(line)
            self._ended = line == _EMPTY_LINE
            return
        size = _CHUNK_SIZE.match(line)
        if size is None:
            raise caller_messages.RequestRejected(BAD_REQUEST)
        self._chunk_bytes = int(size[1], 16)
        if self._chunk_bytes:
            self._chunk_bytes += _CHUNK_END_BYTES
        else:
            self._in_trailers = True


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
