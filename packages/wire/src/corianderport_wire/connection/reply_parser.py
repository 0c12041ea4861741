"""corianderport_wire.connection.reply_parser

Parses the responses that arrive on one connection.
"""

import io
import re

import attrs
import httptools

from corianderport_tier import errors
from corianderport_wire.connection import reply_allowance
from corianderport_wire.connection import reply_head

__all__ = ['HttpReply', 'ReplyParser']

Headers = tuple[tuple[bytes, bytes], ...]

_MAX_HEADER_BYTES = 65_536
_MAX_BODY_BYTES = 16 * 1024 * 1024
_CONTENT_LENGTH = b'content-length'
_TRANSFER_ENCODING = b'transfer-encoding'
_HEAD = b'HEAD'
# httptools accepts smaller numbers, which are no interim responses either.
_MIN_STATUS = 100
_LINE_END = b'\r\n'
_EMPTY_LINES = re.compile(rb'(?:\r\n)+')
_WHITE_SPACE = b' \t'


@attrs.frozen
class HttpReply:
    """A complete response; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, named in lower case."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None


class ReplyParser:
    """Assembles responses from the bytes of a connection.

    The methods whose names begin with ``on_`` are httptools callbacks.

    :param method: method of the request; the response to HEAD has no body,
        whatever its headers say.
    :param allowance: limits the bytes and reads of all responses.
    """

    def __init__(
        self,
        method: bytes,
        allowance: reply_allowance.ReplyAllowance | None = None,
    ) -> None:
        self._allowance = allowance or reply_allowance.ReplyAllowance()
        self._bodiless = method == _HEAD
        self._parser = httptools.HttpResponseParser(self)
        self._replies: list[HttpReply] = []
        self._head = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body = io.BytesIO()
        self._body_bytes = 0
        # False while the parser reads the head of another response that
        # followed a body in the same read.
        self._head_normalized = False
        self._in_message = False
        self._in_body = False
        self._keep_alive = True
        self._broken = False
        self._invalid: errors.ReplyInvalid | None = None

    @property
    def replies(self) -> list[HttpReply]:
        """Complete responses so far; the user of the parser removes them."""
        return self._replies

    @property
    def invalid(self) -> errors.ReplyInvalid | None:
        """Why the bytes after a complete response are no response."""
        return self._invalid

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request."""
        # An incomplete head belongs to no request.
        unread = self._in_message or self._head
        return self._keep_alive and not unread and not self._broken

    def receive(self, content: bytes) -> None:
        """Parse the next bytes; an empty value means end of stream.

        :raises ReplyInvalid: the bytes are not a valid response or exceed a
            limit.
        :raises ConnectionBroken: the stream ends before the response is
            complete.
        """
        if not content:
            self._receive_eof()
            return
        self._allowance.count_read(len(content))
        if self._in_message:
            self._parse(content)
        else:
            self._receive_head(content)
        if not self._replies:
            self._allowance.check_overhead()

    def close(self) -> None:
        """Release an incomplete response.

        httptools refers back to this object, so that only the collection of
        cycles would free them.
        """
        self._body = io.BytesIO()
        self._headers = []
        self._head = b''
        del self._parser

    def on_message_begin(self) -> None:
        """Start a new response."""
        self._in_message = True
        self._headers = []
        self._body = io.BytesIO()
        self._header_bytes = self._body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailer fields after the body are ignored."""
        if self._in_body:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > _MAX_HEADER_BYTES:
            raise errors.ReplyInvalid('response headers are too large')
        self._headers.append((name.lower(), value.rstrip(_WHITE_SPACE)))

    def on_headers_complete(self) -> None:
        """Expect the body, or complete a response that has none."""
        self._in_body = True
        if self._parser.get_status_code() < _MIN_STATUS:
            raise errors.ReplyInvalid('invalid status')
        if not self._head_normalized:
            reply_head.check_fields(self._headers)
        if self._bodiless and self._parser.get_status_code() >= 200:
            self._complete()
            # httptools still waits for the announced body, so that the
            # connection cannot be reused.
            self._broken = True

    def on_body(self, content: bytes) -> None:
        """Add a chunk of the body."""
        self._allowance.count_body(len(content))
        self._body_bytes += len(content)
        if self._body_bytes > _MAX_BODY_BYTES:
            raise errors.ReplyTooLarge('response body is too large')
        self._body.write(content)

    def on_message_complete(self) -> None:
        """Complete a response; skip informational (1xx) responses."""
        if not self._in_message:
            return
        if self._parser.get_status_code() < 200:
            self._in_message = self._in_body = False
            return
        self._complete()

    def _receive_head(self, content: bytes) -> None:
        """Parse complete heads until one has a body, and what follows it."""
        self._head += content
        while self._head and not (self._in_message or self._broken):
            if self._head.startswith(_LINE_END):
                self._head = _EMPTY_LINES.sub(b'', self._head, count=1)
            end = self._head.find(reply_head.HEAD_END)
            if end < 0:
                self._check_line_ends()
                return
            end += len(reply_head.HEAD_END)
            head, self._head = self._head[:end], self._head[end:]
            self._parse_head(head)
        if self._in_message:
            rest, self._head = self._head, b''
            if rest:
                self._parse(rest)

    def _check_line_ends(self) -> None:
        """Refuse a head whose end is not going to be found.

        A server that ends lines otherwise would be taken for a slow one.
        """
        lines = self._head.count(_LINE_END)
        returns = self._head.count(b'\r') - self._head.endswith(b'\r')
        if self._head.count(b'\n') != lines or returns != lines:
            self._refuse(errors.ReplyInvalid('a line does not end in CR LF'))

    def _parse_head(self, head: bytes) -> None:
        try:
            head = reply_head.normalized(head)
        except errors.ReplyInvalid as error:
            self._refuse(error)
            return
        self._head_normalized = True
        self._parse(head)
        self._head_normalized = False

    def _parse(self, content: bytes) -> None:
        try:
            self._parser.feed_data(content)
        except (
            httptools.HttpParserUpgrade,
            httptools.HttpParserError,
        ) as error:
            self._refuse(_reason(error))

    def _refuse(self, error: errors.ReplyInvalid) -> None:
        """Raise an error unless a response is complete.

        Invalid bytes after a complete response rule out reuse, but do not
        invalidate that response.
        """
        self._broken = True
        if not self._replies:
            raise error
        self._invalid = error

    def _complete(self) -> None:
        self._in_message = self._in_body = False
        self._keep_alive = bool(self._parser.should_keep_alive())
        self._replies.append(
            HttpReply(
                self._parser.get_status_code(),
                tuple(self._headers),
                # The buffer is returned without a copy.
                self._body.getvalue(),
            )
        )
        self._body = io.BytesIO()

    def _receive_eof(self) -> None:
        names = {name for name, _ in self._headers}
        unframed = not names & {_CONTENT_LENGTH, _TRANSFER_ENCODING}
        if not (self._in_body and unframed):
            raise errors.ConnectionBroken('closed before a complete response')
        self._complete()
        self._keep_alive = False


def _reason(error: Exception) -> errors.ReplyInvalid:
    if isinstance(error.__context__, errors.ReplyInvalid):
        # Raised by one of the callbacks.
        return error.__context__
    if isinstance(error, httptools.HttpParserUpgrade):
        return errors.ReplyInvalid('protocol upgrade')
    return errors.ReplyInvalid(str(error))
