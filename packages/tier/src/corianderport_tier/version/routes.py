"""corianderport_tier.version.routes

Routes of callers' requests to services, as one version describes them.
"""

import collections.abc
import functools

import attrs

__all__ = [
    'CallerLimits',
    'Gather',
    'Route',
    'RoutingVersion',
    'ServiceParameters',
    'Split',
    'WeightedService',
    'path_of',
]

_SEPARATOR = '/'


@attrs.frozen
class WeightedService:
    """One service of a split and its share of the requests."""

    service: str
    weight: float


@attrs.frozen
class Split:
    """Each request goes to one of these services, by weight."""

    shares: tuple[WeightedService, ...]


@attrs.frozen
class Gather:
    """Each request goes to one searcher of each of these services.

    ``max_records`` limits the records of an answer; ``min_coverage`` is the
    minimum fraction of the services that an answer has to include.
    """

    services: tuple[str, ...]
    max_records: int
    min_coverage: float


@attrs.frozen
class Route:
    """What becomes of the requests to one host name and path prefix.

    ``rank`` 0 is the most urgent one. ``attempts`` bounds the searchers
    of a service that may run one request.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    goal_s: float
    rank: int
    attempts: int
    target: Split | Gather

    @property
    def services(self) -> tuple[str, ...]:
        """All services that the route names."""
        if isinstance(self.target, Gather):
            return self.target.services
        return tuple(share.service for share in self.target.shares)


@attrs.frozen
class ServiceParameters:
    """What holds for every searcher of a service.

    ``connections`` bounds the connections of all callers to a searcher;
    ``cold_rate`` is the number of requests a second that a cold searcher
    bears, from all hosts together.
    """

    name: str
    connections: int
    warm_up_s: float
    cold_rate: float


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


def _index_routes(
    routes: collections.abc.Iterable[Route],
) -> dict[str, dict[str, Route]]:
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return by_host


@attrs.frozen
class RoutingVersion:
    """One version of the routes and services, taken over as a whole."""

    version: int
    routes: tuple[Route, ...]
    services: collections.abc.Mapping[str, ServiceParameters]
    limits: CallerLimits
    _by_host: dict[str, dict[str, Route]] = attrs.field(
        init=False,
        repr=False,
        eq=False,
        default=attrs.Factory(
            lambda self: _index_routes(self.routes), takes_self=True
        ),
    )

    @functools.cached_property
    def named_services(self) -> frozenset[str]:
        """The services that the routes name."""
        return frozenset(n for r in self.routes for n in r.services)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        prefixes = self._by_host.get(host)
        if not prefixes:
            return None
        end = len(path)
        while (end := path.rfind(_SEPARATOR, 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def path_of(target: str) -> str:
    """Return the path of a request target, without its query."""
    return target.partition('?')[0]
