"""corianderport_tier.version.routes

Versioned routing of callers' requests to services.
"""

import collections
import collections.abc
import functools

import attrs

from corianderport_tier.version import workspaces as workspaces_module

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
    """A service of a split and its weight."""

    service: str
    weight: float


@attrs.frozen
class Split:
    """Sends each request to one of the services, chosen by weight."""

    shares: tuple[WeightedService, ...]


@attrs.frozen
class Gather:
    """Sends each request to one searcher of every service.

    ``max_records`` limits the records of an answer; ``min_coverage`` is the
    minimum fraction of the services that an answer must include.
    """

    services: tuple[str, ...]
    max_records: int
    min_coverage: float


@attrs.frozen
class Route:
    """Rule for requests to one host name and path prefix.

    ``goal_s`` is the latency goal, at which a gather answers without its
    late parts. ``rank`` is the priority, 0 being the highest. ``attempts``
    is the maximum number of searchers of a service that may run one
    request. ``public`` requests need no key of a workspace.
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
    public: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services of the route."""
        if isinstance(self.target, Gather):
            return self.target.services
        return tuple(share.service for share in self.target.shares)


@attrs.frozen
class ServiceParameters:
    """Parameters of all searchers of a service.

    ``connections`` limits the connections of all hosts to one searcher;
    ``cold_rate`` is the number of requests per second that a cold searcher
    can handle from all hosts together.
    """

    name: str
    connections: int
    warm_up_s: float
    cold_rate: float


@attrs.frozen
class CallerLimits:
    """Size limits and timeouts of callers' requests."""

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
    """One version of all routes and services, applied atomically.

    ``workspaces`` is None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: collections.abc.Mapping[str, ServiceParameters]
    limits: CallerLimits
    workspaces: workspaces_module.Workspaces | None = None
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
        """Names of all services of all routes."""
        return frozenset(n for r in self.routes for n in r.services)

    @functools.cached_property
    def mixed_rank_services(self) -> frozenset[str]:
        """Services that routes of the highest priority share with others."""
        urgent = {n for r in self.routes if r.rank == 0 for n in r.services}
        other = {n for r in self.routes if r.rank != 0 for n in r.services}
        return frozenset(urgent & other)

    @functools.cached_property
    def services_by_urgency(self) -> frozenset[str]:
        """Services whose requests may have different priorities.

        The priority of a request is that of its workspace, else of its route.
        """
        by_workspace = {w.rank for w in self.workspaces or ()}
        ranks: dict[str, set[int]] = collections.defaultdict(set)
        for route in self.routes:
            for name in route.services:
                ranks[name] |= by_workspace
                if self.workspaces is None or route.public:
                    ranks[name].add(route.rank)
        return frozenset(n for n, found in ranks.items() if len(found) > 1)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
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
    """Return the path of a request target without the query."""
    return target.partition('?')[0]
