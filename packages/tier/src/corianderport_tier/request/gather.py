"""corianderport_tier.request.gather

The owner's work for one batch: attempts at the searchers of its services.
"""

import collections.abc

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import owned_services
from corianderport_tier.process import upstreams
from corianderport_tier.request import attempts
from corianderport_tier.request import inboxes
from corianderport_tier.request import messages

__all__ = ['Gather']


@attrs.define(eq=False)
class _Pending:
    """A sub-query without a usable reply."""

    sub_query: messages.SubQuery
    tried: set[str] = attrs.Factory(set)
    waiting: bool = False


@attrs.frozen
class _CapacityFreed:
    """A searcher of the service has room."""

    service: str


class Gather:
    """Runs one batch on the request's task."""

    def __init__(
        self,
        batch: messages.SubQueryBatch,
        services: owned_services.OwnedServices,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
    ) -> None:
        self._batch = batch
        self._services = services
        self._clock = clock
        self._log = log
        self._inbox: inboxes.Inbox[attempts.AttemptResult | _CapacityFreed] = (
            inboxes.Inbox(clock)
        )
        self._pending: dict[str, _Pending] = {}
        self._answers: list[messages.ShardAnswer] = []
        self._refused: list[str] = []
        self._held: tuple[int, ...] = ()
        self._snapshot_gone = False
        self._sent = 0

    def run(self) -> messages.BatchAnswer:
        """Return what arrived by the batch's deadline."""
        for sub_query in self._batch.sub_queries:
            pending = _Pending(sub_query)
            self._pending[sub_query.service] = pending
            self._send(pending)
        while self._pending and not self._snapshot_gone:
            item = self._inbox.take(self._batch.deadline)
            if item is None:
                break
            if isinstance(item, _CapacityFreed):
                self._on_capacity(item)
            else:
                self._on_result(item)
        return messages.BatchAnswer(
            request_id=self._batch.request_id,
            snapshot=self._batch.snapshot,
            answers=tuple(self._answers),
            refused=tuple(self._refused),
            snapshot_gone=self._snapshot_gone,
            held=self._held,
            sub_requests=self._sent,
        )

    def capacity_freed(self, service: str) -> None:
        """Learn that a searcher of the service has room."""
        self._inbox.put(_CapacityFreed(service))

    def _send(self, pending: _Pending) -> None:
        service = pending.sub_query.service
        try:
            owned = self._services.get(service)
            # Checked at the moment of sending: the configuration may have
            # changed since the search was planned.
            allowed = self._services.allowed()
        except errors.CorianderportError as error:
            self._give_up(pending, str(error))
            return
        upstream = owned.upstreams.try_acquire(allowed, pending.tried)
        if upstream is None:
            self._wait_for_capacity(pending, owned, allowed)
            return
        pending.tried.add(upstream.name)
        self._start(pending, owned, upstream)

    def _start(
        self,
        pending: _Pending,
        owned: owned_services.OwnedService,
        upstream: upstreams.Upstream,
    ) -> None:
        self._sent += 1
        batch = self._batch
        attempt = attempts.SearchAttempt(
            sub_query=pending.sub_query,
            call=messages.UpstreamSearch(
                request_id=batch.request_id,
                attempt_id=f'{batch.request_id}.{upstream.name}.{self._sent}',
                index=batch.index,
                snapshot=batch.snapshot,
                shards=pending.sub_query.shards,
                query=batch.query,
                limit=batch.limit,
                deadline=batch.deadline,
            ),
            upstream=upstream,
            clock=self._clock,
            deliver=self._deliver(owned),
            started_s=self._clock.monotonic(),
        )
        self._log.record(
            decision_log.Decision(
                'route',
                batch.request_id,
                upstream.name,
                f'attempt {len(pending.tried)} for '
                f'{pending.sub_query.service}',
            )
        )
        try:
            owned.pool(upstream.searcher).submit(attempt)
        except errors.CorianderportError as error:
            attempt.finish(error)

    def _deliver(
        self, owned: owned_services.OwnedService
    ) -> collections.abc.Callable[[attempts.AttemptResult], None]:
        def deliver(result: attempts.AttemptResult) -> None:
            # Released on the connection's task, so that the searcher's
            # load is right even after the request has ended.
            answered = isinstance(result.reply, messages.UpstreamSearchReply)
            owned.upstreams.release(
                result.attempt.upstream,
                result.elapsed_s if answered else None,
            )
            self._inbox.put(result)

        return deliver

    def _wait_for_capacity(
        self,
        pending: _Pending,
        owned: owned_services.OwnedService,
        allowed: owned_services.SearcherFilter,
    ) -> None:
        untried = [
            u
            for u in owned.upstreams.candidates(allowed)
            if u.name not in pending.tried
        ]
        if not untried:
            self._give_up(pending, 'no searcher left to try')
            return
        pending.waiting = True
        owned.upstreams.add_waiter(self)

    def _give_up(self, pending: _Pending, reason: str) -> None:
        service = pending.sub_query.service
        self._pending.pop(service, None)
        self._refused.append(service)
        self._log.record(
            decision_log.Decision(
                'give-up', self._batch.request_id, service, reason
            )
        )

    def _on_capacity(self, item: _CapacityFreed) -> None:
        pending = self._pending.get(item.service)
        if pending is not None and pending.waiting:
            pending.waiting = False
            self._send(pending)

    def _on_result(self, result: attempts.AttemptResult) -> None:
        pending = self._pending.get(result.attempt.sub_query.service)
        reply = result.reply
        if pending is None:
            return
        if isinstance(reply, messages.UpstreamSearchReply):
            if reply.snapshot == self._batch.snapshot:
                del self._pending[pending.sub_query.service]
                self._answers.extend(reply.answers)
                return
        elif isinstance(reply, messages.UpstreamRefusal) and (
            reply.reason is messages.RefusalReason.SNAPSHOT_GONE
        ):
            self._snapshot_gone = True
            self._held = reply.held
            self._refused.append(pending.sub_query.service)
            return
        self._send(pending)
