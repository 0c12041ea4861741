"""corianderport_operator.version.builder

Describes a deployment in Python and builds its configuration.
"""

import collections.abc
import typing

import attrs

from corianderport_operator.version import printing
from corianderport_tier import errors
from corianderport_tier.version import configuration
from corianderport_tier.version import snapshots

__all__ = ['Deployment', 'even_shards']

Names = collections.abc.Iterable[str]
Addresses = collections.abc.Mapping[str, collections.abc.Sequence[str]]


class _Named(typing.Protocol):
    @property
    def name(self) -> str:
        """Name of the entity."""


E = typing.TypeVar('E', bound=_Named)


def even_shards(
    services: collections.abc.Sequence[str], each: int, documents: int
) -> tuple[snapshots.Shard, ...]:
    """Spread documents evenly over the services.

    :param each: shards of each service.
    :param documents: number of documents of the index.
    """
    total = len(services) * each
    edges = [documents * number // total for number in range(total + 1)]
    return tuple(
        snapshots.Shard(
            name=f'{services[number // each]}-{number % each + 1}',
            service=services[number // each],
            begin=edges[number],
            end=edges[number + 1],
        )
        for number in range(total)
    )


@attrs.define(kw_only=True)
class Deployment:
    """A deployment that is described step by step.

    Entities may be described in any order; ``build`` checks that they fit
    together. ``region`` is the region of the data centres and services
    that name no other.
    """

    version: int
    region: str
    _data_centres: dict[str, configuration.DataCentre] = attrs.field(
        init=False, factory=dict
    )
    _services: dict[str, configuration.Service] = attrs.field(
        init=False, factory=dict
    )
    _indexes: dict[str, list[snapshots.Snapshot]] = attrs.field(
        init=False, factory=dict
    )
    _searches: dict[str, configuration.Search] = attrs.field(
        init=False, factory=dict
    )
    _actions: dict[str, configuration.Action] = attrs.field(
        init=False, factory=dict
    )
    _customers: dict[str, configuration.Customer] = attrs.field(
        init=False, factory=dict
    )
    _out: set[str] = attrs.field(init=False, factory=set)

    def data_centre(self, name: str, *, region: str | None = None) -> None:
        """Describe a data centre."""
        centre = configuration.DataCentre(name, region or self.region)
        _add('data centre', self._data_centres, centre)

    def service(
        self,
        name: str,
        searchers: Addresses,
        *,
        slots: int,
        connections: int,
        connect_ms: float = 6.0,
        region: str | None = None,
    ) -> None:
        """Describe searchers that hold the same shards.

        :param searchers: ``ip:port`` of the searchers in each data centre.
            The searchers get the names ``<name>-<data centre>-<number>``.
        :param slots: requests that one searcher runs at once.
        :param connections: connections that one searcher accepts.
        :param connect_ms: how long a new connection takes.
        """
        described = configuration.Service(
            name,
            region or self.region,
            configuration.Limits(slots, connections, connect_ms),
            tuple(
                configuration.Searcher(f'{name}-{centre}-{n}', address, centre)
                for centre, addresses in searchers.items()
                for n, address in enumerate(addresses, 1)
            ),
        )
        _add('service', self._services, described)

    def snapshot(
        self,
        index: str,
        number: int,
        shards: collections.abc.Iterable[snapshots.Shard],
    ) -> None:
        """Describe a snapshot of an index and its shard map."""
        published = self._indexes.setdefault(index, [])
        if number in [snapshot.number for snapshot in published]:
            raise errors.ConfigurationInvalid(
                f'index {index!r}: snapshot {number} is described twice'
            )
        published.append(snapshots.Snapshot(number, tuple(shards)))

    def search(
        self,
        name: str,
        *,
        index: str,
        spans: Names,
        deadline_ms: float,
        coverage: configuration.CoverageGoal = configuration.CoverageGoal.BEST,
        minimum_coverage: float = 0.0,
        worth: float = 1.0,
    ) -> None:
        """Describe a search that callers may ask for.

        :param spans: names of the services that it asks.
        :param deadline_ms: the default and the longest deadline.
        :param coverage: what to do when shards are missing at the deadline.
        :param minimum_coverage: fraction that ``AT_LEAST`` asks for.
        :param worth: weight of an answered request under overload.
        """
        described = configuration.Search(
            name,
            index,
            tuple(spans),
            deadline_ms,
            coverage,
            minimum_coverage,
            worth,
        )
        _add('search', self._searches, described)

    def action(
        self,
        name: str,
        *,
        service: str,
        deadline_ms: float,
        worth: float = 1.0,
    ) -> None:
        """Describe a request that may not be repeated."""
        described = configuration.Action(name, service, deadline_ms, worth)
        _add('action', self._actions, described)

    def customer(self, name: str, *, share: float) -> None:
        """Describe a customer and its share of the capacity."""
        described = configuration.Customer(name, share)
        _add('customer', self._customers, described)

    def out_of_service(self, *names: str) -> None:
        """Name data centres or searchers that get no new requests."""
        self._out.update(names)

    def build(self) -> configuration.Configuration:
        """Return the configuration, which may still have faults.

        :raises ConfigurationInvalid: a name that is out of service is
            unknown.
        """
        self._check_out()
        return printing.canonical(
            configuration.Configuration(
                version=self.version,
                data_centres={
                    name: attrs.evolve(
                        centre, in_service=name not in self._out
                    )
                    for name, centre in self._data_centres.items()
                },
                services={
                    name: self._in_service(service)
                    for name, service in self._services.items()
                },
                indexes={
                    name: tuple(published)
                    for name, published in self._indexes.items()
                },
                searches=self._searches,
                actions=self._actions,
                customers=self._customers,
            )
        )

    def _check_out(self) -> None:
        known = set(self._data_centres)
        for service in self._services.values():
            known.update(searcher.name for searcher in service.searchers)
        for name in sorted(self._out - known):
            raise errors.ConfigurationInvalid(
                f'out_of_service: {name!r} is neither a data centre '
                f'({", ".join(sorted(self._data_centres))}) nor a searcher'
            )

    def _in_service(
        self, service: configuration.Service
    ) -> configuration.Service:
        searchers = tuple(
            attrs.evolve(searcher, in_service=searcher.name not in self._out)
            for searcher in service.searchers
        )
        return attrs.evolve(service, searchers=searchers)


def _add(kind: str, described: dict[str, E], entity: E) -> None:
    if entity.name in described:
        raise errors.ConfigurationInvalid(
            f'{kind} {entity.name!r} is described twice'
        )
    described[entity.name] = entity
