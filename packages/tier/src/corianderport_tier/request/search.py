"""corianderport_tier.request.search

Handles one search request on the entry host: plan, gather, answer.
"""

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import aggregator
from corianderport_tier.process import snapshot_availability
from corianderport_tier.request import coverage
from corianderport_tier.request import merging
from corianderport_tier.request import messages
from corianderport_tier.request import planning
from corianderport_tier import result_codes
from corianderport_tier.version import configuration

__all__ = ['SearchTask']

# Maximum number of times that a search is planned when snapshots are gone.
_MAX_PLANS = 3
# Time reserved for merging and for returning the response to the caller.
_ANSWER_MARGIN_S = 0.006


class SearchTask:
    """Runs one search on the task of the caller's connection."""

    def __init__(
        self,
        request: messages.SearchRequest,
        accepted: configuration.Configuration,
        sender: aggregator.Aggregator,
        availability: snapshot_availability.SnapshotAvailability,
        clock: clocks.Clock,
    ) -> None:
        self._request = _limit_deadline(request, accepted, clock)
        self._accepted = accepted
        self._sender = sender
        self._availability = availability
        self._clock = clock

    def run(self) -> messages.SearchAnswer:
        """Return the answer by the request's deadline.

        If a searcher no longer holds the planned snapshot, all answers of
        the plan are discarded and the search is planned again, so that an
        answer never mixes snapshots.

        :raises UnknownService: the configuration has no such search.
        :raises DeadlinePast: the deadline passed before anything was sent.
        """
        if self._request.deadline.passed(self._clock):
            raise errors.DeadlinePast('the deadline has passed')
        sub_requests = 0
        for _ in range(_MAX_PLANS):
            reported_gone = self._availability.gone()
            plan = planning.plan_search(
                self._accepted, self._request, reported_gone
            )
            gathered = self._sender.run(self._batch(plan))
            sub_requests += gathered.sub_requests
            gone = _gone_snapshots(plan, gathered)
            if gone <= reported_gone or self._deadline_passed():
                break
            self._availability.report_gone(gone)
        return self._answer(plan, gathered, sub_requests)

    def _deadline_passed(self) -> bool:
        return self._request.deadline.passed(self._clock)

    def _batch(self, plan: planning.SearchPlan) -> messages.SubQueryBatch:
        request = self._request
        return messages.SubQueryBatch(
            request_id=request.request_id,
            index=plan.search.index,
            snapshot=plan.snapshot.number,
            query=request.query,
            limit=request.limit,
            deadline=request.deadline.earlier(_ANSWER_MARGIN_S),
            sub_queries=tuple(plan.sub_queries()),
        )

    def _answer(
        self,
        plan: planning.SearchPlan,
        gathered: messages.BatchAnswer,
        sub_requests: int,
    ) -> messages.SearchAnswer:
        complete = coverage.complete_answers(plan.shards, gathered.answers)
        covered = coverage.measure(plan.shards, complete)
        return messages.SearchAnswer(
            code=_result_code(plan.search, covered),
            request_id=self._request.request_id,
            snapshot=plan.snapshot.number,
            coverage=covered,
            hits=merging.top_hits(complete.values(), self._request.limit),
            sub_requests=sub_requests,
        )


def _limit_deadline(
    request: messages.SearchRequest,
    accepted: configuration.Configuration,
    clock: clocks.Clock,
) -> messages.SearchRequest:
    """Limit the deadline to the configured deadline of the search."""
    configured = accepted.searches.get(request.search)
    if configured is None:
        return request
    deadline = request.deadline.within(clock, configured.deadline_ms)
    return attrs.evolve(request, deadline=deadline)


def _gone_snapshots(
    plan: planning.SearchPlan, gathered: messages.BatchAnswer
) -> frozenset[snapshot_availability.ServiceSnapshot]:
    """Return the snapshots that searchers reported gone."""
    if not gathered.snapshot_gone:
        return frozenset()
    return frozenset(
        snapshot_availability.ServiceSnapshot(
            plan.search.index, service, plan.snapshot.number
        )
        for service in gathered.refused
    )


def _result_code(
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
