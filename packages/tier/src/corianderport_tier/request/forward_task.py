"""corianderport_tier.request.forward_task

One forwarded request: its parts, its hedges and when it is answered.
"""

import attrs

from corianderport_tier.process import drain
from corianderport_tier.process import service_searchers
from corianderport_tier.request import answer_goals
from corianderport_tier.request import authorization as authorization_module
from corianderport_tier.request import deadlines
from corianderport_tier.request import delegation as delegation_module
from corianderport_tier.request import forward_messages
from corianderport_tier.request import forward_send
from corianderport_tier.request import gather_progress
from corianderport_tier.request import inboxes
from corianderport_tier.request import part as part_module
from corianderport_tier.request import records
from corianderport_tier.request import request_context
from corianderport_tier.request import task_hedges
from corianderport_tier.request import task_summaries
from corianderport_tier import result_codes
from corianderport_tier.version import routes

__all__ = ['ForwardTask', 'MIN_RETRY_AFTER_S']

# Time reserved for returning the response before the caller's deadline.
_ANSWER_MARGIN_S = 0.01
# Maximum retry delay given to a refused caller, as a fraction of its
# remaining time: a caller does not wait past its deadline.
_MAX_RETRY_AFTER_FRACTION = 0.25
MIN_RETRY_AFTER_S = 0.05

Code = result_codes.ResultCode
# Codes of parts whose sends the authorization of the request refused.
_KEY_CODES = frozenset({Code.NOT_READY, Code.UNAUTHENTICATED})
Part = part_module.Part
PartState = part_module.PartState
Failure = forward_messages.Failure


class ForwardTask:
    """Forwards one request on the task of the caller's connection.

    :param version: version of the routing that contains the route.
    :param goal: when the answer has to leave, if another host has received
        the request; such a gather is not given away.
    """

    def __init__(
        self,
        host: request_context.HostState,
        request: forward_messages.ForwardRequest,
        route: routes.Route,
        authorization: authorization_module.Authorization,
        version: int = 0,
        goal: deadlines.Deadline | None = None,
    ) -> None:
        self._host = host
        self._version = version
        self._clock = host.clock
        self._route = route
        self._authorization = authorization
        deadline = request.deadline.within(self._clock, route.timeout_s * 1e3)
        self._request = attrs.evolve(request, deadline=deadline)
        self._answer_by = deadline.earlier(_ANSWER_MARGIN_S)
        self._inbox: inboxes.Inbox[forward_send.Event]
        self._inbox = inboxes.Inbox(self._clock)
        self._parts: list[Part] = []
        self._unknown_services: list[str] = []
        self._disconnected = False
        self._delegator = host.delegator if goal is None else None
        self._delegation: delegation_module.Delegation | None = None
        self._delegated_answer: forward_messages.ForwardAnswer | None = None
        leave_by = goal or answer_goals.leave_by(request, route)
        self.goal_s = leave_by.at_s - host.answer_delay.expected_s
        self._hedges = task_hedges.TaskHedges(
            self._parts,
            host.latency(route),
            self.goal_s,
            gathered=isinstance(route.target, routes.Gather),
        )
        # Whether the answer was only waiting for the goal.
        self.answered_at_goal = False

    @property
    def route_name(self) -> str:
        """Name of the request's route."""
        return self._route.name

    @property
    def choices(self) -> list[service_searchers.Choice]:
        """The choices of all sends so far."""
        return [choice for part in self._parts for choice in part.choices]

    @property
    def send_s_per_part(self) -> float | None:
        """Seconds between two sends of a gather; None if there are too few."""
        return task_summaries.send_s_per_part(self._parts)

    def run(
        self, caller: request_context.DisconnectWatch
    ) -> forward_messages.ForwardAnswer | None:
        """Return the answer, or None if the caller disconnected."""
        with (
            caller.watch(
                lambda: self._inbox.put(forward_send.CallerDisconnected())
            ),
            self._host.drain.watching(self._inbox.put),
        ):
            try:
                self._delegation = self._delegate()
                if self._delegation is None:
                    self._send_parts()
                return self._await_answer()
            finally:
                if self._delegation is not None:
                    self._delegation.cancel()
                for part in self._parts:
                    part.cancel(at_once=self._disconnected)
                    for send in part.unanswered_sends:
                        self._host.unanswered_sends.add(send)
                    part.release()
                # Late replies would otherwise stay in it.
                self._inbox.close()

    @property
    def may_have_run(self) -> bool:
        """Whether any searcher may have run the request."""
        if self._delegation is not None and self._delegation.given:
            return True
        return any(part.may_have_run for part in self._parts)

    def summary(self) -> dict[str, object]:
        """Return what the decision log records about the answer."""
        summary = task_summaries.describe(
            self._parts,
            self._route,
            self._authorization,
            self._request.received_s,
        )
        if self._delegation is not None:
            summary['gathered_by'] = self._delegation.host_name
        return summary

    def _delegate(self) -> delegation_module.Delegation | None:
        """Offer the gather to another host; None if it runs here."""
        if self._delegator is None or self._authorization.identity is not None:
            return None
        return self._delegator.offer(
            self._request,
            self._route,
            self._version,
            self.goal_s,
            lambda reply: self._inbox.put(forward_send.DelegationEnded(reply)),
        )

    def _on_delegation_ended(self, reply: object) -> None:
        if self._delegation is None:
            return
        self._delegated_answer = self._delegation.answer(reply)
        if self._delegated_answer is None:
            self._gather_here(str(reply))

    def _gather_here(self, reason: str) -> None:
        """Send the parts of a gather that no other host has taken."""
        assert self._delegation is not None and self._delegator is not None
        self._delegator.not_given(
            self._request.request_id, self._delegation, reason
        )
        self._delegation = None
        self._send_parts()

    def _send_parts(self) -> None:
        self._create_parts()
        for part in self._parts:
            part.send_first()

    def _create_parts(self) -> None:
        target = self._route.target
        if isinstance(target, routes.Gather):
            names: tuple[str, ...] = target.services
        else:
            weights = [share.weight for share in target.shares]
            chosen = self._host.rng.choices(target.shares, weights)[0]
            names = (chosen.service,)
        latency = self._host.latency(self._route)
        request_class = self._host.request_class(self._route, self._request)
        for name in names:
            service = self._host.directory.service(name)
            if service is None:
                self._unknown_services.append(name)
                continue
            self._parts.append(
                Part(
                    service,
                    self._request,
                    self._route,
                    latency,
                    request_class,
                    self._inbox,
                    self._clock,
                    self._host.log,
                    deadlines.Deadline(self.goal_s),
                    self._authorization,
                )
            )

    def _await_answer(self) -> forward_messages.ForwardAnswer | None:
        while True:
            answer = self._decide()
            if answer is not None:
                return answer
            events = self._inbox.take_all(
                self._next_timer(), self._awaited_replies()
            )
            for event in events:
                self._on_event(event)
                if self._disconnected:
                    return None
            self._on_timer()

    def _progress(self) -> gather_progress.GatherProgress:
        target = self._route.target
        states = [p.state for p in self._parts]
        total, min_coverage = len(states), 1.0
        if isinstance(target, routes.Gather):
            total, min_coverage = len(target.services), target.min_coverage
        return gather_progress.GatherProgress(
            total=total,
            parts=len(states),
            answered=states.count(PartState.ANSWERED),
            pending=states.count(PartState.PENDING),
            min_coverage=min_coverage,
        )

    def _awaited_replies(self) -> int:
        """Return how many successful replies the next decision needs."""
        return self._progress().awaited_replies(
            goal_reached=self._goal_reached,
            hedge_denied=any(p.hedge_denied for p in self._parts),
        )

    def _on_event(self, event: forward_send.Event) -> None:
        if isinstance(event, forward_send.SendFinished):
            event.send.part.on_result(event)
        elif isinstance(event, forward_send.CapacityFreed):
            event.part.on_capacity(event.send)
        elif isinstance(event, forward_send.DelegationEnded):
            self._on_delegation_ended(event.reply)
        elif isinstance(event, drain.DrainBegun):
            self._answer_by = min(self._answer_by, event.deadline)
        else:
            self._disconnected = True

    def _next_timer(self) -> deadlines.Deadline:
        timers_s = [self._answer_by.at_s]
        if self._delegation is not None:
            if not self._delegation.given:
                timers_s.append(self._delegation.offered_until_s)
            return deadlines.Deadline(min(timers_s))
        now_s = self._clock.monotonic()
        if self.goal_s > now_s:
            timers_s.append(self.goal_s)
        timers_s.extend(self._hedges.timers_s())
        timers_s.extend(
            p.resume_at_s for p in self._parts if p.resume_at_s is not None
        )
        return deadlines.Deadline(min(timers_s))

    def _on_timer(self) -> None:
        now_s = self._clock.monotonic()
        if self._delegation is not None:
            if self._delegation.offered_until_s <= now_s:
                if self._delegation.withdraw():
                    self._gather_here('did not accept it in time')
            return
        for part in self._parts:
            if part.resume_at_s is not None and part.resume_at_s <= now_s:
                part.resume()
        self._hedges.on_timer(now_s, self._progress)

    def _decide(self) -> forward_messages.ForwardAnswer | None:
        if self._delegation is not None:
            return self._decide_delegated()
        if isinstance(self._route.target, routes.Gather):
            return self._decide_gather(self._route.target)
        return self._decide_single()

    def _decide_delegated(self) -> forward_messages.ForwardAnswer | None:
        if self._delegated_answer is None and self._answer_by.passed(
            self._clock
        ):
            return self._deadline_failure()
        return self._delegated_answer

    def _decide_single(self) -> forward_messages.ForwardAnswer | None:
        if not self._parts:
            return self._refusal(Code.NO_UPSTREAM, 'the service is unknown')
        part = self._parts[0]
        if part.reply is not None and part.reply.relayable:
            return forward_messages.Relayed(part.reply)
        if part.state is PartState.FAILED:
            assert part.failure is not None
            return self._failure(part.failure)
        if self._answer_by.passed(self._clock):
            return self._deadline_failure()
        return None

    def _decide_gather(
        self, target: routes.Gather
    ) -> forward_messages.ForwardAnswer | None:
        progress = self._progress()
        if progress.enough:
            if progress.pending == 0 or self._goal_reached:
                self.answered_at_goal = (
                    progress.pending > 0 and self._enough_at_goal(progress)
                )
                return self._merged(target)
        elif progress.out_of_reach:
            return self._coverage_failure(progress)
        if self._answer_by.passed(self._clock):
            return self._deadline_failure()
        return None

    @property
    def _goal_reached(self) -> bool:
        return self._clock.monotonic() >= self.goal_s

    def _enough_at_goal(
        self, progress: gather_progress.GatherProgress
    ) -> bool:
        """Whether enough parts had arrived by the goal."""
        in_time = sum(p.answered_s <= self.goal_s for p in self._parts)
        return attrs.evolve(progress, answered=in_time).enough

    def _merged(self, target: routes.Gather) -> forward_messages.Gathered:
        answered = [
            p.reply
            for p in self._parts
            if p.state is PartState.ANSWERED and p.reply is not None
        ]
        execution_proofs = tuple(
            r.execution_proof
            for r in answered
            if r.execution_proof is not None
        )
        return forward_messages.Gathered(
            execution_proofs=execution_proofs,
            missing=len(target.services) - len(execution_proofs),
            body=records.merge_greatest(
                (r.body for r in answered), target.max_records
            ),
        )

    def _coverage_failure(
        self, progress: gather_progress.GatherProgress
    ) -> Failure:
        detail = f'only {progress.answered} of {progress.total} parts answered'
        if self._cancel_sends():
            return Failure(Code.COVERAGE_NOT_MET, detail)
        for part in self._parts:
            if part.failure is not None and part.failure.code in _KEY_CODES:
                return self._failure(part.failure)
        return self._refusal(Code.NO_UPSTREAM, detail)

    def _deadline_failure(self) -> Failure:
        if self._cancel_sends():
            return Failure(Code.OUTCOME_UNKNOWN, 'no answer in time')
        return self._refusal(
            Code.DEADLINE_PAST, 'no searcher ran the request in time'
        )

    def _cancel_sends(self) -> bool:
        """Cancel all attempts; return whether the request may have run."""
        if self._delegation is not None:
            self._delegation.cancel()
        for part in self._parts:
            part.cancel()
        return self.may_have_run

    def _failure(self, failure: Failure) -> Failure:
        if failure.retry_after_s is None:
            return failure
        return self._refusal(
            failure.code, failure.detail, failure.retry_after_s
        )

    def _refusal(
        self, code: Code, detail: str, after_s: float = MIN_RETRY_AFTER_S
    ) -> Failure:
        remaining_s = self._request.deadline.remaining(self._clock)
        after_s = min(
            max(after_s, MIN_RETRY_AFTER_S),
            _MAX_RETRY_AFTER_FRACTION * remaining_s,
        )
        return Failure(code, detail, after_s)
