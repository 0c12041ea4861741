"""corianderport_tier.request.part

The part of a forwarded request that one service handles.
"""

import collections.abc
import enum

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import cost_estimates
from corianderport_tier.process import decision_log
from corianderport_tier.process import route_latency
from corianderport_tier.process import send_order
from corianderport_tier.process import service_searchers
from corianderport_tier.request import authorization as authorization_module
from corianderport_tier.request import deadlines
from corianderport_tier.request import forward_messages
from corianderport_tier.request import forward_send
from corianderport_tier.request import hedge_timing
from corianderport_tier.request import inboxes
from corianderport_tier.request import part_failures
from corianderport_tier.request import part_log
from corianderport_tier.request import part_waits
from corianderport_tier.request import send_history
from corianderport_tier.request import send_results
from corianderport_tier import result_codes
from corianderport_tier.version import routes

__all__ = ['Part', 'PartState']

# Fraction of the budget slack that hedges leave to retries of failed sends.
_HEDGE_RESERVE = 0.3

Code = result_codes.ResultCode


class PartState(enum.Enum):
    """State of a part."""

    PENDING = 'pending'
    ANSWERED = 'answered'
    FAILED = 'failed'


class Part:
    """Sends a request to searchers of one service.

    All methods except ``post_result`` are called on the request's task.

    :param goal: latest time of a response with full worth. A part waits for
        a searcher that has asked for a pause if the response can still arrive
        by then; otherwise the caller is better off at another host, from
        which the searchers may not have asked for a pause.
    """

    def __init__(
        self,
        service: service_searchers.ServiceSearchers,
        request: forward_messages.ForwardRequest,
        route: routes.Route,
        latency: route_latency.RouteLatency,
        request_class: cost_estimates.RequestClass,
        inbox: inboxes.Inbox[forward_send.Event],
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
        goal: deadlines.Deadline,
        authorization: authorization_module.Authorization,
    ) -> None:
        self.service = service
        self.authorization = authorization
        self.state = PartState.PENDING
        self.reply: forward_messages.SearcherReply | None = None
        # When the request was first sent, and when the reply of an answered
        # part arrived.
        self.sent_s = float('inf')
        self.answered_s = float('inf')
        # Seconds that the first send waited for its connection, and bytes of
        # the reply of an answered part.
        self.connection_wait_s = 0.0
        self.reply_bytes = 0
        self.failure: forward_messages.Failure | None = None
        self._workspace = authorization.workspace_name
        # None once the part has been released.
        self._request: forward_messages.ForwardRequest | None = request
        self._route = route
        self._gathered = isinstance(route.target, routes.Gather)
        self._latency = latency
        self._class = request_class
        self._inbox = inbox
        self._clock = clock
        self._history = send_history.SendHistory()
        self._log = part_log.PartLog(
            log, request.request_id, service.name, self._history
        )
        self._goal = goal
        self._hedge_timing = hedge_timing.HedgeTiming(latency, goal, clock)
        self._sends: list[forward_send.SendAttempt] = []
        # The choices of all sends, for the log and the metrics.
        self.choices: list[service_searchers.Choice] = []
        self._waits = part_waits.PartWaits(
            service,
            request_class,
            goal,
            self._history,
        )
        self._failed_reply: forward_messages.SearcherReply | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether any searcher may have run the request."""
        return self._history.ran > 0 or any(s.sent for s in self._sends)

    @property
    def hedge_at_s(self) -> float | None:
        """Time at which to consider a hedge; None if none is due."""
        if self.state is not PartState.PENDING or not self._sends:
            return None
        return self._hedge_timing.due_s(self._sends[-1])

    @property
    def running_sends(self) -> int:
        """Number of attempts without a result, 0 once the part has ended."""
        return len(self._sends) if self.state is PartState.PENDING else 0

    @property
    def unhedged_since_s(self) -> float | None:
        """When the only attempt was sent; None if there is none or another.

        An attempt that still waits for its connection says nothing about its
        searcher.
        """
        if self.hedge_at_s is None or len(self._sends) != 1:
            return None
        return self._sends[0].sent_s

    @property
    def hedge_denied(self) -> bool:
        """Whether a due hedge was left out to spare the budget."""
        return (
            self._hedge_timing.denied
            and self.state is PartState.PENDING
            and bool(self._sends)
        )

    @property
    def resume_at_s(self) -> float | None:
        """Time at which a pause ends that the part waits for."""
        return self._waits.resume_at_s

    def send_first(self) -> None:
        """Start the first attempt."""
        if self._workspace is not None:
            self.service.arrive(self._workspace, self._class.calm_s)
        self.service.count_request(self._workspace)
        self._send()

    def hedge(self, among_last: bool) -> bool:
        """Send to another searcher because the response is late.

        :param among_last: the response waits only for this and a few other
            parts.
        :return: whether the request was sent.
        """
        self._hedge_timing.stop()
        running = len(self._sends)
        if self._history.ran + running >= self._route.attempts:
            return False
        choice = self._choose(self._history.tried)
        if isinstance(choice, service_searchers.NoChoice):
            return False
        reserve = 0.0 if among_last else _HEDGE_RESERVE
        if not self.service.try_extra(reserve, self._workspace):
            self.service.take_back(choice)
            self._hedge_timing.denied = not among_last
            self._log.record('no-hedge', choice.state.name, 'budget is spent')
            return False
        self._start(choice, hedge=True)
        return True

    def on_capacity(self, send: send_order.WaitingSend) -> None:
        """Continue a send that had to wait for capacity."""
        if not self._waits.end(send):
            return
        if send.choice is not None:
            self._send_to(send.choice)
        else:
            self._send()

    def resume(self) -> None:
        """Retry a send that had to wait for the end of a pause."""
        failed = self._waits.resume()
        if self.state is PartState.PENDING and not self._sends:
            self._send(failed)

    def post_result(
        self, send: forward_send.SendAttempt, reply: object
    ) -> None:
        """Release the searcher and post the result to the inbox."""
        reference_s = send.choice.policy.reference_s(self._class)
        result = send_results.send_result(send, reply, reference_s)
        if result.leaving or result.pause_s > 0:
            self._log.statements(send, result)
        self.service.finish(send.choice, result)
        if isinstance(reply, forward_messages.SearcherReply) and reply.final:
            self._class.record(send.elapsed_s)
        # Before all parts of a gather have answered, a success alone decides
        # nothing.
        self._inbox.put(
            forward_send.SendFinished(send, reply),
            urgent=not (self._gathered and send_results.succeeded(reply)),
        )

    def on_result(self, event: forward_send.SendFinished) -> None:
        """Handle the result of a send attempt."""
        send = event.send
        self._sends.remove(send)
        self._history.record_end(send)
        if send.sent_s is not None and send.sent_s < self.sent_s:
            self.sent_s = send.sent_s
            self.connection_wait_s = send.sent_s - send.started_s
        if self.state is not PartState.PENDING:
            return
        if isinstance(event.reply, forward_messages.SearcherReply):
            self._on_reply(send, event.reply)
        else:
            self._on_error(send, event.reply)

    @property
    def unanswered_sends(self) -> list[forward_send.SendAttempt]:
        """The attempts whose replies have not arrived."""
        return [send for send in self._sends if not send.ended]

    def cancel(self, at_once: bool = False) -> None:
        """Cancel all running attempts and the wait for capacity."""
        self._waits.cancel()
        for send in self._sends:
            send.cancel(at_once)

    def release(self) -> None:
        """Drop the request and the reply, once the request has ended.

        Attempts without a reply refer to their part until their deadline, and
        the caller is no longer charged for its request by then.
        """
        self._request = self.reply = self._failed_reply = None

    def _on_reply(
        self,
        send: forward_send.SendAttempt,
        reply: forward_messages.SearcherReply,
    ) -> None:
        if reply.ran:
            self._history.ran += 1
        if reply.succeeded if self._gathered else reply.final:
            self._latency.record(send.elapsed_s)
            self.reply = reply
            self.reply_bytes = reply.size_bytes
            self.answered_s = send.finished_s
            self.state = PartState.ANSWERED
            return
        reason = f'status {reply.status}'
        if not reply.ran:
            self._retry_or_fail(
                send, Code.UPSTREAM_REFUSED, f'{reason}, not run'
            )
            return
        if not 200 <= reply.status < 300:
            self._failed_reply = reply
        self._retry_or_fail(send, Code.UPSTREAM_FAILED, reason)

    def _on_error(self, send: forward_send.SendAttempt, error: object) -> None:
        if isinstance(error, errors.Unauthenticated | errors.KeyUnconfirmed):
            # No other searcher may be sent to either.
            self._log.record('send-refused', send.searcher, str(error))
            if not self._sends:
                self._fail(error.code, str(error))
            return
        code, reason = self._history.record_error(send, error)
        if code is Code.REPLY_INVALID:
            self._log.reply_invalid()
        self._retry_or_fail(send, code, reason)

    def _retry_or_fail(
        self, send: forward_send.SendAttempt, code: Code, reason: str
    ) -> None:
        """Send the request again if that is allowed, else fail the part."""
        self._log.record('send-failed', send.searcher, reason)
        if self._sends:
            return
        if self._history.permits_another(self._route):
            self._send((code, reason))
        else:
            self._fail(code, reason)

    def _choose(
        self, excluded: collections.abc.Collection[str]
    ) -> service_searchers.Choice | service_searchers.NoChoice:
        return self.service.choose(excluded, self._class, self._workspace)

    def _send(self, failed: part_waits.LastFailure = None) -> None:
        choice = self._choose(self._history.tried)
        if choice is service_searchers.NoChoice.ALL_TRIED and failed:
            choice = self._choose(())
        if isinstance(choice, service_searchers.NoChoice):
            self._on_no_choice(choice, failed)
            return
        self._send_to(choice, failed)

    def _send_to(
        self,
        choice: service_searchers.Choice,
        failed: part_waits.LastFailure = None,
    ) -> None:
        if self._history.sent and not self.service.try_extra(
            workspace=self._workspace
        ):
            self.service.take_back(choice)
            self._fail(*(failed or (Code.OVERLOADED, '')))
            self._log.record('no-retry', choice.state.name, 'budget is spent')
            return
        self._start(choice, hedge=False)

    def _start(self, choice: service_searchers.Choice, hedge: bool) -> None:
        assert self._request is not None
        call = forward_messages.SearcherCall(
            self._request.request_id,
            choice.state.name,
            self._request.payload,
            self._request.deadline,
            self.authorization.identity,
        )
        send = forward_send.SendAttempt(self, choice, call, self._clock)
        if self._history.tried:
            self._log.another_send(choice.state.name, hedge)
        else:
            self._log.first_send()
        self._sends.append(send)
        self._history.tried.append(choice.state.name)
        self.choices.append(choice)
        if self._route.idempotent:
            self._hedge_timing.start()
        try:
            choice.state.pool.submit(
                send,
                self._history.reuse(
                    self._route.idempotent, self._clock.monotonic()
                ),
            )
        except errors.CorianderportError as error:
            send.finish(error)

    def _on_no_choice(
        self,
        reason: service_searchers.NoChoice,
        failed: part_waits.LastFailure,
    ) -> None:
        if reason is service_searchers.NoChoice.FULL:
            self._waits.wait_for_capacity(
                self.authorization.rank(self._route),
                self._route.timeout_s,
                self._workspace,
                lambda s: self._inbox.put(forward_send.CapacityFreed(self, s)),
            )
            return
        if (
            reason is service_searchers.NoChoice.PAUSED
            and self._waits.wait_for_pause(failed, self._latency.median_s)
        ):
            return
        shared = reason is service_searchers.NoChoice.SHARE
        code = Code.OVERLOADED if shared else Code.NO_UPSTREAM
        self._fail(*(failed or (code, reason.value)))

    def _fail(self, code: Code, reason: str) -> None:
        self.state = PartState.FAILED
        may_have_run = self._history.ran > 0
        self.failure = part_failures.describe(
            code, reason, may_have_run, self.service.retry_delay_s
        )
        if may_have_run:
            self.reply = self._failed_reply
