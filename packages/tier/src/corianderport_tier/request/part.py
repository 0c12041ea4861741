"""corianderport_tier.request.part

The part of a forwarded request that one service handles.
"""

import enum

from corianderport_tier import clocks
from corianderport_tier.connection import pool
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import cost_estimates
from corianderport_tier.process import decision_log
from corianderport_tier.process import route_latency
from corianderport_tier.process import searcher_state
from corianderport_tier.process import service_searchers
from corianderport_tier.request import authorization as authorization_module
from corianderport_tier.request import deadlines
from corianderport_tier.request import forward_messages
from corianderport_tier.request import forward_send
from corianderport_tier.request import inboxes
from corianderport_tier.request import send_results
from corianderport_tier import result_codes
from corianderport_tier.version import routes

__all__ = ['Part', 'PartState']

_LOG_KINDS = {False: 'retry', True: 'hedge'}
# First sends are only counted; the decision line of the answer implies them.
_FIRST_SEND = decision_log.Decision('route', '', '', 'first send')
# Counted besides the line of the failed send, which has the reason.
_REPLY_INVALID = decision_log.Decision('reply-invalid', '', '', '')
# Without this limit, one request to a service that refuses every send would
# use up the budget of extra sends shared by all requests.
_MAX_SENDS_PER_PART = 4
# An idle connection that carried a reply this recently is assumed open.
_VERIFIED_MAX_AGE_S = 1.0
# Fraction of the budget slack that hedges leave to retries of failed sends.
_HEDGE_RESERVE = 0.3
# Minimum hedge delay as a multiple of the route's median latency, for routes
# whose latencies vary little.
_MIN_HEDGE_DELAY_RATIO = 1.3
# A hedge leaves this multiple of the median latency until the goal, in which
# nearly all replies to it arrive. An earlier one would often repeat a request
# that is answered in time, at the expense of requests with less time.
_GOAL_RESERVE_RATIO = 2.5

Code = result_codes.ResultCode
# Codes of a part that no searcher ran; any other one becomes NO_UPSTREAM.
_NOT_RUN_CODES = frozenset(
    {
        Code.NOT_READY,
        Code.OVERLOADED,
        Code.UNAUTHENTICATED,
        Code.UPSTREAM_REFUSED,
    }
)


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
        self.failure: forward_messages.Failure | None = None
        self._request = request
        self._route = route
        self._gathered = isinstance(route.target, routes.Gather)
        self._latency = latency
        self._class = request_class
        self._inbox = inbox
        self._clock = clock
        self._log = log
        self._goal = goal
        self._sends: list[forward_send.SendAttempt] = []
        self._tried: list[str] = []
        # The choices of all sends, for the log and the metrics.
        self.choices: list[service_searchers.Choice] = []
        self._carriers: list[transports.SearcherTransport] = []
        self._sent_count = 0
        self._possible_runs = 0
        # Seconds from the latest send to a hedge; None if none is to follow.
        self._hedge_after_s: float | None = None
        self._hedge_denied = False
        self._resume_at_s: float | None = None
        self._last_failure: tuple[Code, str] | None = None
        self._failed_reply: forward_messages.SearcherReply | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether any searcher may have run the request."""
        return self._possible_runs > 0 or any(s.sent for s in self._sends)

    @property
    def hedge_at_s(self) -> float | None:
        """Time at which to consider a hedge; None if none is due."""
        if (
            self.state is not PartState.PENDING
            or not self._sends
            or self._hedge_after_s is None
        ):
            return None
        latest = self._sends[-1]
        if latest.sent_s is not None:
            return latest.sent_s + self._hedge_after_s
        # The attempt waits for this host, or for a connection that may never
        # open: look again once it is late if sent at once, then hedge.
        at_s = latest.started_s + self._hedge_after_s
        if self._clock.monotonic() >= at_s:
            at_s += self._hedge_after_s
        return at_s

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
            self._hedge_denied
            and self.state is PartState.PENDING
            and bool(self._sends)
        )

    @property
    def resume_at_s(self) -> float | None:
        """Time at which a pause ends that the part waits for."""
        return self._resume_at_s

    def send_first(self) -> None:
        """Start the first attempt."""
        self.service.count_request()
        self._send()

    def hedge(self, among_last: bool) -> bool:
        """Send to another searcher because the response is late.

        :param among_last: the response waits only for this and a few other
            parts.
        :return: whether the request was sent.
        """
        self._hedge_after_s = None
        self._hedge_denied = False
        running = len(self._sends)
        if self._possible_runs + running >= self._route.attempts:
            return False
        choice = self.service.choose(self._tried, self._class)
        if isinstance(choice, service_searchers.NoChoice):
            return False
        if not self.service.try_extra(0.0 if among_last else _HEDGE_RESERVE):
            self.service.finish(
                choice, searcher_state.SendResult(failed=False)
            )
            self._hedge_denied = not among_last
            self._log_decision(
                'no-hedge', choice.state.name, 'budget is spent'
            )
            return False
        self._start(choice, hedge=True)
        return True

    def on_capacity(self) -> None:
        """Retry a send that had to wait for capacity."""
        if self.state is PartState.PENDING and not self._sends:
            self._send()

    def resume(self) -> None:
        """Retry a send that had to wait for the end of a pause."""
        self._resume_at_s = None
        if self.state is PartState.PENDING and not self._sends:
            self._send(self._last_failure)

    def post_result(
        self, send: forward_send.SendAttempt, reply: object
    ) -> None:
        """Release the searcher and post the result to the inbox."""
        reference_s = send.choice.policy.reference_s(self._class)
        result = send_results.send_result(send, reply, reference_s)
        if result.leaving or result.pause_s > 0:
            self._log_statements(send, result)
        self.service.finish(send.choice, result)
        if isinstance(reply, forward_messages.SearcherReply) and reply.final:
            self._class.record(send.elapsed_s)
        # Before all parts of a gather have answered, a success alone decides
        # nothing.
        succeeded = (
            isinstance(reply, forward_messages.SearcherReply)
            and reply.succeeded
        )
        self._inbox.put(
            forward_send.SendFinished(send, reply),
            urgent=not (self._gathered and succeeded),
        )

    def on_result(self, event: forward_send.SendFinished) -> None:
        """Handle the result of a send attempt."""
        send = event.send
        self._sends.remove(send)
        if send.carrier is not None:
            self._carriers.append(send.carrier)
            self._sent_count += 1
        if send.sent_s is not None:
            self.sent_s = min(self.sent_s, send.sent_s)
        if self.state is not PartState.PENDING:
            return
        if isinstance(event.reply, forward_messages.SearcherReply):
            self._on_reply(send, event.reply)
        else:
            self._on_error(send, event.reply)

    def cancel(self, at_once: bool = False) -> None:
        """Cancel all running attempts."""
        for send in self._sends:
            send.cancel(at_once)

    def _on_reply(
        self,
        send: forward_send.SendAttempt,
        reply: forward_messages.SearcherReply,
    ) -> None:
        if reply.ran:
            self._possible_runs += 1
        if reply.succeeded if self._gathered else reply.final:
            self._latency.record(send.elapsed_s)
            self.reply = reply
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
            self._log_decision('send-refused', send.searcher, str(error))
            if not self._sends:
                self._fail(error.code, str(error))
            return
        not_sent = not send.sent or isinstance(
            error, errors.ConnectFailed | errors.ConnectionStale
        )
        if not_sent:
            if send.sent:
                self._sent_count -= 1
            if isinstance(error, errors.ConnectionStale):
                # The connection was stale; the searcher may be tried again.
                self._tried.remove(send.searcher)
            self._retry_or_fail(send, Code.NO_UPSTREAM, str(error))
            return
        self._possible_runs += 1
        code = Code.OUTCOME_UNKNOWN
        if isinstance(error, errors.ReplyInvalid):
            code = error.code
            self._log.count(_REPLY_INVALID)
        self._retry_or_fail(send, code, f'{type(error).__name__}: {error}')

    def _retry_or_fail(
        self, send: forward_send.SendAttempt, code: Code, reason: str
    ) -> None:
        """Send the request again if that is allowed, else fail the part."""
        self._log_decision('send-failed', send.searcher, reason)
        if self._sends:
            return
        ran = self._possible_runs
        if ran and not self._route.idempotent:
            self._fail(code, reason)
        elif (
            ran >= self._route.attempts
            or self._sent_count >= _MAX_SENDS_PER_PART
        ):
            self._fail(code, reason)
        else:
            self._send((code, reason))

    def _send(self, failed: tuple[Code, str] | None = None) -> None:
        choice = self.service.choose(self._tried, self._class)
        if choice is service_searchers.NoChoice.ALL_TRIED and failed:
            choice = self.service.choose((), self._class)
        if isinstance(choice, service_searchers.NoChoice):
            self._on_no_choice(choice, failed)
            return
        if self._sent_count and not self.service.try_extra():
            self.service.finish(
                choice, searcher_state.SendResult(failed=False)
            )
            self._fail(*(failed or (Code.OVERLOADED, '')))
            self._log_decision(
                'no-retry', choice.state.name, 'budget is spent'
            )
            return
        self._start(choice, hedge=False)

    def _start(self, choice: service_searchers.Choice, hedge: bool) -> None:
        call = forward_messages.SearcherCall(
            self._request.request_id,
            choice.state.name,
            self._request.payload,
            self._request.deadline,
            self.authorization.identity,
        )
        send = forward_send.SendAttempt(self, choice, call, self._clock)
        if self._tried:
            self._log_decision(
                _LOG_KINDS[hedge], choice.state.name, 'another searcher'
            )
        else:
            self._log.count(_FIRST_SEND)
        self._sends.append(send)
        self._tried.append(choice.state.name)
        self.choices.append(choice)
        if self._route.idempotent:
            median_s = self._latency.median_s
            spare_s = (
                self._goal.remaining(self._clock)
                - _GOAL_RESERVE_RATIO * median_s
            )
            self._hedge_after_s = max(
                self._latency.hedge_after_s,
                _MIN_HEDGE_DELAY_RATIO * median_s,
                spare_s,
            )
        try:
            choice.state.pool.submit(send, self._reuse())
        except errors.CorianderportError as error:
            send.finish(error)

    def _reuse(self) -> pool.Reuse:
        """Return which idle connections may carry the next send.

        All sends of a request have the same id. On a connection that has
        carried one, a late second copy of the response to it would be taken
        for the response to the next send.

        An idle connection may have been closed unnoticed. A non-idempotent
        request that is lost on one cannot be sent again.
        """
        verified_since_s = float('-inf')
        if not self._route.idempotent:
            verified_since_s = self._clock.monotonic() - _VERIFIED_MAX_AGE_S
        return pool.Reuse(verified_since_s, tuple(self._carriers))

    def _on_no_choice(
        self,
        reason: service_searchers.NoChoice,
        failed: tuple[Code, str] | None,
    ) -> None:
        if reason is service_searchers.NoChoice.FULL:
            self.service.notify_on_capacity(
                lambda: self._inbox.put(forward_send.CapacityFreed(self))
            )
            return
        if (
            reason is service_searchers.NoChoice.PAUSED
            and self._wait_for_pause(failed)
        ):
            return
        code, detail = failed or (Code.NO_UPSTREAM, reason.value)
        self._fail(code, detail)

    def _wait_for_pause(self, failed: tuple[Code, str] | None) -> bool:
        """Wait for the end of a pause; return False if it ends too late."""
        resume_at_s = self.service.available_at_s()
        if resume_at_s is None:
            return False
        latest_s = self._goal.at_s - self._latency.median_s
        if resume_at_s > latest_s:
            return False
        self._resume_at_s = resume_at_s
        self._last_failure = failed
        return True

    def _fail(self, code: Code, reason: str) -> None:
        self.state = PartState.FAILED
        if self._possible_runs == 0:
            # The request did not run, whatever the last error was.
            if code not in _NOT_RUN_CODES:
                code = Code.NO_UPSTREAM
            self.failure = forward_messages.Failure(
                code,
                reason,
                None
                if code is Code.UNAUTHENTICATED
                else self.service.retry_delay_s(),
            )
        else:
            if code.ran is result_codes.Ran.NO:
                # Another send of the request may have run.
                code = Code.OUTCOME_UNKNOWN
            self.failure = forward_messages.Failure(code, reason)
            self.reply = self._failed_reply

    def _log_statements(
        self, send: forward_send.SendAttempt, result: searcher_state.SendResult
    ) -> None:
        """Log what a searcher states about accepting more requests."""
        if result.leaving and not send.choice.state.availability.leaving:
            self._log_decision(
                'leaving', send.searcher, 'the searcher said that it leaves'
            )
        if result.pause_s > 0:
            self._log_decision(
                'paused',
                send.searcher,
                f'the searcher wants no request for {result.pause_s:g} s',
            )

    def _log_decision(self, kind: str, choice: str, reason: str) -> None:
        self._log.record(
            decision_log.Decision(
                kind=kind,
                request_id=self._request.request_id,
                choice=choice,
                reason=reason,
                inputs={
                    'service': self.service.name,
                    'tried': len(self._tried),
                    'ran': self._possible_runs,
                },
            )
        )
