"""corianderport_tier.request.plan_round

Sends one plan of a search to the owners and gathers their answers.
"""

import collections.abc

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import aggregator
from corianderport_tier.process import decision_log
from corianderport_tier.process import membership
from corianderport_tier.process import routing
from corianderport_tier.process import snapshot_availability
from corianderport_tier.request import deadlines
from corianderport_tier.request import inboxes
from corianderport_tier.request import messages
from corianderport_tier.request import planning

__all__ = ['Gathered', 'PlanRound']

# Time kept for merging and for the way back to the caller.
_ANSWER_MARGIN_S = 0.003
# Part of the time after which an owner that is silent is not relied on.
_FIRST_OWNER_SHARE = 0.5
_NO_RANK = -1
# Between two questions to owners of which none may send yet.
_ASK_AGAIN_S = 0.01
_ASK_AGAIN_LIMIT_S = 0.08
_ASK_AGAIN = (errors.NotOwner, errors.TransportError)


@attrs.define(eq=False)
class Gathered:
    """What arrived for one plan."""

    answers: list[messages.ShardAnswer] = attrs.Factory(list)
    gone: frozenset[snapshot_availability.ServiceSnapshot] = frozenset()
    sub_requests: int = 0


@attrs.define(eq=False)
class _Outstanding:
    """A service without an answer and the batches that may bring one."""

    sub_query: messages.SubQuery
    rank: int = 0
    batches: int = 0
    may_ask_again: bool = False


class _AskAgain:
    """Times at which refused services are asked for again."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._delay_s = _ASK_AGAIN_S
        self._at: deadlines.Deadline | None = None

    def next(self, limit: deadlines.Deadline) -> deadlines.Deadline:
        """Return the next time, at most the limit."""
        if self._at is None:
            self._at = deadlines.Deadline.after(self._clock, self._delay_s)
        return min(self._at, limit)

    def due(self) -> bool:
        """Whether the time has come; the next one is later."""
        if self._at is None or not self._at.passed(self._clock):
            return False
        self._at = None
        self._delay_s = min(2 * self._delay_s, _ASK_AGAIN_LIMIT_S)
        return True


class PlanRound:
    """One plan on the request's task, from the first batch to the last.

    The first owner of each service is asked, the second one when the first
    refuses, fails or is silent for half of the time.
    """

    def __init__(
        self,
        request: messages.SearchRequest,
        plan: planning.SearchPlan,
        router: routing.Router,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
    ) -> None:
        self._request = request
        self._plan = plan
        self._router = router
        self._clock = clock
        self._log = log
        self._inbox: inboxes.Inbox[aggregator.BatchResult] = inboxes.Inbox(
            clock
        )
        self._outstanding = {
            sub_query.service: _Outstanding(sub_query)
            for sub_query in plan.sub_queries()
        }
        self._gathered = Gathered()
        self._failed_over = False
        self._ask_again = _AskAgain(clock)

    def run(self) -> Gathered:
        """Return what arrived by the request's deadline."""
        self._submit(self._plan.sub_queries(), 0)
        until = self._request.deadline.earlier(_ANSWER_MARGIN_S)
        patience_s = until.remaining(self._clock) * _FIRST_OWNER_SHARE
        first_until = deadlines.Deadline.after(self._clock, patience_s)
        while self._outstanding and not until.passed(self._clock):
            timer = until if self._failed_over else first_until
            refused = self._refused()
            result = self._inbox.take(
                self._ask_again.next(timer) if refused else timer
            )
            if result is not None:
                self._on_result(result)
                continue
            if not self._failed_over and first_until.passed(self._clock):
                self._fail_over()
            if refused and self._ask_again.due():
                self._submit(refused, 0)
        return self._gathered

    def _refused(self) -> tuple[messages.SubQuery, ...]:
        """Return the sub-queries that no owner takes at present."""
        return tuple(
            o.sub_query
            for o in self._outstanding.values()
            if o.rank == _NO_RANK
        )

    def _fail_over(self) -> None:
        """Ask the second owners too; the first ones may still answer."""
        self._failed_over = True
        waiting = tuple(
            o.sub_query for o in self._outstanding.values() if o.rank == 0
        )
        self._submit(waiting, 1)

    def _submit(
        self,
        sub_queries: collections.abc.Iterable[messages.SubQuery],
        rank: int,
    ) -> None:
        by_owner: dict[membership.Member, list[messages.SubQuery]] = {}
        for sub_query in sub_queries:
            owners = self._owners(sub_query.service)
            if rank >= len(owners):
                self._without_owner(sub_query.service, bool(owners))
                continue
            waiting = self._outstanding[sub_query.service]
            waiting.rank = rank
            waiting.batches += 1
            by_owner.setdefault(owners[rank], []).append(sub_query)
        for owner, owned in by_owner.items():
            self._send(owner, rank, tuple(owned))

    def _without_owner(self, service: str, has_owners: bool) -> None:
        waiting = self._outstanding[service]
        if waiting.batches > 0:
            return
        waiting.rank = _NO_RANK
        if not has_owners or not waiting.may_ask_again:
            del self._outstanding[service]

    def _owners(self, service: str) -> list[membership.Member]:
        """Return the owners; none when the service has been removed.

        Other services may have been asked already, so that the search as
        a whole can no longer be refused as not run.
        """
        try:
            return self._router.owners(service)
        except errors.UnknownService:
            return []

    def _send(
        self,
        owner: membership.Member,
        rank: int,
        sub_queries: tuple[messages.SubQuery, ...],
    ) -> None:
        request = self._request
        self._log.record(
            decision_log.Decision(
                'owner',
                request.request_id,
                owner.name,
                f'owner {rank + 1} of {len(sub_queries)} services',
            )
        )
        batch = messages.SubQueryBatch(
            request_id=request.request_id,
            index=self._plan.search.index,
            snapshot=self._plan.snapshot.number,
            query=request.query,
            limit=request.limit,
            deadline=request.deadline.earlier(2 * _ANSWER_MARGIN_S),
            sub_queries=sub_queries,
        )
        self._router.aggregator(owner).submit(batch, self._inbox.put)

    def _on_result(self, result: aggregator.BatchResult) -> None:
        answer = result.answer
        if isinstance(answer, errors.CorianderportError):
            refused = {s.service for s in result.batch.sub_queries}
            may_ask_again = isinstance(answer, _ASK_AGAIN)
        else:
            refused = set(answer.not_owned)
            may_ask_again = True
        again: dict[int, list[messages.SubQuery]] = {}
        for sub_query in result.batch.sub_queries:
            waiting = self._outstanding.get(sub_query.service)
            if waiting is None:
                continue
            waiting.batches -= 1
            if sub_query.service in refused:
                waiting.may_ask_again = may_ask_again
                again.setdefault(waiting.rank + 1, []).append(sub_query)
            else:
                del self._outstanding[sub_query.service]
        for rank, sub_queries in again.items():
            self._submit(sub_queries, rank)
        if isinstance(answer, messages.BatchAnswer):
            self._keep(answer)

    def _keep(self, answer: messages.BatchAnswer) -> None:
        self._gathered.sub_requests += answer.sub_requests
        if answer.snapshot != self._plan.snapshot.number:
            return
        self._gathered.answers.extend(answer.answers)
        if answer.snapshot_gone:
            self._gathered.gone = self._gone(answer)
            self._outstanding.clear()

    def _gone(
        self, answer: messages.BatchAnswer
    ) -> frozenset[snapshot_availability.ServiceSnapshot]:
        return frozenset(
            snapshot_availability.ServiceSnapshot(
                self._plan.search.index, service, answer.snapshot
            )
            for service in answer.refused
        )
