"""corianderport_tier.request.messages

Typed messages of one request, independent of their encoding.
"""

import enum

import attrs

from corianderport_tier.request import deadlines
from corianderport_tier import result_codes

__all__ = [
    'ActionAnswer',
    'ActionCall',
    'ActionRequest',
    'BatchAnswer',
    'Coverage',
    'Hit',
    'RefusalReason',
    'SearchAnswer',
    'SearchRequest',
    'ShardAnswer',
    'SubQuery',
    'SubQueryBatch',
    'UpstreamAction',
    'UpstreamActionReply',
    'UpstreamRefusal',
    'UpstreamSearch',
    'UpstreamSearchReply',
]


@attrs.frozen
class Hit:
    """A document that matches, with a score that orders hits."""

    document: str
    score: float
    title: str


@attrs.frozen
class SearchRequest:
    """A caller's search."""

    request_id: str
    search: str
    query: str
    limit: int
    deadline: deadlines.Deadline
    customer: str


@attrs.frozen
class Coverage:
    """How much of the data an answer covers."""

    fraction: float
    missing: tuple[str, ...]


@attrs.frozen
class SearchAnswer:
    """The answer to a caller's search."""

    code: result_codes.ResultCode
    request_id: str
    snapshot: int
    coverage: Coverage
    hits: tuple[Hit, ...]
    sub_requests: int = 0

    @property
    def whole(self) -> bool:
        """Whether every shard of the search was answered."""
        return not self.coverage.missing


@attrs.frozen
class SubQuery:
    """The shards of one service that a search needs."""

    service: str
    shards: tuple[str, ...]


@attrs.frozen
class SubQueryBatch:
    """All sub-queries of one plan of a search."""

    request_id: str
    index: str
    snapshot: int
    query: str
    limit: int
    deadline: deadlines.Deadline
    sub_queries: tuple[SubQuery, ...]


@attrs.frozen
class ShardAnswer:
    """Hits of one shard; ``complete`` is False when truncated."""

    shard: str
    complete: bool
    hits: tuple[Hit, ...]


@attrs.frozen
class BatchAnswer:
    """The answer to a batch.

    ``snapshot_gone`` says that a searcher no longer holds the snapshot;
    ``refused`` lists the services of which no searcher ran anything.
    """

    request_id: str
    snapshot: int
    answers: tuple[ShardAnswer, ...]
    refused: tuple[str, ...] = ()
    snapshot_gone: bool = False
    held: tuple[int, ...] = ()
    sub_requests: int = 0


class RefusalReason(enum.Enum):
    """Why an upstream did not run a request."""

    SHED = 'shed'
    DRAINING = 'draining'
    SNAPSHOT_GONE = 'snapshot-gone'
    MALFORMED = 'malformed'


@attrs.frozen
class UpstreamSearch:
    """One attempt at a searcher, for all its shards."""

    request_id: str
    attempt_id: str
    index: str
    snapshot: int
    shards: tuple[str, ...]
    query: str
    limit: int
    deadline: deadlines.Deadline


@attrs.frozen
class UpstreamSearchReply:
    """A searcher's answer to one attempt."""

    request_id: str
    attempt_id: str
    snapshot: int
    incarnation: str
    held: tuple[int, ...]
    answers: tuple[ShardAnswer, ...]


@attrs.frozen
class UpstreamRefusal:
    """An explicit refusal: the upstream did not run the attempt."""

    reason: RefusalReason
    incarnation: str = ''
    held: tuple[int, ...] = ()


@attrs.frozen
class ActionRequest:
    """A caller's request that may not be repeated."""

    request_id: str
    action: str
    payload: str
    deadline: deadlines.Deadline
    customer: str
    ticket: str | None


@attrs.frozen
class ActionCall:
    """An action and the service whose searchers can run it."""

    request: ActionRequest
    service: str


@attrs.frozen
class ActionAnswer:
    """What became of an action; ``code.ran`` says whether it ran."""

    code: result_codes.ResultCode
    request_id: str
    outcome: str
    detail: str = ''


@attrs.frozen
class UpstreamAction:
    """The only attempt to run an action at an upstream."""

    request_id: str
    attempt_id: str
    action: str
    payload: str
    deadline: deadlines.Deadline


@attrs.frozen
class UpstreamActionReply:
    """An upstream's report that it ran an action."""

    request_id: str
    attempt_id: str
    succeeded: bool
    outcome: str
    incarnation: str = ''
