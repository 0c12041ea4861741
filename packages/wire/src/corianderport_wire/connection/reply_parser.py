"""corianderport_wire.connection.reply_parser

Reads the answers that arrive on one connection, one after the other.
"""

import attrs
import httptools

from corianderport_tier import errors

__all__ = ['HttpReply', 'ReplyParser']

Headers = tuple[tuple[bytes, bytes], ...]

_MOST_HEADER_BYTES = 65_536
_MOST_BODY_BYTES = 16 * 1024 * 1024
_CONTENT_LENGTH = b'content-length'
_TRANSFER_ENCODING = b'transfer-encoding'
_HEAD = b'HEAD'


@attrs.frozen
class HttpReply:
    """A whole answer; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, by its name in lower case."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


class ReplyParser:
    """Collects answers from the bytes of a connection.

    The methods whose names begin with ``on_`` are called by httptools.

    :param method: method of the request; an answer to HEAD has no body,
        whatever its headers say.
    """

    def __init__(self, method: bytes) -> None:
        self._bodiless = method == _HEAD
        self._parser = httptools.HttpResponseParser(self)
        self._replies: list[HttpReply] = []
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._in_message = False
        self._in_body = False
        self._keep_alive = True
        self._broken = False

    @property
    def replies(self) -> list[HttpReply]:
        """The whole answers that have arrived; the caller removes them."""
        return self._replies

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return self._keep_alive and not self._in_message and not self._broken

    def receive(self, content: bytes) -> None:
        """Take the next bytes; none are the end of the connection.

        :raises ConnectionBroken: what arrived is no answer, or ends early.
        """
        if not content:
            self._end()
            return
        try:
            self._parser.feed_data(content)
        except httptools.HttpParserUpgrade as error:
            raise errors.ConnectionBroken('the protocol changes') from error
        except httptools.HttpParserError as error:
            # What follows a whole answer does not make it less whole.
            self._broken = True
            if not self._replies:
                raise errors.ConnectionBroken(str(error)) from error

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._in_message = True
        self._headers = []
        self._body = []
        self._header_bytes = self._body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; one after the body is a trailer and left out."""
        if self._in_body:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > _MOST_HEADER_BYTES:
            raise errors.ConnectionBroken('the headers are too long')
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note what follows the headers."""
        self._in_body = True
        if self._bodiless and self._parser.get_status_code() >= 200:
            self._complete()
            # The parser waits for a body that does not come.
            self._broken = True

    def on_body(self, content: bytes) -> None:
        """Add a piece of the body."""
        self._body_bytes += len(content)
        if self._body_bytes > _MOST_BODY_BYTES:
            raise errors.ConnectionBroken('the answer is too long')
        self._body.append(content)

    def on_message_complete(self) -> None:
        """End an answer; informational ones are not for the caller."""
        if not self._in_message:
            return
        if self._parser.get_status_code() < 200:
            self._in_message = self._in_body = False
            return
        self._complete()

    def _complete(self) -> None:
        self._in_message = self._in_body = False
        self._keep_alive = bool(self._parser.should_keep_alive())
        self._replies.append(
            HttpReply(
                self._parser.get_status_code(),
                tuple(self._headers),
                b''.join(self._body),
            )
        )

    def _end(self) -> None:
        names = {name for name, _ in self._headers}
        unframed = not names & {_CONTENT_LENGTH, _TRANSFER_ENCODING}
        if not (self._in_body and unframed):
            raise errors.ConnectionBroken('closed without an answer')
        self._complete()
        self._keep_alive = False
