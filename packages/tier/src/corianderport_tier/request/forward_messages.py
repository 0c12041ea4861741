"""corianderport_tier.request.forward_messages

Typed messages of forwarded requests, independent of their encoding.
"""

import attrs

from corianderport_tier.request import deadlines
from corianderport_tier import result_codes

__all__ = [
    'CallerIdentity',
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

# Callers take each of these statuses to mean that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class Payload:
    """Content that is forwarded unchanged.

    ``headers`` contains only end-to-end header fields.
    """

    method: bytes
    target: bytes
    # May hold a key.
    headers: Headers = attrs.field(repr=False)
    body: bytes


@attrs.frozen
class CallerIdentity:
    """What a searcher learns of a caller in place of its key.

    ``workspace`` is None if the request is served without a key.
    """

    workspace: str | None


@attrs.frozen
class ForwardRequest:
    """A caller's request for one route.

    ``received_s`` is the time at which its first bytes were read, in seconds
    of the host's monotonic clock. ``path_s`` is the time that the request and
    its answer spend on the network; None if unknown. ``credential`` is the
    key of the request, None without a valid one. ``body_dropped`` says that
    the payload lacks its body, because no route matched when it arrived.
    """

    request_id: str
    host: str
    path: str
    payload: Payload
    deadline: deadlines.Deadline
    received_s: float
    credential: str | None = attrs.field(default=None, repr=False)
    body_dropped: bool = False
    path_s: float | None = None


@attrs.frozen
class SearcherCall:
    """One request to one searcher.

    ``identity`` replaces the caller's own headers about its identity; if it
    is None, they are forwarded unchanged.
    """

    request_id: str
    searcher: str
    payload: Payload
    deadline: deadlines.Deadline
    identity: CallerIdentity | None = None

    def without_content(self) -> 'SearcherCall':
        """Return the call without the headers and the body to send."""
        sent = self.payload
        if not sent.headers and not sent.body:
            return self
        # Made for each send; attrs.evolve takes several times as long.
        return SearcherCall(
            self.request_id,
            self.searcher,
            Payload(sent.method, sent.target, (), b''),
            self.deadline,
            self.identity,
        )


@attrs.frozen
class SearcherReply:
    """A searcher's complete response.

    ``execution_proof`` is set if the searcher ran the request; ``ran`` is
    False only when the searcher said so. ``other_searcher`` is set when the
    address now belongs to another searcher. ``leaving`` says that the
    searcher is about to exit, and ``pause_s`` for how many seconds it wants
    no request from this host.
    """

    status: int
    headers: Headers
    body: bytes
    execution_proof: str | None
    ran: bool
    other_searcher: bool = False
    leaving: bool = False
    pause_s: float = 0.0

    @property
    def size_bytes(self) -> int:
        """Bytes of the header fields and the body."""
        return len(self.body) + sum(len(n) + len(v) for n, v in self.headers)

    @property
    def succeeded(self) -> bool:
        """Whether the searcher ran the request and it succeeded."""
        return 200 <= self.status < 300 and self.execution_proof is not None

    @property
    def final(self) -> bool:
        """Whether another searcher would give the same response."""
        return self.ran and (
            self.succeeded
            or 300 <= self.status < 500
            and self.status not in NOT_RUN_STATUSES
        )

    @property
    def relayable(self) -> bool:
        """Whether the response may be passed to the caller unchanged.

        A status that means "not run" must not be passed on, since this
        host cannot know whether the request ran.
        """
        return self.status not in NOT_RUN_STATUSES


@attrs.frozen
class Relayed:
    """A searcher's response that is passed to the caller unchanged."""

    reply: SearcherReply


@attrs.frozen
class Gathered:
    """The merged responses of several services.

    ``missing`` is the number of services without a response.
    """

    execution_proofs: tuple[str, ...]
    missing: int
    body: bytes


@attrs.frozen
class Failure:
    """An error response produced by this host.

    ``retry_after_s`` is set in refusals: the suggested retry delay.
    """

    code: result_codes.ResultCode
    detail: str
    retry_after_s: float | None = None


ForwardAnswer = Relayed | Gathered | Failure
