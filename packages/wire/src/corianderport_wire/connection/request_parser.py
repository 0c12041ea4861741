"""corianderport_wire.connection.request_parser

Parses one request of a caller and enforces the size limits.

The verdict on a request does not depend on how its bytes are divided into
reads: the parser receives no byte after the head until the head is complete.
"""

import h11

from corianderport_tier.version import routes
from corianderport_wire.connection import caller_messages
from corianderport_wire.connection import request_framing
from corianderport_wire.connection import request_target

__all__ = ['Event', 'RequestParser']

# Bytes that one read may add to an incomplete line of a chunked body.
_MAX_READ_BYTES = 16_384
# Bytes of a header field besides its name and value.
_FIELD_SEPARATOR_BYTES = 4
_HEADERS_TOO_LARGE = 431
_BODY_TOO_LARGE = 413

RequestHead = caller_messages.RequestHead
Event = RequestHead | h11.Data | h11.EndOfMessage | h11.ConnectionClosed


class RequestParser:
    """Parses one request, and encodes the response to it.

    ``limits.header_bytes`` bounds the bytes from the request line to the
    empty line, and ``limits.body_bytes`` the bytes of the decoded body.
    """

    def __init__(self, limits: routes.CallerLimits) -> None:
        self._limits = limits
        self._protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits.header_bytes + _MAX_READ_BYTES,
        )
        self._head = request_framing.HeadBytes()
        # Bytes after the head, once it is complete.
        self._after_head: bytes | None = None
        self._chunk_lines: request_framing.ChunkLines | None = None
        self._body_bytes = 0
        # Method of the request; empty until its head is complete.
        self.method = b''

    @property
    def awaits_continue(self) -> bool:
        """Whether the caller waits for ``100 Continue``."""
        return self._protocol.they_are_waiting_for_100_continue

    @property
    def surplus(self) -> bytes:
        """Bytes received after the end of the request."""
        return self._protocol.trailing_data[0]

    @property
    def line_bytes(self) -> int:
        """Bytes of an incomplete line of the framing, held a second time."""
        lines = self._chunk_lines
        return 0 if lines is None else lines.line_bytes

    @property
    def incomplete_bytes(self) -> int:
        """Bytes of the framing that are held until they are complete."""
        lines = self._chunk_lines
        return 0 if lines is None else lines.incomplete_bytes

    @property
    def trailer_lines(self) -> int:
        """Number of lines of the trailers so far."""
        lines = self._chunk_lines
        return 0 if lines is None else lines.trailer_lines

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )

    def feed(self, received: bytes) -> None:
        """Add received bytes; none at the end of the connection.

        :raises RequestRejected: the head is malformed or too large.
        """
        if self._after_head is not None or not received:
            self._receive_body(received)
            return
        head, self._after_head = self._head.take(received)
        if self._head.count > self._limits.header_bytes:
            raise caller_messages.RequestRejected(_HEADERS_TOO_LARGE)
        if head:
            self._protocol.receive_data(head)

    def next_event(self) -> Event | None:
        """Return the next event, or None when more bytes are needed.

        :raises RequestRejected: the request is malformed or too large.
        """
        try:
            event = self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise caller_messages.RequestRejected(
                error.error_status_hint
            ) from error
        if isinstance(event, h11.Request):
            head = RequestHead(
                event.method, event.target, tuple(event.headers)
            )
            self.method = head.method
            if request_framing.check_head(head, event.http_version):
                self._chunk_lines = request_framing.ChunkLines()
            else:
                self._check_declared_length(head)
            after_head, self._after_head = self._after_head, b''
            if after_head:
                self._receive_body(after_head)
            return request_target.resolved(head)
        if isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            if self._body_bytes > self._limits.body_bytes:
                raise caller_messages.RequestRejected(_BODY_TOO_LARGE)
        elif isinstance(event, h11.EndOfMessage):
            if event.headers:
                self._check_trailers(event)
        elif not isinstance(event, h11.ConnectionClosed):
            return None
        return event

    def encode(self, *events: h11.Event) -> list[bytes]:
        """Return the bytes of a response or a part of it, without copies."""
        parts = [self._protocol.send(event) for event in events]
        return [part for part in parts if part]

    def _receive_body(self, received: bytes) -> None:
        if self._chunk_lines is not None:
            self._chunk_lines.check(received)
        self._protocol.receive_data(received)

    def _check_declared_length(self, head: RequestHead) -> None:
        """Reject a body before it arrives if its length is declared."""
        length = int(dict(head.headers).get(b'content-length', 0))
        if length > self._limits.body_bytes:
            raise caller_messages.RequestRejected(_BODY_TOO_LARGE)

    def _check_trailers(self, end: h11.EndOfMessage) -> None:
        size = sum(
            len(name) + len(value) + _FIELD_SEPARATOR_BYTES
            for name, value in end.headers
        )
        if size > self._limits.header_bytes:
            raise caller_messages.RequestRejected(_HEADERS_TOO_LARGE)
