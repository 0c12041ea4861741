"""corianderport_tier.process.administration

Read-only views of a host's state for operators.
"""

import collections.abc
import typing

import attrs

from corianderport_tier.process import configuration_store
from corianderport_tier.process import decision_log
from corianderport_tier.process import health
from corianderport_tier.process import membership
from corianderport_tier.process import metrics
from corianderport_tier.process import slow_start
from corianderport_tier.version import configuration

__all__ = [
    'Administration',
    'PeerView',
    'ReadyView',
    'ServiceSource',
    'UpstreamSource',
    'UpstreamView',
    'VersionView',
]


_PROBED_REASONS = {
    health.HealthState.SLOW: 'much slower than its replicas; it is probed',
    health.HealthState.FAILING: 'failed several times; it is probed',
    health.HealthState.DRAINING: 'reported that it is draining; it is probed',
}


class UpstreamSource(typing.Protocol):
    """The state of one searcher that the views read."""

    @property
    def searcher(self) -> configuration.Searcher:
        """The searcher's entry in the configuration."""

    @property
    def limit(self) -> int:
        """Maximum number of concurrent requests at the searcher."""

    @property
    def in_flight(self) -> int:
        """Number of requests at the searcher now."""

    @property
    def latency_s(self) -> float:
        """Expected latency in seconds."""

    @property
    def health(self) -> health.Health:
        """Circuit breaker, drain and probation state."""

    @property
    def slow_start(self) -> slow_start.SlowStart:
        """Concurrency limit while the searcher warms up."""


class ServiceSource(typing.Protocol):
    """Lists the searchers that this host sends to."""

    def states(
        self,
    ) -> collections.abc.Mapping[
        str, collections.abc.Sequence[UpstreamSource]
    ]:
        """Return the state of each searcher, by service."""


@attrs.frozen
class ReadyView:
    """Whether the host serves callers, and the reason."""

    ready: bool
    reason: str


@attrs.frozen
class VersionView:
    """The host and the version of its configuration in force.

    ``refused`` lists the faults of a later document that was rejected.
    """

    host: str
    data_centre: str
    version: int
    refused: str = ''


@attrs.frozen
class PeerView:
    """A host of the host list, as this host sees it.

    ``state`` comes from the host list, ``standing`` from heartbeats.
    """

    name: str
    data_centre: str
    peer_address: str
    state: str
    standing: str


@attrs.frozen
class UpstreamView:
    """State of a searcher that this host sends to.

    ``state`` is ``in-service``, ``full``, ``warming-up``, ``slow``,
    ``failing``, ``draining`` or ``out-of-service``; ``reason`` explains why.
    """

    service: str
    name: str
    address: str
    data_centre: str
    state: str
    reason: str
    limit: int
    in_flight: int
    latency_ms: float


class Administration:
    """Builds the views of one host for its administration endpoints."""

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        members: membership.Membership,
        services: ServiceSource,
        log: decision_log.DecisionLog,
        counters: metrics.Metrics,
        stopping: collections.abc.Callable[[], bool],
    ) -> None:
        self._store = store
        self._members = members
        self._services = services
        self._log = log
        self._counters = counters
        self._stopping = stopping

    def ready(self) -> ReadyView:
        """Return whether this host may receive requests from callers."""
        if self._stopping():
            return ReadyView(False, 'the host is stopping')
        if self._store.version == 0:
            return ReadyView(False, 'no configuration has been accepted')
        return ReadyView(True, f'version {self._store.version} is in force')

    def version(self) -> VersionView:
        """Return the version in force, 0 if there is none."""
        own = self._members.own
        return VersionView(
            own.name,
            own.data_centre,
            self._store.version,
            self._store.refusal,
        )

    def peers(self) -> tuple[PeerView, ...]:
        """Return all listed hosts, including this one."""
        view = self._members.view
        return tuple(
            PeerView(
                member.name,
                member.data_centre,
                member.peer_address,
                member.state.value,
                view.standings[member.name].name.lower(),
            )
            for member in view.members
        )

    def upstreams(self) -> tuple[UpstreamView, ...]:
        """Return the searchers that this host has sent to.

        :raises NotReady: no configuration has been accepted.
        """
        accepted = self._store.current()
        return tuple(
            _upstream_view(accepted, service, source)
            for service, sources in sorted(self._services.states().items())
            for source in sources
        )

    def decisions(self) -> tuple[decision_log.Decision, ...]:
        """Return the most recent decisions, oldest first."""
        return self._log.recent()

    def totals(self) -> metrics.Totals:
        """Return the totals of the counters."""
        return self._counters.totals()

    def document(self) -> bytes:
        """Return the configuration in force as it was published.

        :raises NotReady: no configuration has been accepted.
        """
        return self._store.accepted().document


def _upstream_view(
    accepted: configuration.Configuration,
    service: str,
    source: UpstreamSource,
) -> UpstreamView:
    searcher = source.searcher
    state, reason = _state_and_reason(accepted, service, source)
    return UpstreamView(
        service=service,
        name=searcher.name,
        address=searcher.address,
        data_centre=searcher.data_centre,
        state=state,
        reason=reason,
        limit=source.limit,
        in_flight=source.in_flight,
        latency_ms=round(source.latency_s * 1e3, 3),
    )


def _state_and_reason(
    accepted: configuration.Configuration,
    service: str,
    source: UpstreamSource,
) -> tuple[str, str]:
    searcher = source.searcher
    configured_service = accepted.services.get(service)
    if (
        configured_service is None
        or searcher not in configured_service.searchers
    ):
        return 'out-of-service', 'not in the configuration in force'
    reason = accepted.out_of_service_reason(searcher)
    if reason is not None:
        return 'out-of-service', reason
    if not source.health.normal:
        health_state = source.health.state
        return health_state.value, _PROBED_REASONS[health_state]
    in_flight = f'{source.in_flight} of {source.limit} in flight'
    slots = source.slow_start.slots
    if source.limit < slots:
        return 'warming-up', f'{in_flight}, {slots} when warm'
    if source.in_flight >= source.limit:
        return 'full', in_flight
    return 'in-service', in_flight
