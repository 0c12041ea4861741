"""corianderport_tier.request.forwarding

Admits callers' requests and forwards them to searchers.
"""

import random

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import answer_delay
from corianderport_tier.process import cost_estimates
from corianderport_tier.process import decision_log
from corianderport_tier.process import directory
from corianderport_tier.process import drain
from corianderport_tier.process import gather_capacity
from corianderport_tier.process import gather_hosts as gather_hosts_module
from corianderport_tier.process import metrics
from corianderport_tier.process import quotas as quotas_module
from corianderport_tier.process import route_latency
from corianderport_tier.process import running_requests
from corianderport_tier.process import store_freshness
from corianderport_tier.process import unanswered_sends
from corianderport_tier.process import workspace_counts
from corianderport_tier.request import answer_summaries
from corianderport_tier.request import authorization as authorization_module
from corianderport_tier.request import delegation
from corianderport_tier.request import explanation
from corianderport_tier.request import forward_messages
from corianderport_tier.request import forward_task
from corianderport_tier.request import host_gathers
from corianderport_tier.request import placements
from corianderport_tier.request import request_context
from corianderport_tier.request import route_admission
from corianderport_tier import result_codes
from corianderport_tier.version import routes

__all__ = ['Forwarder']

# Label of requests that match no route.
_NO_ROUTE = 'none'

Code = result_codes.ResultCode
Outcome = workspace_counts.Outcome
Failure = forward_messages.Failure


class Forwarder:
    """Forwards requests and holds the state that they share.

    :param gather_hosts: the hosts to which gathers can be given; None if all
        run on this host.
    """

    def __init__(
        self,
        searcher_directory: directory.Directory,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
        rng: random.Random,
        counts: metrics.Metrics | None = None,
        host_drain: drain.Drain | None = None,
        freshness: store_freshness.StoreFreshness | None = None,
        quotas: quotas_module.Quotas | None = None,
        activity: workspace_counts.WorkspaceCounts | None = None,
        running: running_requests.RunningRequests | None = None,
        gather_hosts: gather_hosts_module.GatherHosts | None = None,
    ) -> None:
        self._metrics = counts or metrics.Metrics()
        freshness = freshness or store_freshness.StoreFreshness(
            clock, log, lambda: False
        )
        self._authorizer = authorization_module.Authorizer(
            searcher_directory, freshness
        )
        self._quotas = quotas
        self._activity = activity
        self._running = running
        self.drain = host_drain or drain.Drain(clock)
        self.directory = searcher_directory
        self.clock = clock
        self.log = log
        self.rng = rng
        self.delegator = (
            None
            if gather_hosts is None
            else delegation.Delegator(gather_hosts, clock, log)
        )
        self.answer_delay = answer_delay.AnswerDelay()
        self.unanswered_sends = unanswered_sends.UnansweredSends()
        self._costs = cost_estimates.CostEstimates()
        self._latencies = route_latency.RouteLatencies()
        self._admission = route_admission.RouteAdmission(
            self.drain, self._latencies
        )
        self.explainer = explanation.Explainer(
            searcher_directory,
            self._admission,
            self._latencies,
            self._costs,
            self._authorizer,
            quotas,
            freshness,
        )

    def gathers(
        self, capacity: gather_capacity.GatherCapacity
    ) -> host_gathers.HostGathers:
        """Return what serves the gathers of other hosts."""
        return host_gathers.HostGathers(
            self, self._admission, self._authorizer, capacity
        )

    def latency(self, route: routes.Route) -> route_latency.RouteLatency:
        """Return the latency statistics of a route."""
        return self._latencies.of(route)

    def request_class(
        self, route: routes.Route, request: forward_messages.ForwardRequest
    ) -> cost_estimates.RequestClass:
        """Return the class of a request, by its expected cost."""
        return self._costs.request_class(
            route,
            self.latency(route),
            len(request.payload.body),
            request.path,
        )

    def wants_body(self, request: forward_messages.ForwardRequest) -> bool:
        """Return whether a route matches a request, so that it may run."""
        routing = self.directory.routing
        return (
            routing is not None
            and routing.match(request.host, request.path) is not None
        )

    def answer(
        self,
        request: forward_messages.ForwardRequest,
        caller: request_context.Caller,
    ) -> forward_messages.ForwardAnswer | None:
        """Serve a request; return None if the caller disconnected."""
        admission = self._admission.check(
            self.directory, request.host, request.path
        )
        routing, route = admission.routing, admission.route
        if admission.code is Code.NOT_READY or routing is None:
            return self._refuse(request, Code.NOT_READY, admission.detail)
        if route is None:
            return self._record_answer(
                request,
                routing,
                Failure(Code.UNKNOWN_SERVICE, admission.detail),
            )
        if request.body_dropped:
            return self._refuse(
                request, Code.NOT_READY, 'the route is newer than the request'
            )
        try:
            authorization = self._authorizer.admit(route, request.credential)
        except (errors.Unauthenticated, errors.KeyUnconfirmed) as error:
            self._count_key_refusal(None, error.code)
            return self._refuse(request, error.code, str(error), route.name)
        name = authorization.workspace_name
        if self._running is None:
            return self._run(request, caller, routing, route, authorization)
        if not self._running.enter(name):
            self._count(authorization, Outcome.OVER_SHARE)
            return self._refuse(
                request,
                Code.OVERLOADED,
                'the workspace uses its share of the host',
                route.name,
            )
        try:
            return self._run(request, caller, routing, route, authorization)
        finally:
            self._running.leave(name)

    def _run(
        self,
        request: forward_messages.ForwardRequest,
        caller: request_context.Caller,
        routing: routes.RoutingVersion,
        route: routes.Route,
        authorization: authorization_module.Authorization,
    ) -> forward_messages.ForwardAnswer | None:
        """Run an authorized request within the quota of its workspace."""
        try:
            token = self._take_token(request, authorization)
        except (errors.QuotaExceeded, errors.QuotaPending) as error:
            self._count(
                authorization,
                Outcome.OVER_QUOTA
                if isinstance(error, errors.QuotaExceeded)
                else Outcome.NO_OWNER,
            )
            return self._refuse(
                request,
                error.code,
                str(error),
                route.name,
                max(forward_task.MIN_RETRY_AFTER_S, error.retry_after_s),
            )
        except errors.NotReady as error:
            self._count(authorization, Outcome.NO_OWNER)
            return self._refuse(request, error.code, str(error), route.name)
        self._count(authorization, Outcome.ADMITTED)
        task = forward_task.ForwardTask(
            self, request, route, authorization, routing.version
        )
        try:
            answer = task.run(caller)
        finally:
            if token is not None and not task.may_have_run:
                self._give_back(token)
                self._count(authorization, Outcome.GIVEN_BACK)
        if isinstance(answer, Failure) and authorization.workspace:
            self._count_key_refusal(authorization.workspace.name, answer.code)
            if answer.code is Code.OVERLOADED:
                self._count(authorization, Outcome.OVER_SHARE)
        if task.answered_at_goal:
            # The connection keeps the callback, which must not keep the task.
            goal_s = task.goal_s
            caller.call_when_sent(
                lambda: self.answer_delay.record(
                    self.clock.monotonic() - goal_s
                )
            )
        return self._record_answer(request, routing, answer, task)

    def _take_token(
        self,
        request: forward_messages.ForwardRequest,
        authorization: authorization_module.Authorization,
    ) -> quotas_module.QuotaToken | None:
        """Take a token of the quota of the caller's workspace.

        :raises QuotaExceeded: the quota is used up.
        :raises QuotaPending: the owners have just started.
        :raises NotReady: no owner of the quota could be reached.
        """
        workspace = authorization.workspace
        if self._quotas is None or workspace is None:
            return None
        return self._quotas.admit(
            workspace, request.request_id, request.deadline.at_s
        )

    def _give_back(self, token: quotas_module.QuotaToken) -> None:
        assert self._quotas is not None
        self._quotas.give_back(token)

    def _count(
        self,
        authorization: authorization_module.Authorization,
        outcome: Outcome,
    ) -> None:
        if self._activity is None or authorization.identity is None:
            return
        self._activity.count(authorization.workspace_name, outcome)

    def _count_key_refusal(self, name: str | None, code: Code) -> None:
        if self._activity is None:
            return
        if code is Code.UNAUTHENTICATED:
            self._activity.count(name, Outcome.KEY_REFUSED)
        elif name is None:
            self._activity.count(None, Outcome.KEY_UNCONFIRMED)

    def _refuse(
        self,
        request: forward_messages.ForwardRequest,
        code: Code,
        detail: str,
        route_name: str = _NO_ROUTE,
        retry_after_s: float = forward_task.MIN_RETRY_AFTER_S,
    ) -> Failure:
        # A request without a valid key is not to be repeated.
        failure = Failure(
            code,
            detail,
            None if code is Code.UNAUTHENTICATED else retry_after_s,
        )
        self._metrics.finished(route_name, code, 0.0)
        self.log.record(
            decision_log.Decision(
                'answer', request.request_id, code.name, detail
            )
        )
        return failure

    def _record_answer(
        self,
        request: forward_messages.ForwardRequest,
        routing: routes.RoutingVersion,
        answer: forward_messages.ForwardAnswer | None,
        task: forward_task.ForwardTask | None = None,
    ) -> forward_messages.ForwardAnswer | None:
        elapsed_s = self.clock.monotonic() - request.received_s
        inputs: dict[str, object] = {
            'version': routing.version,
            'elapsed_ms': round(elapsed_s * 1e3, 1),
        }
        if task is not None:
            inputs.update(task.summary())
            choices = task.choices
            inputs.update(placements.log_inputs(choices))
            for policy, placed in placements.totals(choices).items():
                self._metrics.placed(policy, placed)
        route = _NO_ROUTE if task is None else task.route_name
        self._metrics.finished(
            route, answer_summaries.result_code(answer), elapsed_s
        )
        choice, reason = answer_summaries.describe(answer)
        self.log.record(
            decision_log.Decision(
                'answer', request.request_id, choice, reason, inputs=inputs
            )
        )
        return answer
