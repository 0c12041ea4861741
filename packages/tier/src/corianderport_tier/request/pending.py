"""corianderport_tier.request.pending

State of sub-queries that are not completely answered.
"""

import collections.abc

import attrs

from corianderport_tier.request import attempts
from corianderport_tier.request import messages

__all__ = ['ActiveAttempt', 'PendingSubQuery']


@attrs.define(eq=False)
class ActiveAttempt:
    """An attempt whose reply is outstanding.

    ``first`` is True if no other attempt of the sub-query was active when
    this one started. Times are in monotonic seconds.
    """

    attempt: attempts.SearchAttempt
    first: bool
    hedge_at_s: float | None
    timeout_at_s: float | None


@attrs.define(eq=False)
class PendingSubQuery:
    """A sub-query with shards that have no complete answer.

    ``waiting`` is True while the sub-query is queued for capacity.
    ``retry_at_s`` is the end of the backoff before the next attempt.
    ``fresh`` requires a new connection for the next attempt.
    ``snapshot_gone`` is True once a searcher reported that it no longer
    holds the snapshot.
    """

    sub_query: messages.SubQuery
    tried: set[str] = attrs.Factory(set)
    active_attempts: dict[str, ActiveAttempt] = attrs.Factory(dict)
    sends: int = 0
    retries: int = 0
    waiting: bool = False
    fresh: bool = False
    retry_at_s: float | None = None
    snapshot_gone: bool = False
    may_have_run: bool = False
    _complete: dict[str, messages.ShardAnswer] = attrs.Factory(dict)
    _truncated: dict[str, messages.ShardAnswer] = attrs.Factory(dict)

    @property
    def service(self) -> str:
        """Name of the service."""
        return self.sub_query.service

    @property
    def remaining(self) -> tuple[str, ...]:
        """Shards without a complete answer, in request order."""
        return tuple(
            s for s in self.sub_query.shards if s not in self._complete
        )

    @property
    def answers(self) -> tuple[messages.ShardAnswer, ...]:
        """Complete answers, and truncated answers of the other shards."""
        return (
            *self._complete.values(),
            *(
                answer
                for shard, answer in self._truncated.items()
                if shard not in self._complete
            ),
        )

    def accept(
        self, answers: collections.abc.Iterable[messages.ShardAnswer]
    ) -> bool:
        """Add answers, keeping the first of each shard.

        :return: True if every shard has a complete answer.
        """
        for answer in answers:
            kept = self._complete if answer.complete else self._truncated
            kept.setdefault(answer.shard, answer)
        return not self.remaining

    def next_timer_s(self) -> float | None:
        """Return the time of the earliest timer, or None."""
        timers_s = [self.retry_at_s]
        for active_attempt in self.active_attempts.values():
            timers_s += [
                active_attempt.hedge_at_s,
                active_attempt.timeout_at_s,
            ]
        return min((t for t in timers_s if t is not None), default=None)
