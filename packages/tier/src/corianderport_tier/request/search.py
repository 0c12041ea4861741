"""corianderport_tier.request.search

The entry's work for one search: plan, split by owner, gather, answer.
"""

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import aggregator
from corianderport_tier.process import decision_log
from corianderport_tier.process import membership
from corianderport_tier.process import routing
from corianderport_tier.process import snapshot_availability
from corianderport_tier.request import coverage
from corianderport_tier.request import deadlines
from corianderport_tier.request import inboxes
from corianderport_tier.request import merging
from corianderport_tier.request import messages
from corianderport_tier.request import planning
from corianderport_tier import result_codes
from corianderport_tier.version import configuration

__all__ = ['SearchTask']

# Time kept for merging and for the way back to the caller.
_ANSWER_MARGIN_S = 0.003
_MAX_PLANS = 3
# Part of the time after which an owner that is silent is not relied on.
_FIRST_OWNER_SHARE = 0.5
_NO_RANK = -1
# Between two questions to owners of which none may send yet.
_ASK_AGAIN_S = 0.01
_ASK_AGAIN_LIMIT_S = 0.08
_ASK_AGAIN = (errors.NotOwner, errors.TransportError)


@attrs.define(eq=False)
class _Outstanding:
    """A service without an answer and the batches that may bring one."""

    sub_query: messages.SubQuery
    rank: int = 0
    batches: int = 0
    may_ask_again: bool = False


@attrs.define(eq=False)
class _Gathered:
    """What arrived for one plan."""

    answers: list[messages.ShardAnswer] = attrs.Factory(list)
    gone: frozenset[snapshot_availability.ServiceSnapshot] = frozenset()
    sub_requests: int = 0


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


class SearchTask:
    """Serves one search on the task of the caller's connection."""

    def __init__(
        self,
        request: messages.SearchRequest,
        accepted: configuration.Configuration,
        router: routing.Router,
        availability: snapshot_availability.SnapshotAvailability,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
    ) -> None:
        self._request = _bounded(request, accepted, clock)
        self._accepted = accepted
        self._router = router
        self._availability = availability
        self._clock = clock
        self._log = log

    def run(self) -> messages.SearchAnswer:
        """Return the answer by the request's deadline.

        A plan whose snapshot is gone is dropped as a whole, with all its
        answers, and the search is planned again.

        :raises UnknownService: the configuration has no such search.
        :raises DeadlinePast: the deadline passed before sending.
        """
        if self._request.deadline.passed(self._clock):
            raise errors.DeadlinePast('the deadline has passed')
        sub_requests = 0
        for _ in range(_MAX_PLANS):
            known = self._availability.gone()
            plan = planning.plan_search(self._accepted, self._request, known)
            gathered = self._gather(plan)
            sub_requests += gathered.sub_requests
            if gathered.gone <= known or self._too_late():
                break
            self._availability.report_gone(gathered.gone)
        return self._answer(plan, gathered, sub_requests)

    def _too_late(self) -> bool:
        return self._request.deadline.passed(self._clock)

    def _gather(self, plan: planning.SearchPlan) -> _Gathered:
        inbox: inboxes.Inbox[aggregator.BatchResult] = inboxes.Inbox(
            self._clock
        )
        outstanding = {
            sub_query.service: _Outstanding(sub_query)
            for sub_query in plan.sub_queries()
        }
        self._submit(plan, plan.sub_queries(), 0, inbox, outstanding)
        until = self._request.deadline.earlier(_ANSWER_MARGIN_S)
        patience_s = until.remaining(self._clock) * _FIRST_OWNER_SHARE
        first_until = deadlines.Deadline.after(self._clock, patience_s)
        gathered = _Gathered()
        failed_over = False
        ask_again = _AskAgain(self._clock)
        while outstanding and not until.passed(self._clock):
            timer = until if failed_over else first_until
            refused = [o for o in outstanding.values() if o.rank < 0]
            result = inbox.take(ask_again.next(timer) if refused else timer)
            if result is not None:
                self._on_result(plan, result, inbox, outstanding, gathered)
                continue
            if not failed_over and first_until.passed(self._clock):
                failed_over = True
                self._fail_over(plan, inbox, outstanding)
            if refused and ask_again.due():
                again = tuple(o.sub_query for o in refused)
                self._submit(plan, again, 0, inbox, outstanding)
        return gathered

    def _fail_over(
        self,
        plan: planning.SearchPlan,
        inbox: inboxes.Inbox[aggregator.BatchResult],
        outstanding: dict[str, _Outstanding],
    ) -> None:
        """Ask the second owners too; the first ones may still answer."""
        waiting = tuple(
            o.sub_query for o in outstanding.values() if o.rank == 0
        )
        self._submit(plan, waiting, 1, inbox, outstanding)

    def _submit(
        self,
        plan: planning.SearchPlan,
        sub_queries: tuple[messages.SubQuery, ...],
        rank: int,
        inbox: inboxes.Inbox[aggregator.BatchResult],
        outstanding: dict[str, _Outstanding],
    ) -> None:
        by_owner: dict[membership.Member, list[messages.SubQuery]] = {}
        for sub_query in sub_queries:
            owners = self._owners(sub_query.service)
            waiting = outstanding[sub_query.service]
            if rank >= len(owners):
                if waiting.batches > 0:
                    continue
                waiting.rank = _NO_RANK
                if not owners or not waiting.may_ask_again:
                    del outstanding[sub_query.service]
                continue
            waiting.rank = rank
            waiting.batches += 1
            by_owner.setdefault(owners[rank], []).append(sub_query)
        for owner, owned in by_owner.items():
            self._log.record(
                decision_log.Decision(
                    'owner',
                    self._request.request_id,
                    owner.name,
                    f'owner {rank + 1} of {len(owned)} services',
                )
            )
            batch = self._batch(plan, tuple(owned))
            self._router.aggregator(owner).submit(batch, inbox.put)

    def _owners(self, service: str) -> list[membership.Member]:
        """Return the owners; none when the service has been removed.

        Other services may have been asked already, so that the search as
        a whole can no longer be refused as not run.
        """
        try:
            return self._router.owners(service)
        except errors.UnknownService:
            return []

    def _batch(
        self,
        plan: planning.SearchPlan,
        sub_queries: tuple[messages.SubQuery, ...],
    ) -> messages.SubQueryBatch:
        request = self._request
        return messages.SubQueryBatch(
            request_id=request.request_id,
            index=plan.search.index,
            snapshot=plan.snapshot.number,
            query=request.query,
            limit=request.limit,
            deadline=request.deadline.earlier(2 * _ANSWER_MARGIN_S),
            sub_queries=sub_queries,
        )

    def _on_result(
        self,
        plan: planning.SearchPlan,
        result: aggregator.BatchResult,
        inbox: inboxes.Inbox[aggregator.BatchResult],
        outstanding: dict[str, _Outstanding],
        gathered: _Gathered,
    ) -> None:
        answer = result.answer
        if isinstance(answer, errors.CorianderportError):
            refused = {s.service for s in result.batch.sub_queries}
        else:
            refused = set(answer.not_owned)
        again: dict[int, list[messages.SubQuery]] = {}
        for sub_query in result.batch.sub_queries:
            waiting = outstanding.get(sub_query.service)
            if waiting is None:
                continue
            waiting.batches -= 1
            if sub_query.service in refused:
                waiting.may_ask_again = not isinstance(
                    answer, errors.CorianderportError
                ) or isinstance(answer, _ASK_AGAIN)
                again.setdefault(waiting.rank + 1, []).append(sub_query)
            else:
                del outstanding[sub_query.service]
        for rank, sub_queries in again.items():
            self._submit(plan, tuple(sub_queries), rank, inbox, outstanding)
        if isinstance(answer, errors.CorianderportError):
            return
        gathered.sub_requests += answer.sub_requests
        if answer.snapshot != plan.snapshot.number:
            return
        gathered.answers.extend(answer.answers)
        if answer.snapshot_gone:
            gathered.gone = _gone(plan, answer)
            outstanding.clear()

    def _answer(
        self,
        plan: planning.SearchPlan,
        gathered: _Gathered,
        sub_requests: int,
    ) -> messages.SearchAnswer:
        complete = coverage.complete_answers(plan.shards, gathered.answers)
        covered = coverage.measure(plan.shards, complete)
        return messages.SearchAnswer(
            code=_code(plan.search, covered),
            request_id=self._request.request_id,
            snapshot=plan.snapshot.number,
            coverage=covered,
            hits=merging.top_hits(complete.values(), self._request.limit),
            sub_requests=sub_requests,
        )


def _gone(
    plan: planning.SearchPlan, answer: messages.BatchAnswer
) -> frozenset[snapshot_availability.ServiceSnapshot]:
    return frozenset(
        snapshot_availability.ServiceSnapshot(
            plan.search.index, service, plan.snapshot.number
        )
        for service in answer.refused
    )


def _bounded(
    request: messages.SearchRequest,
    accepted: configuration.Configuration,
    clock: clocks.Clock,
) -> messages.SearchRequest:
    """Return the request with at most the deadline of its search."""
    known = accepted.searches.get(request.search)
    if known is None:
        return request
    deadline = request.deadline.within(clock, known.deadline_ms)
    return attrs.evolve(request, deadline=deadline)


def _code(
    search: configuration.Search, covered: messages.Coverage
) -> result_codes.ResultCode:
    if not covered.missing:
        return result_codes.ResultCode.OK
    needed = {
        configuration.CoverageGoal.BEST: 0.0,
        configuration.CoverageGoal.AT_LEAST: search.minimum_coverage,
        configuration.CoverageGoal.ALL: 1.0,
    }[search.coverage_goal]
    if covered.fraction < needed:
        return result_codes.ResultCode.COVERAGE_NOT_MET
    return result_codes.ResultCode.PARTIAL
