"""corianderport_tier.request.forward_messages

Typed messages of a forwarded request, independent of their encoding.
"""

import attrs

from corianderport_tier.request import deadlines
from corianderport_tier import result_codes

__all__ = [
    'Failure',
    'ForwardAnswer',
    'ForwardRequest',
    'Gathered',
    'Headers',
    'NOT_RUN_STATUSES',
    'Payload',
    'Relayed',
    'SearcherCall',
    'SearcherReply',
]

# A caller takes each of them as a promise that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class Payload:
    """What is passed on unchanged; ``headers`` are end to end only."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@attrs.frozen
class ForwardRequest:
    """A caller's request for one route."""

    request_id: str
    host: str
    path: str
    payload: Payload
    deadline: deadlines.Deadline


@attrs.frozen
class SearcherCall:
    """One send of a request to one searcher."""

    request_id: str
    searcher: str
    payload: Payload
    deadline: deadlines.Deadline


@attrs.frozen
class SearcherReply:
    """A searcher's whole answer.

    ``execution_proof`` is set if the searcher ran the request; ``ran`` is
    False only when the searcher said so. ``other_searcher`` is set when the
    address now belongs to another searcher.
    """

    status: int
    headers: Headers
    body: bytes
    execution_proof: str | None
    ran: bool
    other_searcher: bool = False

    @property
    def succeeded(self) -> bool:
        """Whether the searcher ran the request and it succeeded."""
        return 200 <= self.status < 300 and self.execution_proof is not None

    @property
    def final(self) -> bool:
        """Whether another searcher would answer the same."""
        return self.ran and (
            self.succeeded
            or 300 <= self.status < 500
            and self.status not in NOT_RUN_STATUSES
        )

    @property
    def relayable(self) -> bool:
        """Whether a caller may get it unchanged.

        A status that promises that nothing has run may not be passed on
        by whoever cannot know that.
        """
        return self.status not in NOT_RUN_STATUSES


@attrs.frozen
class Relayed:
    """A searcher's answer, to be passed on unchanged."""

    reply: SearcherReply


@attrs.frozen
class Gathered:
    """The merged answer of several services.

    ``missing`` counts the services that are left out.
    """

    execution_proofs: tuple[str, ...]
    missing: int
    body: bytes


@attrs.frozen
class Failure:
    """An answer of this host's own.

    ``retry_after_s`` is set in refusals: when to come back, in seconds.
    """

    code: result_codes.ResultCode
    detail: str
    retry_after_s: float | None = None


ForwardAnswer = Relayed | Gathered | Failure
