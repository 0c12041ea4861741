"""corianderport_tier.request.action_attempts

Sends an action to a searcher, at most once.
"""

import collections.abc
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import capacity_queue
from corianderport_tier.process import decision_log
from corianderport_tier.process import drain
from corianderport_tier.process import outcomes
from corianderport_tier.process import upstream_services
from corianderport_tier.process import upstreams
from corianderport_tier.request import inboxes
from corianderport_tier.request import messages
from corianderport_tier import result_codes
from corianderport_tier.version import configuration

__all__ = ['ActionAttempt', 'ActionRun']

Reply = (
    messages.UpstreamActionReply
    | messages.UpstreamRefusal
    | errors.CorianderportError
)
Deliver = collections.abc.Callable[['ActionAttempt', Reply], None]


@attrs.frozen
class _CapacityGrant:
    """The end of a wait for capacity.

    ``upstream`` is None if no searcher could be granted in time.
    """

    upstream: upstreams.Upstream | None


@attrs.define(eq=False)
class ActionAttempt:
    """Connection job that sends an action to one searcher.

    ``check`` is called immediately before sending. ``deliver`` is called
    exactly once, on the connection's task.
    """

    call: messages.UpstreamAction
    upstream: upstreams.Upstream
    check: transports.SendCheck
    deliver: Deliver
    clock: clocks.Clock
    started_s: float
    _lock: threading.Lock = attrs.Factory(threading.Lock)
    _sending: bool = False
    _cancelled: bool = False

    def perform(self, transport: transports.UpstreamTransport) -> Reply:
        """Send the action and return the reply.

        :raises ConnectionBroken: the reply belongs to another attempt.
        """
        timeout_s = self.call.deadline.remaining(self.clock)
        if timeout_s <= 0:
            raise errors.DeadlinePast('no time is left to send the action')
        reply = transport.act(self.call, timeout_s, self._start_sending)
        if isinstance(reply, messages.UpstreamActionReply) and (
            reply.attempt_id != self.call.attempt_id
            or reply.request_id != self.call.request_id
        ):
            raise errors.ConnectionBroken(
                'the reply belongs to another attempt'
            )
        return reply

    def finish(self, reply: object) -> None:
        """Deliver the result to the request."""
        assert isinstance(
            reply,
            messages.UpstreamActionReply
            | messages.UpstreamRefusal
            | errors.CorianderportError,
        )
        self.deliver(self, reply)

    def cancel(self) -> bool:
        """Prevent sending; return False if sending has already started."""
        with self._lock:
            self._cancelled = True
            return not self._sending

    def _start_sending(self) -> None:
        self.check()
        with self._lock:
            if self._cancelled:
                raise errors.DeadlinePast('the request has ended')
            self._sending = True


class ActionRun:
    """Runs one action on the request's task.

    Another searcher is tried only if no byte was sent or the previous
    searcher explicitly refused, so the action runs at most once.

    :param host_drain: ends the action before a stopping host exits.
    """

    def __init__(
        self,
        call: messages.ActionCall,
        services: upstream_services.UpstreamServices,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
        host_drain: drain.Drain | None = None,
    ) -> None:
        self._drain = host_drain or drain.Drain(clock)
        self._call = call
        self._request = call.request
        self._answer_by = call.request.deadline
        self._services = services
        self._clock = clock
        self._log = log
        self._tried: set[str] = set()
        self._refused = False
        self._inbox: inboxes.Inbox[
            Reply | _CapacityGrant | drain.DrainBegun
        ] = inboxes.Inbox(clock)

    def run(self) -> messages.ActionAnswer:
        """Run the action and return its outcome.

        :raises Refusal: no searcher ran the action or will run it.
        :raises OutcomeUnknown: a searcher may have run the action.
        """
        service = self._services.get(self._call.service)
        with self._drain.watching(self._inbox.put):
            try:
                while True:
                    upstream = self._acquire(service)
                    reply = self._attempt(service, upstream)
                    if isinstance(reply, messages.UpstreamActionReply):
                        return self._answer(reply)
                    self._check_not_run(upstream, reply)
            finally:
                self._end(service)

    def capacity_granted(
        self, service: str, upstream: upstreams.Upstream | None
    ) -> bool:
        """Accept a searcher that the request waited for.

        :return: False if the request has ended and does not use it.
        """
        return self._inbox.offer(_CapacityGrant(upstream))

    def _end(self, service: upstream_services.UpstreamService) -> None:
        """Leave the queue and release a searcher that was not used."""
        service.upstreams.discard_waiter(self)
        for item in self._inbox.close():
            if isinstance(item, _CapacityGrant) and item.upstream is not None:
                service.upstreams.release(item.upstream, None)

    def _acquire(
        self, service: upstream_services.UpstreamService
    ) -> upstreams.Upstream:
        if self._answer_by.passed(self._clock):
            raise self._end_error()
        allowed = self._services.allowed()
        upstream = service.upstreams.try_acquire(allowed, self._tried)
        if upstream is not None:
            return upstream
        candidates = service.upstreams.candidates(allowed)
        if all(u.name in self._tried for u in candidates):
            raise self._no_searcher_error()
        service.upstreams.add_waiter(
            capacity_queue.QueuedRequest(
                self,
                self._request.deadline,
                self._allowed_now,
                frozenset(self._tried),
            )
        )
        item = self._take()
        if isinstance(item, _CapacityGrant) and item.upstream is not None:
            return item.upstream
        if item is None:
            raise self._end_error()
        raise errors.Overloaded('no searcher had capacity before the deadline')

    def _take(self) -> Reply | _CapacityGrant | None:
        """Return the next item, or None if the request has to end."""
        while True:
            item = self._inbox.take(self._answer_by)
            if not isinstance(item, drain.DrainBegun):
                return item
            self._answer_by = min(self._answer_by, item.deadline)

    def _allowed_now(self, searcher: configuration.Searcher) -> bool:
        return self._services.allowed()(searcher)

    def _end_error(self) -> errors.Refusal:
        if self._answer_by < self._request.deadline:
            return errors.NotReady('the host is shutting down')
        return errors.DeadlinePast('the deadline has passed')

    def _no_searcher_error(self) -> errors.Refusal:
        if self._refused:
            return errors.UpstreamRefused('every searcher refused the action')
        return errors.NoUpstream('no searcher can be reached')

    def _attempt(
        self,
        service: upstream_services.UpstreamService,
        upstream: upstreams.Upstream,
    ) -> Reply:
        self._tried.add(upstream.name)
        attempt = self._new_attempt(service, upstream)
        self._log.record(
            decision_log.Decision(
                'act',
                self._request.request_id,
                upstream.name,
                f'attempt {len(self._tried)} for {self._call.service}',
            )
        )
        try:
            service.pool(upstream.searcher).submit(attempt)
        except errors.CorianderportError as error:
            attempt.finish(error)
        while True:
            item = self._take()
            if item is None and attempt.cancel():
                return self._end_error()
            if item is None:
                return errors.OutcomeUnknown(
                    'the searcher did not answer by the deadline'
                )
            if not isinstance(item, _CapacityGrant):
                return item

    def _new_attempt(
        self,
        service: upstream_services.UpstreamService,
        upstream: upstreams.Upstream,
    ) -> ActionAttempt:
        request = self._request

        def deliver(attempt: ActionAttempt, reply: Reply) -> None:
            # Release on the connection's task: the searcher is still busy
            # with the action even if its request has already ended.
            elapsed_s = self._clock.monotonic() - attempt.started_s
            outcome = outcomes.Outcome.from_reply(
                reply,
                elapsed_s,
                attempt.call.attempt_id,
                attempt.call.deadline.at_s,
            )
            answered = outcome.kind is outcomes.OutcomeKind.ANSWERED
            service.upstreams.release(
                upstream, elapsed_s if answered else None, outcome
            )
            self._inbox.put(reply)

        def check() -> None:
            if request.deadline.passed(self._clock):
                raise errors.DeadlinePast('the deadline has passed')
            if not service.upstreams.may_send(
                upstream, self._services.allowed()
            ):
                raise errors.NoUpstream(f'{upstream.name} is out of service')

        return ActionAttempt(
            call=messages.UpstreamAction(
                request_id=request.request_id,
                attempt_id=f'{request.request_id}.{len(self._tried)}',
                action=request.action,
                payload=request.payload,
                deadline=request.deadline,
            ),
            upstream=upstream,
            check=check,
            deliver=deliver,
            clock=self._clock,
            started_s=self._clock.monotonic(),
        )

    def _answer(
        self, reply: messages.UpstreamActionReply
    ) -> messages.ActionAnswer:
        code = (
            result_codes.ResultCode.OK
            if reply.succeeded
            else result_codes.ResultCode.UPSTREAM_FAILED
        )
        return messages.ActionAnswer(
            code, self._request.request_id, reply.outcome
        )

    def _check_not_run(
        self,
        upstream: upstreams.Upstream,
        reply: messages.UpstreamRefusal | errors.CorianderportError,
    ) -> None:
        """Record that the searcher did not run the action.

        :raises DeadlinePast: no other searcher can be tried in time.
        :raises OutcomeUnknown: the searcher may have run the action.
        """
        if isinstance(reply, errors.DeadlinePast):
            raise reply
        if isinstance(reply, messages.UpstreamRefusal):
            self._refused = True
            reason = reply.reason.value
        elif isinstance(reply, errors.Refusal | errors.ConnectFailed):
            reason = str(reply)
        else:
            raise errors.OutcomeUnknown(f'{upstream.name}: {reply}')
        self._log.record(
            decision_log.Decision(
                'act-not-run', self._request.request_id, upstream.name, reason
            )
        )
