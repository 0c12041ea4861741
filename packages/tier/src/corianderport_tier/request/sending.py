"""corianderport_tier.request.sending

Sends the attempts of one batch of sub-queries.

Each attempt is checked again immediately before it is sent.
"""

import collections.abc

from corianderport_tier import clocks
from corianderport_tier.connection import pool
from corianderport_tier import errors
from corianderport_tier.process import capacity_queue
from corianderport_tier.process import decision_log
from corianderport_tier.process import latency
from corianderport_tier.process import upstream as upstream_module
from corianderport_tier.process import upstream_services
from corianderport_tier.request import attempts
from corianderport_tier.request import messages
from corianderport_tier.request import pending as pending_module
from corianderport_tier.version import configuration

__all__ = ['Sender']

PendingSubQuery = pending_module.PendingSubQuery
ActiveAttempt = pending_module.ActiveAttempt
Upstream = upstream_module.Upstream
Service = upstream_services.UpstreamService
Deliver = collections.abc.Callable[[attempts.AttemptResult], None]

# Interval at which a timed-out attempt is checked for a possible retry.
_RECHECK_INTERVAL_S = 0.05


class Sender:
    """Acquires searchers and starts attempts for one batch."""

    def __init__(
        self,
        batch: messages.SubQueryBatch,
        services: upstream_services.UpstreamServices,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
        deliver: Deliver,
    ) -> None:
        self._batch = batch
        self._services = services
        self._clock = clock
        self._log = log
        self._deliver = deliver
        self._used_services: dict[str, Service] = {}
        self._sent = 0

    @property
    def sent(self) -> int:
        """Number of started attempts."""
        return self._sent

    def send(self, pending: PendingSubQuery) -> bool:
        """Start an attempt; return False if no searcher has capacity.

        :raises CorianderportError: the sub-query can no longer be sent.
        """
        self._check_deadline()
        service_state = self._current(pending.service)
        upstream = service_state.upstreams.try_acquire(
            self._services.allowed(), pending.tried
        )
        if upstream is None:
            return False
        self._start_first(pending, service_state, upstream)
        return True

    def send_granted(
        self, pending: PendingSubQuery, upstream: Upstream
    ) -> bool:
        """Start an attempt at a searcher granted after waiting.

        :return: False if nothing may be sent to the searcher any more.
        """
        if self._batch.deadline.passed(self._clock):
            return False
        if not self._may_send(pending.service, upstream):
            return False
        service_state = self._used_services[pending.service]
        self._start_first(pending, service_state, upstream)
        return True

    def hedge(self, pending: PendingSubQuery) -> None:
        """Start a concurrent attempt if the hedging budget allows it."""
        service_state = self._used_services[pending.service]
        upstream = service_state.upstreams.try_hedge(
            self._services.allowed(), pending.tried
        )
        if upstream is not None:
            self._start(pending, service_state, upstream, 'hedge')

    def abandon_attempt(self, active_attempt: ActiveAttempt) -> None:
        """Abandon a timed-out attempt if a retry can be sent.

        The budget has to allow it, and a searcher has to take it before the
        deadline. Otherwise the reply of the attempt is the only one to come.
        """
        attempt = active_attempt.attempt
        upstreams = self._used_services[attempt.service].upstreams
        if not self._can_replace(attempt):
            active_attempt.timeout_at_s = (
                self._clock.monotonic() + _RECHECK_INTERVAL_S
            )
            return
        active_attempt.timeout_at_s = None
        if upstreams.try_retry_running():
            attempt.abandon()
            self.cancel(active_attempt, superseded=False)

    def cancel(self, active_attempt: ActiveAttempt, superseded: bool) -> None:
        """Cancel an attempt by a job on another connection.

        :param superseded: a faster attempt has answered first.
        """
        attempt = active_attempt.attempt
        service_state = self._used_services[attempt.service]
        if superseded:
            attempt.superseded = True
            service_state.upstreams.record_superseded(attempt.upstream)

        def on_confirmed() -> bool:
            attempt.cancel_confirmed = True
            return service_state.upstreams.confirm_cancelled(
                attempt.upstream, attempt.call.attempt_id
            )

        job = attempts.CancelJob(
            attempt, on_confirmed, self._abandon_at_s(active_attempt)
        )
        try:
            service_state.pool(attempt.upstream.searcher).submit(
                job, pool.NEW_CONNECTION
            )
        except errors.CorianderportError as error:
            self._record('cancel', attempt.upstream.name, str(error))

    def wait(
        self, pending: PendingSubQuery, waiter: capacity_queue.CapacityWaiter
    ) -> None:
        """Queue a sub-query for capacity.

        :raises NoUpstream: no searcher is available for it.
        :raises Overloaded: it cannot finish by its deadline.
        """
        pending.waiting = True
        self._used_services[pending.service].upstreams.add_waiter(
            capacity_queue.QueuedRequest(
                waiter,
                self._batch.deadline,
                self._allowed_now,
                frozenset(pending.tried),
            )
        )

    def stop_waiting(
        self, service: str, waiter: capacity_queue.CapacityWaiter
    ) -> None:
        """Remove a sub-query from the capacity queue."""
        service_state = self._used_services.get(service)
        if service_state is not None:
            service_state.upstreams.discard_waiter(waiter)

    def poll(self, service: str) -> None:
        """Grant capacity that became free without a reply."""
        self._used_services[service].upstreams.poll()

    def next_change_s(self, service: str) -> float | None:
        """Return when capacity may appear without a reply; None if never."""
        return self._used_services[service].upstreams.next_change_s()

    def release_unused(self, service: str, upstream: Upstream) -> None:
        """Release a searcher that was acquired but not sent to."""
        self._used_services[service].upstreams.release(upstream, None)

    def has_untried(self, pending: PendingSubQuery) -> bool:
        """Whether a searcher that has not been tried is available."""
        upstreams = self._used_services[pending.service].upstreams
        return bool(
            upstreams.candidates(self._services.allowed(), pending.tried)
        )

    def may_retry(
        self, pending: PendingSubQuery, result: attempts.AttemptResult
    ) -> bool:
        """Whether the budgets allow a retry after this result."""
        upstreams = self._used_services[pending.service].upstreams
        if not result.outcome.kind.may_be_running:
            return upstreams.try_retry()
        # An abandoned attempt was already charged to the budget.
        return result.attempt.is_abandoned or upstreams.try_retry_running()

    def backoff_s(self, pending: PendingSubQuery) -> float:
        """Return the delay before the next retry in seconds."""
        upstreams = self._used_services[pending.service].upstreams
        return upstreams.backoff.delay_s(pending.retries)

    def _check_deadline(self) -> None:
        if self._batch.deadline.passed(self._clock):
            raise errors.DeadlinePast('no time is left to send the sub-query')

    def _current(self, service: str) -> Service:
        service_state = self._services.get(service)
        self._used_services[service] = service_state
        return service_state

    def _allowed_now(self, searcher: configuration.Searcher) -> bool:
        return self._services.allowed()(searcher)

    def _may_send(self, service: str, upstream: Upstream) -> bool:
        try:
            upstreams = self._services.get(service).upstreams
        except errors.CorianderportError:
            return False
        allowed = self._services.allowed()
        return upstreams.may_send(upstream, allowed)

    def _can_replace(self, attempt: attempts.SearchAttempt) -> bool:
        try:
            upstreams = self._services.get(attempt.service).upstreams
        except errors.CorianderportError:
            return False
        allowed = self._services.allowed()
        return upstreams.can_replace_attempt(attempt.upstream, allowed)

    def _start_first(
        self,
        pending: PendingSubQuery,
        service_state: Service,
        upstream: Upstream,
    ) -> None:
        """Start an attempt while no other one is active."""
        if pending.sends:
            self._start(pending, service_state, upstream, 'retry')
            return
        service_state.upstreams.count_request()
        self._start(pending, service_state, upstream, 'route')
        # A searcher on probation is probed with a copy of the request, so
        # that the request does not depend on its reply.
        probed = service_state.upstreams.try_probe(
            self._services.allowed(), pending.tried
        )
        if probed is not None:
            self._start(pending, service_state, probed, 'probe')

    def _start(
        self,
        pending: PendingSubQuery,
        service_state: Service,
        upstream: Upstream,
        kind: str,
    ) -> None:
        active_attempt = self._new_active_attempt(
            pending, service_state, upstream
        )
        attempt = active_attempt.attempt
        pending.tried.add(upstream.name)
        pending.sends += 1
        pending.active_attempts[attempt.call.attempt_id] = active_attempt
        self._record(
            kind,
            upstream.name,
            f'attempt {pending.sends} for {pending.service}',
            self._untried(pending, service_state),
        )
        try:
            connections = service_state.pool(upstream.searcher)
            connections.submit(
                attempt,
                pool.NEW_CONNECTION if pending.fresh else pool.ANY_CONNECTION,
            )
        except errors.CorianderportError as error:
            attempt.finish(error)

    def _new_active_attempt(
        self,
        pending: PendingSubQuery,
        service_state: Service,
        upstream: Upstream,
    ) -> ActiveAttempt:
        self._sent += 1
        now_s = self._clock.monotonic()
        first = not pending.active_attempts
        attempt = attempts.SearchAttempt(
            service=pending.service,
            call=self._call(pending, upstream),
            upstream=upstream,
            clock=self._clock,
            may_send=lambda: self._may_send(pending.service, upstream),
            deliver=self._result_handler(service_state),
            started_s=now_s,
        )
        times = service_state.upstreams.attempt_times
        hedge_s = times.hedge_s if first else None
        return ActiveAttempt(
            attempt=attempt,
            first=first,
            hedge_at_s=None if hedge_s is None else now_s + hedge_s,
            timeout_at_s=now_s + self._timeout_s(times),
        )

    def _call(
        self, pending: PendingSubQuery, upstream: Upstream
    ) -> messages.UpstreamSearch:
        batch = self._batch
        return messages.UpstreamSearch(
            request_id=batch.request_id,
            attempt_id=f'{batch.request_id}.{upstream.name}.{self._sent}',
            index=batch.index,
            snapshot=batch.snapshot,
            shards=pending.remaining,
            query=batch.query,
            limit=batch.limit,
            deadline=batch.deadline,
        )

    def _timeout_s(self, times: latency.AttemptTimes) -> float:
        if times.timeout_s is not None:
            return times.timeout_s
        return self._batch.deadline.remaining(self._clock) / 2

    def _abandon_at_s(self, active_attempt: ActiveAttempt) -> float:
        attempt = active_attempt.attempt
        service_state = self._used_services[attempt.service]
        times = service_state.upstreams.attempt_times
        abandon_at_s = attempt.started_s + self._timeout_s(times)
        return min(abandon_at_s, attempt.call.deadline.at_s)

    def _result_handler(self, service_state: Service) -> Deliver:
        def deliver(result: attempts.AttemptResult) -> None:
            # Release on the connection's task, so that the searcher's load
            # stays correct even if the request has already ended.
            outcome = result.outcome
            upstream = result.attempt.upstream
            service_state.upstreams.release(upstream, None, outcome)
            if result.attempt.cancel_confirmed:
                service_state.upstreams.confirm_cancelled(
                    upstream, result.attempt.call.attempt_id
                )
            self._deliver(result)

        return deliver

    def _untried(
        self, pending: PendingSubQuery, service_state: Service
    ) -> tuple[str, ...]:
        """Return the untried searchers for the decision log."""
        allowed = self._services.allowed()
        return tuple(
            searcher.name
            for searcher in service_state.service.searchers
            if searcher.name not in pending.tried and allowed(searcher)
        )

    def _record(
        self,
        kind: str,
        choice: str,
        reason: str,
        alternatives: tuple[str, ...] = (),
    ) -> None:
        self._log.record(
            decision_log.Decision(
                kind, self._batch.request_id, choice, reason, alternatives
            )
        )
