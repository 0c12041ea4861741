"""corianderport_tier.request.messages

Typed messages of searches and actions, independent of encoding.
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
    """A matching document and its ranking score."""

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
    """Fraction of the data that an answer covers, and missing shards."""

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
    """The part of a search that one service answers."""

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
    """Hits of one shard; ``complete`` is False if truncated."""

    shard: str
    complete: bool
    hits: tuple[Hit, ...]


@attrs.frozen
class BatchAnswer:
    """The answer to a batch.

    ``snapshot_gone`` is True if a searcher no longer holds the snapshot and
    no other one is left to try; ``held`` lists the snapshots that it holds.
    ``refused`` lists the services without the snapshot or, if there are
    none, those whose searchers ran nothing.
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
    """One attempt at a searcher, for all requested shards."""

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
    """A searcher's reply to one attempt.

    ``held`` lists the snapshots that the searcher holds. ``incarnation``
    changes when its process restarts.
    """

    request_id: str
    attempt_id: str
    snapshot: int
    incarnation: str
    held: tuple[int, ...]
    answers: tuple[ShardAnswer, ...]


@attrs.frozen
class UpstreamRefusal:
    """Explicit refusal: the upstream did not run the attempt."""

    reason: RefusalReason
    incarnation: str = ''
    held: tuple[int, ...] = ()


@attrs.frozen
class ActionRequest:
    """A caller's request that must run at most once."""

    request_id: str
    action: str
    payload: str
    deadline: deadlines.Deadline
    customer: str
    ticket: str | None


@attrs.frozen
class ActionCall:
    """An action and the service that can run it."""

    request: ActionRequest
    service: str


@attrs.frozen
class ActionAnswer:
    """Result of an action; ``code.ran`` tells whether it ran."""

    code: result_codes.ResultCode
    request_id: str
    outcome: str
    detail: str = ''


@attrs.frozen
class UpstreamAction:
    """One attempt to run an action at an upstream."""

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
