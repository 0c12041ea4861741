"""corianderport_tier.process.outcomes

Outcome of one request to a searcher, used to judge its health.
"""

import enum

import attrs

from corianderport_tier import errors
from corianderport_tier.request import messages

__all__ = ['Outcome', 'OutcomeKind']

Reply = (
    messages.UpstreamSearchReply
    | messages.UpstreamActionReply
    | messages.UpstreamRefusal
    | errors.CorianderportError
)


class OutcomeKind(enum.Enum):
    """How a request at a searcher ended."""

    ANSWERED = 'answered'
    SHED = 'shed'
    DRAINING = 'draining'
    REFUSED = 'refused'
    NOT_SENT = 'not-sent'
    UNREACHABLE = 'unreachable'
    BROKEN = 'broken'
    SILENT = 'silent'

    @property
    def may_be_running(self) -> bool:
        """Whether the searcher may still be running the request."""
        return self in (OutcomeKind.BROKEN, OutcomeKind.SILENT)


_REFUSALS = {
    messages.RefusalReason.SHED: OutcomeKind.SHED,
    messages.RefusalReason.DRAINING: OutcomeKind.DRAINING,
}


@attrs.frozen
class Outcome:
    """How one request ended; ``elapsed_s`` and ``until_s`` in seconds.

    ``fresh`` is True if a failed connection had not carried a reply
    before; ``until_s`` is when the searcher abandons the request;
    ``superseded`` is True if another attempt was answered first.
    """

    kind: OutcomeKind
    elapsed_s: float = 0.0
    incarnation: str = ''
    fresh: bool = False
    attempt_id: str = ''
    until_s: float = 0.0
    superseded: bool = False

    @classmethod
    def from_reply(
        cls,
        reply: Reply,
        elapsed_s: float,
        attempt_id: str,
        until_s: float,
        superseded: bool = False,
    ) -> 'Outcome':
        """Return the outcome for a reply or for the error instead of it."""
        return cls(
            kind=_kind(reply),
            elapsed_s=elapsed_s,
            incarnation=getattr(reply, 'incarnation', ''),
            fresh=getattr(reply, 'fresh', False),
            attempt_id=attempt_id,
            until_s=until_s,
            superseded=superseded,
        )


def _kind(reply: Reply) -> OutcomeKind:
    if isinstance(reply, messages.UpstreamRefusal):
        return _REFUSALS.get(reply.reason, OutcomeKind.REFUSED)
    if not isinstance(reply, errors.CorianderportError):
        return OutcomeKind.ANSWERED
    if isinstance(reply, errors.ConnectFailed):
        return OutcomeKind.UNREACHABLE
    if isinstance(reply, errors.ConnectionSilent):
        return OutcomeKind.SILENT
    if isinstance(reply, errors.TransportError):
        return OutcomeKind.BROKEN
    return OutcomeKind.NOT_SENT
