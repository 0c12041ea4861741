"""corianderport_tier.request.forward_send

One send of a forwarded request, and what its task learns of it.
"""

import threading
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import service_searchers
from corianderport_tier.request import forward_messages

__all__ = [
    'CallerDisconnected',
    'Event',
    'CapacityFreed',
    'SendAttempt',
    'SendFinished',
    'SendOwner',
]

# A connection whose answer is this late is closed when its request ends,
# since the answer may never come.
_MAX_UNANSWERED_S = 0.15
# A shorter time is not worth a send: the answer would come too late.
_MIN_TIME_S = 0.002


class SendOwner(typing.Protocol):
    """The part of a request that a send belongs to."""

    service: service_searchers.ServiceSearchers

    def post_result(self, send: 'SendAttempt', reply: object) -> None:
        """Learn of the end; called by the connection's task."""

    def on_result(self, ended: 'SendFinished') -> None:
        """Take over the end; called by the request's task."""

    def on_capacity(self) -> None:
        """Learn that a searcher may have room."""


@attrs.frozen
class SendFinished:
    """A send has ended with a reply or an error."""

    send: 'SendAttempt'
    reply: object


@attrs.frozen
class CapacityFreed:
    """A searcher of a service may have room."""

    part: SendOwner


@attrs.frozen
class CallerDisconnected:
    """The caller has closed its connection."""


Event = SendFinished | CapacityFreed | CallerDisconnected


class SendAttempt:
    """One send to one searcher; a job of its connection."""

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
        self._transport: transports.SearcherTransport | None = None
        self._sent_s: float | None = None

    @property
    def sent(self) -> bool:
        """Whether bytes may have been sent."""
        return self._sent_s is not None

    @property
    def cancelled(self) -> bool:
        """Whether the request has ended before the send."""
        return self._cancelled

    @property
    def searcher(self) -> str:
        """Name of the searcher."""
        return self.choice.state.name

    def perform(
        self, transport: transports.SearcherTransport
    ) -> forward_messages.SearcherReply:
        """Send, unless the searcher may not get the request any more."""
        if not self.part.service.is_present(self.choice.state):
            raise errors.NoUpstream('the searcher may get nothing any more')
        if self._call.deadline.remaining(self._clock) < _MIN_TIME_S:
            raise errors.DeadlinePast('no time is left')
        with self._lock:
            if self._cancelled:
                raise errors.DeadlinePast('the request has ended')
            self._transport = transport
            self._sent_s = self._clock.monotonic()
        return transport.exchange(self._call)

    def finish(self, reply: object) -> None:
        """Report the end; the request may have ended before."""
        self._transport = None
        self.part.post_result(self, reply)

    def cancel(self, at_once: bool) -> None:
        """End the send; a young one may keep its connection.

        What has not been sent before is not sent any more.

        :param at_once: the searcher is to stop working on it.
        """
        with self._lock:
            self._cancelled = True
            transport = self._transport
        age_s = self._clock.monotonic() - self.started_s
        if transport is not None and (at_once or age_s >= _MAX_UNANSWERED_S):
            transport.abort()
