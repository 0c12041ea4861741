"""corianderport_tier.request.route_admission

Finds the route of a request, or the reason for which it is refused.
"""

import attrs

from corianderport_tier.process import directory
from corianderport_tier.process import drain
from corianderport_tier.process import route_latency
from corianderport_tier import result_codes
from corianderport_tier.version import routes

__all__ = ['Admission', 'RouteAdmission']

Code = result_codes.ResultCode


@attrs.frozen
class Admission:
    """The route of a request, or why it is refused.

    ``code`` is None if the request is admitted.
    """

    routing: routes.RoutingVersion | None
    route: routes.Route | None
    code: Code | None = None
    detail: str = ''


class RouteAdmission:
    """Decides on the admission of requests; changes nothing."""

    def __init__(
        self,
        host_drain: drain.Drain,
        latencies: route_latency.RouteLatencies,
    ) -> None:
        self._drain = host_drain
        self._latencies = latencies

    def check(
        self, searcher_directory: directory.Directory, host: str, path: str
    ) -> Admission:
        """Return the route of a request, or why it is refused now."""
        routing = searcher_directory.routing
        if routing is None:
            return Admission(
                None,
                None,
                Code.NOT_READY,
                'the host has not loaded its routes',
            )
        route = routing.match(host, path)
        if route is None:
            if not searcher_directory.complete:
                return Admission(routing, None, Code.NOT_READY, 'starting')
            return Admission(
                routing,
                None,
                Code.UNKNOWN_SERVICE,
                'no route matches the request',
            )
        usual_s = self._latencies.peek(route).hedge_after_s
        if not self._drain.accepts(usual_s):
            return Admission(
                routing, route, Code.NOT_READY, 'the host is shutting down'
            )
        return Admission(routing, route)
