"""corianderport_tier.request.attempts

Attempts of a sub-query at one searcher, and their cancellation.
"""

import collections.abc
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import outcomes
from corianderport_tier.process import upstream as upstream_module
from corianderport_tier.request import messages

__all__ = ['AttemptResult', 'CancelJob', 'SearchAttempt']

_CANCEL_TIMEOUT_S = 0.25

SearchReply = messages.UpstreamSearchReply | messages.UpstreamRefusal
Reply = SearchReply | errors.CorianderportError


@attrs.frozen
class AttemptResult:
    """Reply of an attempt and the outcome recorded for the searcher."""

    attempt: 'SearchAttempt'
    reply: Reply
    outcome: outcomes.Outcome


@attrs.define(eq=False)
class SearchAttempt:
    """Connection job that sends a sub-query to one searcher.

    ``may_send`` is called immediately before sending. ``deliver`` is called
    exactly once, on the connection's task.
    """

    service: str
    call: messages.UpstreamSearch
    upstream: upstream_module.Upstream
    clock: clocks.Clock
    may_send: collections.abc.Callable[[], bool]
    deliver: collections.abc.Callable[[AttemptResult], None]
    started_s: float
    superseded: bool = False
    cancel_confirmed: bool = False
    _condition: threading.Condition = attrs.Factory(threading.Condition)
    _transport: transports.UpstreamTransport | None = None
    _abandoned: bool = False
    _finished: bool = False
    _late_reply: SearchReply | None = None

    @property
    def is_abandoned(self) -> bool:
        """Whether the request has abandoned the attempt."""
        return self._abandoned

    def perform(self, transport: transports.UpstreamTransport) -> Reply:
        """Send the sub-query and return the reply.

        :raises ConnectionBroken: the reply belongs to another attempt.
        :raises ConnectionSilent: the attempt was abandoned.
        """
        error = self._send_error()
        if error is not None:
            return error
        if not self._begin(transport):
            return errors.DeadlinePast(
                'the attempt was abandoned before sending'
            )
        try:
            reply = self._search(transport)
        finally:
            self._end()
        if self._abandoned:
            # The connection is aborted, but the reply is complete.
            self._late_reply = reply
            raise errors.ConnectionSilent('the attempt was abandoned')
        return reply

    def finish(self, reply: object) -> None:
        """Deliver the result to the request."""
        if self._late_reply is not None:
            reply = self._late_reply
        assert isinstance(
            reply,
            messages.UpstreamSearchReply
            | messages.UpstreamRefusal
            | errors.CorianderportError,
        )
        outcome = outcomes.Outcome.from_reply(
            reply,
            self.clock.monotonic() - self.started_s,
            self.call.attempt_id,
            self.call.deadline.at_s,
            self.superseded,
        )
        with self._condition:
            self._finished = True
            self._condition.notify_all()
        self.deliver(AttemptResult(self, reply, outcome))

    def abandon(self) -> None:
        """Abort the connection if the attempt is awaiting its reply."""
        with self._condition:
            self._abandoned = True
            if self._transport is not None:
                self._transport.abort()

    def wait_finished(self, until_s: float) -> bool:
        """Wait until the attempt ends; return False on timeout."""
        with self._condition:
            while not self._finished:
                remaining_s = until_s - self.clock.monotonic()
                if remaining_s <= 0:
                    return False
                self.clock.wait(self._condition, remaining_s)
            return True

    def _send_error(self) -> errors.CorianderportError | None:
        # Time may have passed while the job was queued or connecting.
        if self.call.deadline.passed(self.clock):
            return errors.DeadlinePast('no time is left to send the sub-query')
        if not self.may_send():
            return errors.NoUpstream('the searcher is out of service')
        return None

    def _begin(self, transport: transports.UpstreamTransport) -> bool:
        with self._condition:
            if not self._abandoned:
                self._transport = transport
            return not self._abandoned

    def _end(self) -> None:
        with self._condition:
            self._transport = None

    def _search(self, transport: transports.UpstreamTransport) -> SearchReply:
        timeout_s = self.call.deadline.remaining(self.clock)
        try:
            reply = transport.search(self.call, timeout_s)
        except errors.ConnectionBroken as error:
            if self._abandoned:
                raise errors.ConnectionSilent(str(error)) from error
            raise
        if isinstance(reply, messages.UpstreamSearchReply) and (
            reply.attempt_id != self.call.attempt_id
            or reply.request_id != self.call.request_id
        ):
            raise errors.ConnectionBroken(
                'the reply belongs to another attempt'
            )
        return reply


@attrs.define(eq=False)
class CancelJob:
    """Connection job that cancels an attempt whose reply is not needed.

    ``on_confirmed`` is called when the searcher confirms the cancellation
    and returns whether the attempt's connection may be closed. The
    connection is closed only if no reply arrives on it by
    ``grace_until_s``: until then the searcher may merely be slow, but
    without any reply the connection is half-open.
    """

    attempt: SearchAttempt
    on_confirmed: collections.abc.Callable[[], bool]
    grace_until_s: float | None

    def perform(self, transport: transports.UpstreamTransport) -> object:
        """Send the cancellation, then wait for the attempt to end."""
        transport.cancel(self.attempt.call.attempt_id, _CANCEL_TIMEOUT_S)
        may_close = self.on_confirmed()
        if not may_close or self.grace_until_s is None:
            return None
        if not self.attempt.wait_finished(self.grace_until_s):
            self.attempt.abandon()
        return None

    def finish(self, reply: object) -> None:
        """Ignore the result; cancellation is best effort."""
