"""corianderport_tier.process.administration

What a host shows to operators; reads state and changes none.
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


_HELD = {
    health.HealthState.SLOW: 'much slower than its replicas; it is probed',
    health.HealthState.FAILING: 'failed several times; it is probed',
    health.HealthState.DRAINING: 'it said that it is leaving; it is probed',
}


class UpstreamSource(typing.Protocol):
    """What is read of the state of one searcher."""

    @property
    def searcher(self) -> configuration.Searcher:
        """The searcher as it is configured."""

    @property
    def limit(self) -> int:
        """Requests that may be at the searcher at once."""

    @property
    def in_flight(self) -> int:
        """Requests at the searcher now."""

    @property
    def latency_s(self) -> float:
        """Latency to expect, seconds."""

    @property
    def health(self) -> health.Health:
        """Circuit breaker, drain and probation."""

    @property
    def slow_start(self) -> slow_start.SlowStart:
        """Limit while the searcher warms up."""


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
    """Whether the host serves callers, and why not."""

    ready: bool
    reason: str


@attrs.frozen
class VersionView:
    """The host and the configuration that it has in force.

    ``refused`` lists the faults of a later document that was refused.
    """

    host: str
    data_centre: str
    version: int
    refused: str = ''


@attrs.frozen
class PeerView:
    """A host of the host list, as this host sees it.

    ``state`` is that of the host list; ``standing`` comes from heartbeats.
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
    ``failing``, ``draining`` or ``out-of-service``; ``reason`` says why.
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
    """Answers operators' questions from the state of one host."""

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        members: membership.Membership,
        services: ServiceSource,
        log: decision_log.DecisionLog,
        counted: metrics.Metrics,
        stopping: collections.abc.Callable[[], bool],
    ) -> None:
        self._store = store
        self._members = members
        self._services = services
        self._log = log
        self._counted = counted
        self._stopping = stopping

    def ready(self) -> ReadyView:
        """Return whether callers may be sent to this host."""
        if self._stopping():
            return ReadyView(False, 'the host is stopping')
        if self._store.version == 0:
            return ReadyView(False, 'no configuration has been accepted')
        return ReadyView(True, f'version {self._store.version} is in force')

    def version(self) -> VersionView:
        """Return the version in force, 0 when there is none."""
        own = self._members.own
        return VersionView(
            own.name,
            own.data_centre,
            self._store.version,
            self._store.refusal,
        )

    def peers(self) -> tuple[PeerView, ...]:
        """Return all listed hosts, with this one."""
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
            _upstream(accepted, service, source)
            for service, sources in sorted(self._services.states().items())
            for source in sources
        )

    def decisions(self) -> tuple[decision_log.Decision, ...]:
        """Return the most recent decisions, oldest first."""
        return self._log.recent()

    def totals(self) -> metrics.Totals:
        """Return the counters."""
        return self._counted.totals()

    def document(self) -> bytes:
        """Return the configuration in force as it was published.

        :raises NotReady: no configuration has been accepted.
        """
        return self._store.accepted().document


def _upstream(
    accepted: configuration.Configuration,
    service: str,
    source: UpstreamSource,
) -> UpstreamView:
    searcher = source.searcher
    state, reason = _state(accepted, service, source)
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


def _state(
    accepted: configuration.Configuration,
    service: str,
    source: UpstreamSource,
) -> tuple[str, str]:
    searcher = source.searcher
    known = accepted.services.get(service)
    if known is None or searcher not in known.searchers:
        return 'out-of-service', 'not in the configuration in force'
    reason = accepted.out_of_service_reason(searcher)
    if reason is not None:
        return 'out-of-service', reason
    if not source.health.normal:
        held = source.health.state
        return held.value, _HELD[held]
    in_flight = f'{source.in_flight} of {source.limit} in flight'
    slots = source.slow_start.slots
    if source.limit < slots:
        return 'warming-up', f'{in_flight}, {slots} when warm'
    if source.in_flight >= source.limit:
        return 'full', in_flight
    return 'in-service', in_flight
