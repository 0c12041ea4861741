"""corianderport_tier.request.gather

Runs one batch of sub-queries at the searchers of their services.
"""

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import drain
from corianderport_tier.process import outcomes
from corianderport_tier.process import upstream as upstream_module
from corianderport_tier.process import upstream_services
from corianderport_tier.request import attempts
from corianderport_tier.request import deadlines
from corianderport_tier.request import inboxes
from corianderport_tier.request import messages
from corianderport_tier.request import pending as pending_module
from corianderport_tier.request import sending
from corianderport_tier.request import validation

__all__ = ['Gather']

_MAX_SENDS = 8

PendingSubQuery = pending_module.PendingSubQuery
Upstream = upstream_module.Upstream


@attrs.frozen
class _CapacityGrant:
    """The end of a sub-query's wait for capacity.

    ``upstream`` is None if no searcher could be granted in time.
    """

    service: str
    upstream: Upstream | None


_Event = attempts.AttemptResult | _CapacityGrant | drain.DrainBegun


class Gather:
    """Runs one batch on the request's task.

    Hedges, retries and timeouts are driven by the timeout of the task's
    wait for results.

    :param host_drain: ends the batch before a stopping host exits.
    """

    def __init__(
        self,
        batch: messages.SubQueryBatch,
        services: upstream_services.UpstreamServices,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
        host_drain: drain.Drain | None = None,
    ) -> None:
        self._drain = host_drain or drain.Drain(clock)
        self._batch = batch
        self._answer_by = batch.deadline
        self._services = services
        self._clock = clock
        self._log = log
        self._inbox: inboxes.Inbox[_Event] = inboxes.Inbox(clock)
        self._sender = sending.Sender(
            batch, services, clock, log, self._inbox.put
        )
        self._pending: dict[str, PendingSubQuery] = {}
        self._answers: list[messages.ShardAnswer] = []
        self._refused_services: list[str] = []
        self._gone_services: list[str] = []
        self._held_snapshots: tuple[int, ...] = ()

    def run(self) -> messages.BatchAnswer:
        """Return the answers that arrived by the batch's deadline."""
        with self._drain.watching(self._inbox.put):
            try:
                for sub_query in self._batch.sub_queries:
                    pending = PendingSubQuery(sub_query)
                    self._pending[sub_query.service] = pending
                    self._send(pending)
                self._gather()
            finally:
                self._end()
        return messages.BatchAnswer(
            request_id=self._batch.request_id,
            snapshot=self._batch.snapshot,
            answers=tuple(self._answers),
            refused=tuple(self._gone_services or self._refused_services),
            snapshot_gone=bool(self._gone_services),
            held=self._held_snapshots,
            sub_requests=self._sender.sent,
        )

    def capacity_granted(
        self, service: str, upstream: Upstream | None
    ) -> bool:
        """Accept a searcher that a sub-query waited for.

        :return: False if the request has ended and does not use it.
        """
        return self._inbox.offer(_CapacityGrant(service, upstream))

    def _gather(self) -> None:
        while self._pending and not self._gone_services:
            event = self._inbox.take(self._next_timer())
            if event is None:
                if self._answer_by.passed(self._clock):
                    return
                self._on_timers()
            elif isinstance(event, drain.DrainBegun):
                self._answer_by = min(self._answer_by, event.deadline)
            elif isinstance(event, _CapacityGrant):
                self._on_granted(event)
            else:
                self._on_result(event)

    def _next_timer(self) -> deadlines.Deadline:
        timers_s = [self._answer_by.at_s]
        for pending in self._pending.values():
            timer_s = pending.next_timer_s()
            if pending.waiting:
                timer_s = self._sender.next_change_s(pending.service)
            if timer_s is not None:
                timers_s.append(timer_s)
        return deadlines.Deadline(min(timers_s))

    def _on_timers(self) -> None:
        now_s = self._clock.monotonic()
        for pending in list(self._pending.values()):
            if pending.waiting:
                self._sender.poll(pending.service)
            elif _due(pending.retry_at_s, now_s):
                pending.retry_at_s = None
                self._send(pending)
            for active_attempt in list(pending.active_attempts.values()):
                if _due(active_attempt.timeout_at_s, now_s):
                    self._sender.abandon_attempt(active_attempt)
                if _due(active_attempt.hedge_at_s, now_s):
                    active_attempt.hedge_at_s = None
                    self._sender.hedge(pending)

    def _send(self, pending: PendingSubQuery) -> None:
        try:
            if not self._sender.send(pending):
                self._sender.wait(pending, self)
        except errors.CorianderportError as error:
            self._give_up(pending, str(error))

    def _on_granted(self, event: _CapacityGrant) -> None:
        pending = self._pending.get(event.service)
        if pending is None or not pending.waiting:
            self._release_unused(event)
            return
        pending.waiting = False
        if event.upstream is None:
            self._give_up(pending, 'no searcher had capacity in time')
        elif not self._sender.send_granted(pending, event.upstream):
            # The searcher was taken out of service during the wait.
            self._release_unused(event)
            self._send(pending)

    def _on_result(self, result: attempts.AttemptResult) -> None:
        pending = self._pending.get(result.attempt.service)
        if pending is None:
            return
        pending.active_attempts.pop(result.attempt.call.attempt_id, None)
        reply = result.reply
        if result.outcome.kind in _MAY_HAVE_RUN:
            pending.may_have_run = True
        if isinstance(reply, messages.UpstreamSearchReply):
            answers = validation.usable_answers(result.attempt.call, reply)
            if pending.accept(answers):
                self._complete(pending)
                return
        elif isinstance(reply, messages.UpstreamRefusal) and (
            reply.reason is messages.RefusalReason.SNAPSHOT_GONE
        ):
            pending.snapshot_gone = True
            self._held_snapshots = reply.held
        if not pending.active_attempts:
            self._retry(pending, result)

    def _complete(self, pending: PendingSubQuery) -> None:
        del self._pending[pending.service]
        self._answers.extend(pending.answers)
        for active_attempt in pending.active_attempts.values():
            self._sender.cancel(
                active_attempt, superseded=active_attempt.first
            )

    def _retry(
        self, pending: PendingSubQuery, result: attempts.AttemptResult
    ) -> None:
        has_untried = self._sender.has_untried(pending)
        if pending.snapshot_gone and not has_untried:
            self._gone_services.append(pending.service)
            return
        if pending.sends >= _MAX_SENDS or not self._sender.may_retry(
            pending, result
        ):
            self._give_up(pending, 'no further retry is allowed')
            return
        if not has_untried:
            pending.tried.clear()
        # If the request was lost, idle connections may be half-open too.
        pending.fresh = result.outcome.kind.may_be_running
        pending.retries += 1
        shed = result.outcome.kind is outcomes.OutcomeKind.SHED
        if has_untried and (pending.retries == 1 or not shed):
            self._send(pending)
        else:
            delay_s = self._sender.backoff_s(pending)
            pending.retry_at_s = self._clock.monotonic() + delay_s

    def _give_up(self, pending: PendingSubQuery, reason: str) -> None:
        service = pending.service
        self._pending.pop(service, None)
        self._answers.extend(pending.answers)
        for active_attempt in pending.active_attempts.values():
            self._sender.cancel(active_attempt, superseded=False)
        if not pending.may_have_run and not pending.active_attempts:
            self._refused_services.append(service)
        self._log.record(
            decision_log.Decision(
                'give-up', self._batch.request_id, service, reason
            )
        )

    def _release_unused(self, event: _Event) -> None:
        """Release a searcher that was granted but not used."""
        if isinstance(event, _CapacityGrant) and event.upstream is not None:
            self._sender.release_unused(event.service, event.upstream)

    def _end(self) -> None:
        """Give up unanswered sub-queries and release unused searchers."""
        for pending in list(self._pending.values()):
            self._sender.stop_waiting(pending.service, self)
            self._give_up(pending, 'the sub-query was not answered in time')
        for event in self._inbox.close():
            self._release_unused(event)


_MAY_HAVE_RUN = frozenset(
    {
        outcomes.OutcomeKind.ANSWERED,
        outcomes.OutcomeKind.BROKEN,
        outcomes.OutcomeKind.SILENT,
    }
)


def _due(at_s: float | None, now_s: float) -> bool:
    return at_s is not None and at_s <= now_s
