"""Builders of store entries for the tests of several modules."""

import attrs

from corianderport_tier.process import cost_estimates
from corianderport_tier.process import route_latency
from corianderport_tier.version import registrations
from corianderport_tier.version import routes

LIMITS = routes.CallerLimits(16_384, 262_144, 3.0, 15.0)


def registration(
    name: str, service: str = 'stock', **fields: object
) -> registrations.Registration:
    """Return the registration of a searcher that is ready."""
    base = registrations.Registration(
        searcher=name,
        service=service,
        address=f'127.0.0.1:{9_000 + sum(map(ord, name))}',
        data_centre='dc-a',
        slots=2,
        draining=False,
        warm_up_left_s=0.0,
    )
    return attrs.evolve(base, **fields)


def entry(
    revision: int,
    value: registrations.Published | None,
    key: str | None = None,
) -> registrations.Entry:
    """Return an entry with a value, by default under the usual key."""
    if key is None:
        if isinstance(value, registrations.Registration):
            key = f'servers/{value.searcher}'
        elif isinstance(value, registrations.OutOfService):
            key = f'out/{value.data_centre}'
        else:
            key = 'routing'
    return registrations.Entry(key, revision, value)


def parameters(
    service: str = 'stock', **fields: object
) -> routes.ServiceParameters:
    """Return the parameters of a service."""
    base = routes.ServiceParameters(service, 24, 3.0, 0.0)
    return attrs.evolve(base, **fields)


def request_class(
    median_s: float = 0.01, expected_s: float | None = None
) -> cost_estimates.RequestClass:
    """Return a class of requests of a route with this median latency."""
    return cost_estimates.RequestClass(
        route_latency.RouteLatency(median_s),
        median_s if expected_s is None else expected_s,
        1.0,
    )


def route(
    services: tuple[str, ...] = ('stock',),
    min_coverage: float | None = None,
    **fields: object,
) -> routes.Route:
    """Return a route; a gather if ``min_coverage`` is given."""
    target: routes.Split | routes.Gather
    if min_coverage is None:
        target = routes.Split(
            tuple(routes.WeightedService(s, 1.0) for s in services)
        )
    else:
        target = routes.Gather(services, 2, min_coverage)
    base = routes.Route(
        name='find',
        host='a.example',
        prefix='/find/',
        idempotent=True,
        timeout_s=1.0,
        goal_s=0.1,
        rank=1,
        attempts=2,
        target=target,
    )
    return attrs.evolve(base, **fields)


def routing(version: int, *used_routes: routes.Route) -> routes.RoutingVersion:
    """Return a routing version with routes and the services they use."""
    names = {name for r in used_routes for name in r.services}
    return routes.RoutingVersion(
        version, used_routes, {n: parameters(n) for n in names}, LIMITS
    )
