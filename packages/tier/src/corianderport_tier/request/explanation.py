"""corianderport_tier.request.explanation

Where a request would go now, and why, without sending it.
"""

import math

import attrs

from corianderport_tier import errors
from corianderport_tier.process import cost_estimates
from corianderport_tier.process import directory
from corianderport_tier.process import quota_outlook
from corianderport_tier.process import quotas as quotas_module
from corianderport_tier.process import ratings
from corianderport_tier.process import route_latency
from corianderport_tier.process import store_freshness
from corianderport_tier.request import authorization
from corianderport_tier.request import route_admission
from corianderport_tier.version import routes

__all__ = [
    'Explainer',
    'Explanation',
    'GivenKey',
    'KeyView',
    'RouteView',
    'ServiceView',
]


@attrs.frozen
class RouteView:
    """The route of a request."""

    name: str
    host: str
    prefix: str
    priority: int
    idempotent: bool
    gather: bool
    timeout_s: float
    goal_s: float


@attrs.frozen
class ServiceView:
    """One service of the route, for a gather one shard.

    ``chosen`` is the searcher of the lowest cost, empty if there is no
    candidate; ``share`` is the part of the requests that go to the service.
    ``extra_permitted`` says whether the budget permits a retry or hedge now.
    ``policy`` is empty if the service is unknown.
    """

    service: str
    share: float
    policy: str = ''
    chosen: str = ''
    extra_permitted: bool = False
    searchers: tuple[ratings.Rating, ...] = ()


@attrs.frozen
class GivenKey:
    """The key with which a request would come; None if it is not valid."""

    credential: str | None = attrs.field(repr=False)


@attrs.frozen
class KeyView:
    """What the check of a key and the quota would decide.

    ``needed`` says whether requests need keys. ``refusal`` says why the key
    would be refused; it is empty if the key would be accepted. ``workspace``
    is empty if the request would be served without a key. ``quota`` is None
    if the workspace has no quota.
    """

    needed: bool
    refusal: str = ''
    workspace: str = ''
    priority: int | None = None
    quota: quota_outlook.QuotaOutlook | None = None


@attrs.frozen
class Explanation:
    """Where a request would go now.

    ``refusal`` says why the request would not be admitted; it is empty if
    the request would be admitted. ``store_age_s`` is the age of what the host
    knows of the store, None before it was known to be current. ``key`` is
    None if no key was given.
    """

    version: int | None
    route: RouteView | None
    refusal: str
    expected_s: float = 0.0
    services: tuple[ServiceView, ...] = ()
    store_age_s: float | None = None
    key: KeyView | None = None


class Explainer:
    """Explains requests with the code that decides on them."""

    def __init__(
        self,
        searcher_directory: directory.Directory,
        admission: route_admission.RouteAdmission,
        latencies: route_latency.RouteLatencies,
        costs: cost_estimates.CostEstimates,
        authorizer: authorization.Authorizer,
        quotas: quotas_module.Quotas | None,
        freshness: store_freshness.StoreFreshness,
    ) -> None:
        self._directory = searcher_directory
        self._admission = admission
        self._latencies = latencies
        self._costs = costs
        self._authorizer = authorizer
        self._quotas = quotas
        self._freshness = freshness

    def explain(
        self,
        host: str,
        path: str,
        body_bytes: int,
        given: GivenKey | None = None,
    ) -> Explanation:
        """Return where a request would go now; change nothing.

        :param given: None to leave out the check of the key and the quota.
        """
        age_s = self._freshness.age_s
        store_age_s = None if math.isinf(age_s) else age_s
        admission = self._admission.check(self._directory, host, path)
        version = admission.routing.version if admission.routing else None
        route = admission.route
        if route is None:
            return Explanation(
                version, None, admission.detail, store_age_s=store_age_s
            )
        key = None if given is None else self._key_view(route, given)
        request_class = self._costs.peek(
            route, self._latencies.peek(route), body_bytes, path
        )
        return Explanation(
            version,
            _route_view(route),
            admission.detail or _refusal(key),
            request_class.expected_s,
            tuple(
                _service_view(self._directory, name, share, request_class)
                for name, share in _shares(route).items()
            ),
            store_age_s,
            key,
        )

    def _key_view(self, route: routes.Route, given: GivenKey) -> KeyView:
        needed = self._authorizer.needs_keys
        try:
            preview = self._authorizer.preview(route, given.credential)
        except (errors.Unauthenticated, errors.KeyUnconfirmed) as error:
            return KeyView(needed, str(error))
        workspace = preview.workspace
        if workspace is None:
            return KeyView(needed, priority=route.rank)
        return KeyView(
            needed,
            workspace=workspace.name,
            priority=preview.rank(route),
            quota=self._quotas.outlook(workspace) if self._quotas else None,
        )


def _refusal(key: KeyView | None) -> str:
    if key is None:
        return ''
    return key.refusal or (key.quota.refusal if key.quota else '')


def _shares(route: routes.Route) -> dict[str, float]:
    if isinstance(route.target, routes.Gather):
        return dict.fromkeys(route.target.services, 1.0)
    total = sum(share.weight for share in route.target.shares) or 1.0
    return {s.service: s.weight / total for s in route.target.shares}


def _route_view(route: routes.Route) -> RouteView:
    return RouteView(
        route.name,
        route.host,
        route.prefix,
        route.rank,
        route.idempotent,
        isinstance(route.target, routes.Gather),
        route.timeout_s,
        route.goal_s,
    )


def _service_view(
    searcher_directory: directory.Directory,
    name: str,
    share: float,
    request_class: cost_estimates.RequestClass,
) -> ServiceView:
    service = searcher_directory.service(name)
    if service is None:
        return ServiceView(name, share)
    rated = service.ratings(request_class)
    candidates = [r for r in rated.searchers if not r.excluded]
    chosen = min(candidates, key=lambda r: r.cost, default=None)
    return ServiceView(
        name,
        share,
        rated.policy,
        chosen.searcher if chosen else '',
        rated.extra_permitted,
        rated.searchers,
    )
