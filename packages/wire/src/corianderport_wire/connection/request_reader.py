"""corianderport_wire.connection.request_reader

Receives one request of a caller within its limits and its budget.
"""

import collections.abc
import io

import h11

from corianderport_tier import clocks
from corianderport_tier.connection import byte_charge
from corianderport_tier.request import deadlines
from corianderport_tier.version import routes
from corianderport_wire.connection import caller_messages
from corianderport_wire.connection import request_parser

__all__ = ['CallerBytes', 'RequestReader']

# Size of a header field's objects besides its bytes: two byte strings of 33
# bytes and more, two tuples and their list slots.
_FIELD_BYTES = 300
# A buffer grows in steps of an eighth of its size.
_BUFFER_GROWTH = 8
_CONTINUE = h11.InformationalResponse(status_code=100, headers=[])

# Returns further bytes of the request by a deadline, or none at the end of
# the connection. The argument is what to send to the caller first.
CallerBytes = collections.abc.Callable[[bytes, deadlines.Deadline], bytes]


class RequestReader:
    """Receives one request.

    :param wants_body: asked once for a request that has a body; a body that
        is not wanted is counted and dropped.
    """

    def __init__(
        self,
        parser: request_parser.RequestParser,
        limits: routes.CallerLimits,
        charge: byte_charge.ByteCharge,
        wants_body: caller_messages.WantsBody,
        clock: clocks.Clock,
        arrival: caller_messages.Arrival,
    ) -> None:
        self._parser = parser
        self._limits = limits
        self._charge = charge
        self._wants_body = wants_body
        self._clock = clock
        self._arrival = arrival
        self._head: caller_messages.RequestHead | None = None
        self._body = io.BytesIO()
        self._body_wanted: bool | None = None
        # What is charged for the head, and for the objects of the framing
        # besides its received bytes.
        self._head_charge = 0
        self._framing_charge = 0

    def receive(
        self, received: bytes, read: CallerBytes
    ) -> caller_messages.ReceivedRequest | None:
        """Return the request that begins with the received bytes.

        Return None at the end of the connection.

        :raises RequestRejected: the request is invalid or too large, or was
            not received in time.
        :raises BudgetExceeded: there is no room for the request.
        """
        deadline = self._deadline_after(self._limits.header_timeout_s)
        self._feed(received)
        while True:
            event = self._parser.next_event()
            if event is None:
                self._release_dropped()
                interim = b''
                if self._parser.awaits_continue:
                    interim = b''.join(self._parser.encode(_CONTINUE))
                self._feed(read(interim, deadline))
            elif isinstance(event, caller_messages.RequestHead):
                deadline = self._deadline_after(self._limits.idle_timeout_s)
                self._head = event
                self._head_charge = self._charge.held
            elif isinstance(event, h11.Data):
                self._store(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert self._head is not None
                return self._request(self._head)
            else:
                return None

    def _feed(self, received: bytes) -> None:
        """Charge the bytes and pass them to the parser."""
        amount = len(received)
        if self._head is None:
            amount += _FIELD_BYTES * received.count(b'\n')
        else:
            amount += amount // _BUFFER_GROWTH
        self._charge.add(amount)
        self._parser.feed(received)
        self._charge_framing()

    def _charge_framing(self) -> None:
        """Charge the copy of an incomplete line and the trailers' fields."""
        charge = (
            self._parser.line_bytes + _FIELD_BYTES * self._parser.trailer_lines
        )
        grown, self._framing_charge = charge - self._framing_charge, charge
        if grown > 0:
            self._charge.add(grown)
        elif grown < 0:
            self._charge.reduce_to(self._charge.held + grown)

    def _release_dropped(self) -> None:
        """Release what was charged for a body that is dropped.

        The parser still holds what is incomplete of its framing.
        """
        if self._body_wanted is False:
            self._charge.reduce_to(
                self._head_charge
                + self._framing_charge
                + self._parser.incomplete_bytes
            )

    def _store(self, data: bytes) -> None:
        assert self._head is not None
        if self._body_wanted is None:
            self._body_wanted = self._wants_body(self._request(self._head))
        if self._body_wanted:
            self._body.write(data)

    def _request(
        self, head: caller_messages.RequestHead
    ) -> caller_messages.ReceivedRequest:
        return caller_messages.ReceivedRequest(
            head.method,
            head.target,
            head.headers,
            # The buffer is returned without a copy.
            self._body.getvalue(),
            self._arrival.received_s,
            self._body_wanted is False,
            self._arrival.path_s,
        )

    def _deadline_after(self, seconds: float) -> deadlines.Deadline:
        return deadlines.Deadline.after(self._clock, seconds)
