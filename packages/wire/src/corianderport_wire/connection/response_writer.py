"""corianderport_wire.connection.response_writer

Writes the responses on one connection of a caller.
"""

import collections.abc
import logging
import select
import socket

import attrs
import h11

from corianderport_tier import clocks
from corianderport_tier.connection import byte_charge
from corianderport_tier.process import limit_events
from corianderport_tier.process import link_bytes
from corianderport_tier.request import deadlines
from corianderport_wire.connection import byte_views
from corianderport_wire.connection import caller_messages
from corianderport_wire.connection import request_parser

__all__ = ['ResponseWriter', 'await_ready']

_LOG = logging.getLogger(__name__)
_BAD_GATEWAY = 502
# Sent in place of a response of which h11 has taken a part.
_LAST_RESPONSE = (
    b'HTTP/1.1 502 \r\ncontent-length: 0\r\nconnection: close\r\n\r\n'
)

HttpResponse = caller_messages.HttpResponse


@attrs.define
class ResponseWriter:
    """Writes responses on the task of their connection.

    :param charge: memory of a response that the caller does not read.
    :param on_stalled: called before each wait for the caller.
    :param link: counts the bytes.
    """

    connection: socket.socket
    charge: byte_charge.ByteCharge
    timeout_s: float
    events: limit_events.LimitEvents
    clock: clocks.Clock
    on_stalled: collections.abc.Callable[[], None]
    link: link_bytes.Link

    def respond(
        self,
        parser: request_parser.RequestParser,
        response: HttpResponse,
        closing: bool,
    ) -> None:
        """Write a response, or 502 in place of one that h11 refuses."""
        try:
            head = caller_messages.response_head(
                response, closing, parser.method
            )
        except h11.LocalProtocolError as error:
            self._record_replaced(error)
            response = HttpResponse(_BAD_GATEWAY, (), b'')
            head = caller_messages.response_head(
                response, closing, parser.method
            )
        events: list[h11.Event] = [head]
        if caller_messages.has_body(response, parser.method):
            events.append(h11.Data(data=response.body))
        events.append(h11.EndOfMessage())
        try:
            parts = parser.encode(*events)
        except h11.LocalProtocolError as error:
            self._record_replaced(error)
            parts = [_LAST_RESPONSE]
        self.write(parts)
        self.link.sent(0, 1)

    def write(self, parts: list[bytes]) -> None:
        """Write all parts.

        :raises TimeoutError: the caller does not read them in time.
        """
        deadline = deadlines.Deadline.after(self.clock, self.timeout_s)
        unsent = [memoryview(part) for part in parts]
        while True:
            try:
                sent_bytes = self.connection.sendmsg(unsent)
                self.link.sent(sent_bytes)
                unsent = byte_views.after(unsent, sent_bytes)
            except BlockingIOError:
                _LOG.debug('a caller does not read its response')
            if not unsent:
                self.charge.reduce_to(0)
                return
            self.on_stalled()
            if not self.charge.held:
                # The request has run, so that its response is not refused.
                self.charge.add_in_any_case(sum(map(len, parts)))
            if not await_ready(
                self.connection, select.POLLOUT, deadline, self.clock
            ):
                raise TimeoutError('a response was not read in time')

    def _record_replaced(self, error: h11.LocalProtocolError) -> None:
        self.events.record(
            'caller_response_replaced',
            f'a response that cannot be passed on is replaced: {error}',
        )


def await_ready(
    connection: socket.socket,
    event: int,
    deadline: deadlines.Deadline,
    clock: clocks.Clock,
) -> bool:
    """Wait until a socket is ready; return False at the deadline."""
    poll = select.poll()
    poll.register(connection, event)
    left_s = max(deadline.remaining(clock), 0.001)
    return bool(poll.poll(left_s * 1e3))
