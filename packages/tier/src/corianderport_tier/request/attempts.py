"""corianderport_tier.request.attempts

One attempt of a sub-query at one searcher.
"""

import collections.abc

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import upstreams
from corianderport_tier.request import messages

__all__ = ['AttemptResult', 'SearchAttempt']

Reply = (
    messages.UpstreamSearchReply
    | messages.UpstreamRefusal
    | errors.CorianderportError
)


@attrs.frozen
class AttemptResult:
    """How an attempt ended, with its duration in seconds."""

    attempt: 'SearchAttempt'
    reply: Reply
    elapsed_s: float


@attrs.define(eq=False)
class SearchAttempt:
    """A job for one connection to the searcher.

    ``deliver`` is called once, on the connection's task.
    """

    sub_query: messages.SubQuery
    call: messages.UpstreamSearch
    upstream: upstreams.Upstream
    clock: clocks.Clock
    deliver: collections.abc.Callable[[AttemptResult], None]
    started_s: float

    def perform(self, transport: transports.UpstreamTransport) -> Reply:
        """Send the sub-request; a foreign reply breaks the connection."""
        timeout_s = self.call.deadline.remaining(self.clock)
        if timeout_s <= 0:
            return errors.DeadlinePast('no time left to send the attempt')
        reply = transport.search(self.call, timeout_s)
        if isinstance(reply, messages.UpstreamSearchReply) and (
            reply.attempt_id != self.call.attempt_id
            or reply.request_id != self.call.request_id
        ):
            raise errors.ConnectionBroken('reply belongs to another attempt')
        return reply

    def finish(self, reply: object) -> None:
        """Deliver the result to the request."""
        assert isinstance(
            reply,
            messages.UpstreamSearchReply
            | messages.UpstreamRefusal
            | errors.CorianderportError,
        )
        elapsed_s = self.clock.monotonic() - self.started_s
        self.deliver(AttemptResult(self, reply, elapsed_s))
