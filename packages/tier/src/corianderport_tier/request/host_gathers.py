"""corianderport_tier.request.host_gathers

Runs the gathers that other hosts give to this one.
"""

from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import gather_capacity
from corianderport_tier.request import answer_summaries
from corianderport_tier.request import authorization as authorization_module
from corianderport_tier.request import delegation
from corianderport_tier.request import forward_messages
from corianderport_tier.request import forward_task
from corianderport_tier.request import gather_messages
from corianderport_tier.request import request_context
from corianderport_tier.request import route_admission
from corianderport_tier.version import routes

__all__ = ['HostGathers']

# Processor time of a part as a multiple of that of its send: receiving and
# merging the reply takes as long.
_PART_PER_SEND = 2


class HostGathers:
    """Serves the calls for gathers of other hosts.

    :param host: what the requests of this host share.
    :param capacity: bounds the gathers that run at the same time.
    """

    def __init__(
        self,
        host: request_context.HostState,
        admission: route_admission.RouteAdmission,
        authorizer: authorization_module.Authorizer,
        capacity: gather_capacity.GatherCapacity,
    ) -> None:
        self._host = host
        self._admission = admission
        self._authorizer = authorizer
        self._capacity = capacity

    def availability(self) -> gather_messages.GatherAvailability:
        """Return whether this host takes a gather now."""
        routing = self._host.directory.routing
        if routing is None:
            return gather_messages.GatherAvailability(0, False)
        accepts = self._capacity.available and not self._host.drain.begun
        return gather_messages.GatherAvailability(routing.version, accepts)

    def gather(
        self,
        call: gather_messages.GatherCall,
        caller: request_context.DisconnectWatch,
    ) -> forward_messages.ForwardAnswer | None:
        """Gather the parts of another host's request.

        :param caller: the connection of the other host.
        :return: None if the other host disconnected.
        :raises Refusal: nothing was sent to any searcher.
        """
        route, target = self._find(call)
        authorization = self._authorizer.admit(route, None)
        if authorization.identity is not None:
            raise errors.NotReady('requests with keys are not passed on')
        clock = self._host.clock
        with self._capacity.running(
            len(target.services),
            delegation.expected_bytes(target),
            call.goal.remaining(clock),
        ):
            started_s = clock.monotonic()
            task = forward_task.ForwardTask(
                self._host,
                call.request,
                route,
                authorization,
                call.version,
                call.goal,
            )
            answer = task.run(caller)
        send_s = task.send_s_per_part
        if send_s is not None:
            self._capacity.record(send_s * _PART_PER_SEND)
        choice, reason = answer_summaries.describe(answer)
        self._host.log.record(
            decision_log.Decision(
                'gathered-for-host',
                call.request.request_id,
                choice,
                reason,
                inputs={
                    'sender': call.sender,
                    'version': call.version,
                    'elapsed_ms': round(
                        (clock.monotonic() - started_s) * 1e3, 1
                    ),
                    'part_us': round(self._capacity.part_s * 1e6),
                    **task.summary(),
                },
            )
        )
        return answer

    def _find(
        self, call: gather_messages.GatherCall
    ) -> tuple[routes.Route, routes.Gather]:
        """Return the route of a gather in the version of its request."""
        admission = self._admission.check(
            self._host.directory, call.request.host, call.request.path
        )
        routing, route = admission.routing, admission.route
        if routing is None or routing.version != call.version:
            version = 0 if routing is None else routing.version
            raise errors.NotReady(f'has version {version}')
        if route is None or admission.code is not None:
            raise errors.NotReady(admission.detail)
        if not isinstance(route.target, routes.Gather):
            raise errors.NotReady('the route is no gather')
        return route, route.target
