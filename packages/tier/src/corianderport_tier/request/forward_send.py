"""corianderport_tier.request.forward_send

Send attempts of a forwarded request and the events of its task.
"""

import threading
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import drain
from corianderport_tier.process import send_order
from corianderport_tier.process import service_searchers
from corianderport_tier.request import authorization as authorization_module
from corianderport_tier.request import forward_messages

__all__ = [
    'CallerDisconnected',
    'CapacityFreed',
    'DelegationEnded',
    'Event',
    'SendAttempt',
    'SendFinished',
    'SendOwner',
]

# An attempt without a response for this long has its connection closed when
# the request ends, since the response may never arrive.
_MAX_UNANSWERED_S = 0.15
# With less time until the deadline, the response would arrive too late.
_MIN_REMAINING_S = 0.002
# With its head, a request up to this size fits into the send buffer of an idle
# connection, which has at least 46 KB.
_MAX_DIRECT_BODY_BYTES = 16_384


class SendOwner(typing.Protocol):
    """The part of a request that a send attempt belongs to."""

    service: service_searchers.ServiceSearchers
    authorization: authorization_module.Authorization

    def post_result(self, send: 'SendAttempt', reply: object) -> None:
        """Post the result of a send attempt.

        Called on the connection's task.
        """

    def on_result(self, event: 'SendFinished') -> None:
        """Handle the result of a send attempt.

        Called on the request's task.
        """

    def on_capacity(self, send: send_order.WaitingSend) -> None:
        """Send the request if it had to wait for capacity."""


@attrs.frozen
class SendFinished:
    """Event: a send attempt ended with a reply or an error."""

    send: 'SendAttempt'
    reply: object


@attrs.frozen
class CapacityFreed:
    """Event: a send does not have to wait for capacity any longer."""

    part: SendOwner
    send: send_order.WaitingSend


@attrs.frozen
class DelegationEnded:
    """Event: another host has answered or refused the gather."""

    reply: object


@attrs.frozen
class CallerDisconnected:
    """Event: the caller closed its connection."""


Event = (
    SendFinished
    | CapacityFreed
    | DelegationEnded
    | CallerDisconnected
    | drain.DrainBegun
)


class SendAttempt:
    """Connection job that sends a request to one searcher."""

    def __init__(
        self,
        part: SendOwner,
        choice: service_searchers.Choice,
        call: forward_messages.SearcherCall,
        clock: clocks.Clock,
    ) -> None:
        self.part = part
        self.choice = choice
        self.started_s = clock.monotonic()
        self._call = call
        self._clock = clock
        self._lock = threading.Lock()
        self._cancelled = False
        # Set only while the exchange is in progress: afterwards, the
        # connection may carry another request, which must not be aborted.
        self._transport: transports.SearcherTransport | None = None
        self._carrier: transports.SearcherTransport | None = None
        self._sent_s: float | None = None
        self.finished_s = self.started_s

    @property
    def carrier(self) -> transports.SearcherTransport | None:
        """The connection on which any bytes may have been sent."""
        return self._carrier

    @property
    def sent(self) -> bool:
        """Whether any bytes may have been sent."""
        return self._carrier is not None

    @property
    def sent_s(self) -> float | None:
        """When the first byte may have been sent; None if not yet.

        Before it, the attempt waits for its connection and for the processor
        of this host.
        """
        return self._sent_s

    @property
    def elapsed_s(self) -> float:
        """Seconds from sending to the reply or error."""
        begun_s = self.started_s if self._sent_s is None else self._sent_s
        return self.finished_s - begun_s

    @property
    def cancelled(self) -> bool:
        """Whether the attempt was cancelled."""
        return self._cancelled

    @property
    def searcher(self) -> str:
        """Name of the searcher."""
        return self.choice.state.name

    def perform(
        self, transport: transports.SearcherTransport
    ) -> forward_messages.SearcherReply:
        """Send the request and return the searcher's response.

        :raises Refusal: the searcher may no longer be sent to, the deadline
            is too close, the request is no longer authorized or the attempt
            was cancelled; nothing was sent.
        """
        self._begin(transport)
        try:
            self._send(transport)
            return transport.receive(self._call)
        finally:
            self._release()

    @property
    def writes_at_once(self) -> bool:
        """Whether an idle connection accepts the request without waiting."""
        return len(self._call.payload.body) <= _MAX_DIRECT_BODY_BYTES

    def start(self, transport: transports.SearcherTransport) -> None:
        """Send the request on the calling task; raises as ``perform``."""
        self._begin(transport)
        self._send(transport)

    def complete(
        self, transport: transports.SearcherTransport
    ) -> forward_messages.SearcherReply:
        """Return the searcher's response to the request that was sent."""
        try:
            return transport.receive(self._call)
        finally:
            self._release()

    def _send(self, transport: transports.SearcherTransport) -> None:
        try:
            transport.send(self._call)
        finally:
            self._drop_content()

    def _drop_content(self) -> None:
        """Release the headers and the body, which are sent only once.

        A searcher may take longer to reply than the caller's request is
        charged for.
        """
        self._call = self._call.without_content()

    def _release(self) -> None:
        """Leave the connection to the next request."""
        with self._lock:
            self._transport = None

    def _begin(self, transport: transports.SearcherTransport) -> None:
        """Check that the request may be sent, and note that it is."""
        if not self.part.service.may_send(self.choice.state):
            raise errors.NoUpstream('the searcher is no longer available')
        if self._call.deadline.remaining(self._clock) < _MIN_REMAINING_S:
            raise errors.DeadlinePast('no time is left to send the request')
        # The attempt may have waited for a connection since it began.
        self.part.authorization.check()
        with self._lock:
            if self._cancelled:
                raise errors.DeadlinePast('the request has ended')
            self._transport = self._carrier = transport
            self._sent_s = self._clock.monotonic()

    def finish(self, reply: object) -> None:
        """Post the reply or error, even if the request has ended."""
        self._release()
        self._drop_content()
        self.finished_s = self._clock.monotonic()
        self.part.post_result(self, reply)

    @property
    def ended(self) -> bool:
        """Whether the attempt has a reply or an error, or was never sent."""
        return self._transport is None

    def cancel(self, at_once: bool) -> None:
        """Cancel the attempt; a request not yet sent is never sent.

        A recent attempt keeps its connection, which stays usable once the
        response has arrived.

        :param at_once: close the connection in any case, so that the
            searcher stops working on the request.
        """
        with self._lock:
            self._cancelled = True
        age_s = self._clock.monotonic() - self.started_s
        if at_once or age_s >= _MAX_UNANSWERED_S:
            self._abort()

    def abort_if_overdue(self) -> bool:
        """Abort the attempt if its deadline has passed; return whether."""
        overdue = self._call.deadline.passed(self._clock)
        if overdue:
            self._abort()
        return overdue

    def _abort(self) -> None:
        with self._lock:
            if self._transport is not None:
                self._transport.abort()
