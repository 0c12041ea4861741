"""corianderport_operator.version.builder

Builds a configuration from a description in Python.
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


class _NamedEntity(typing.Protocol):
    @property
    def name(self) -> str:
        """Name of the entity."""


E = typing.TypeVar('E', bound=_NamedEntity)


def even_shards(
    services: collections.abc.Sequence[str], each: int, documents: int
) -> tuple[snapshots.Shard, ...]:
    """Return shards whose sizes differ by at most one document.

    :param services: names of the services; each holds adjacent shards.
    :param each: number of shards of each service.
    :param documents: number of documents in the index.
    """
    total = len(services) * each
    bounds = [documents * number // total for number in range(total + 1)]
    return tuple(
        snapshots.Shard(
            name=f'{services[number // each]}-{number % each + 1}',
            service=services[number // each],
            begin=bounds[number],
            end=bounds[number + 1],
        )
        for number in range(total)
    )


@attrs.define(kw_only=True)
class Deployment:
    """Collects the entities of a deployment.

    Entities may be added in any order; only names that are out of service
    are looked up, by ``build``. ``region`` is the default region of data
    centres and services.
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
        """Add a data centre."""
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
        """Add a service, whose searchers all hold the same shards.

        :param searchers: ``ip:port`` of the searchers in each data centre.
            The searchers get the names ``<name>-<data centre>-<number>``.
        :param slots: number of requests that a searcher runs concurrently.
        :param connections: number of connections that a searcher accepts.
        :param connect_ms: time that it takes to open a connection.
        """
        service = configuration.Service(
            name,
            region or self.region,
            configuration.Limits(slots, connections, connect_ms),
            tuple(
                configuration.Searcher(f'{name}-{centre}-{n}', address, centre)
                for centre, addresses in searchers.items()
                for n, address in enumerate(addresses, 1)
            ),
        )
        _add('service', self._services, service)

    def snapshot(
        self,
        index: str,
        number: int,
        shards: collections.abc.Iterable[snapshots.Shard],
    ) -> None:
        """Add a snapshot of an index with its shard map."""
        index_snapshots = self._indexes.setdefault(index, [])
        if number in [snapshot.number for snapshot in index_snapshots]:
            raise errors.ConfigurationInvalid(
                f'index {index!r}: snapshot {number} is defined twice'
            )
        index_snapshots.append(snapshots.Snapshot(number, tuple(shards)))

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
        """Add a search that callers may request.

        :param spans: names of the services that the search queries.
        :param deadline_ms: default and maximum deadline.
        :param coverage: handling of shards that are missing at the deadline.
        :param minimum_coverage: fraction of documents that ``AT_LEAST`` needs.
        :param worth: weight of an answered request under overload. While a
            host is full, waiting requests of customers below their share
            start first, then requests of more worth.
        """
        search = configuration.Search(
            name,
            index,
            tuple(spans),
            deadline_ms,
            coverage,
            minimum_coverage,
            worth,
        )
        _add('search', self._searches, search)

    def action(
        self,
        name: str,
        *,
        service: str,
        deadline_ms: float,
        worth: float = 1.0,
    ) -> None:
        """Add an action, a request that must run at most once."""
        action = configuration.Action(name, service, deadline_ms, worth)
        _add('action', self._actions, action)

    def customer(self, name: str, *, share: float) -> None:
        """Add a customer with its share of the capacity."""
        customer = configuration.Customer(name, share)
        _add('customer', self._customers, customer)

    def out_of_service(self, *names: str) -> None:
        """Take data centres or searchers, given by name, out of service.

        They get no new requests.
        """
        self._out.update(names)

    def build(self) -> configuration.Configuration:
        """Return the configuration without validating it.

        :raises ConfigurationInvalid: a name that is out of service is
            neither a data centre nor a searcher.
        """
        self._check_out_of_service()
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
                    name: self._with_service_state(service)
                    for name, service in self._services.items()
                },
                indexes={
                    name: tuple(index_snapshots)
                    for name, index_snapshots in self._indexes.items()
                },
                searches=self._searches,
                actions=self._actions,
                customers=self._customers,
            )
        )

    def _check_out_of_service(self) -> None:
        valid_names = set(self._data_centres)
        for service in self._services.values():
            valid_names.update(searcher.name for searcher in service.searchers)
        for name in sorted(self._out - valid_names):
            raise errors.ConfigurationInvalid(
                f'out_of_service: {name!r} is neither a data centre '
                f'({", ".join(sorted(self._data_centres))}) nor a searcher'
            )

    def _with_service_state(
        self, service: configuration.Service
    ) -> configuration.Service:
        searchers = tuple(
            attrs.evolve(searcher, in_service=searcher.name not in self._out)
            for searcher in service.searchers
        )
        return attrs.evolve(service, searchers=searchers)


def _add(kind: str, entities: dict[str, E], entity: E) -> None:
    if entity.name in entities:
        raise errors.ConfigurationInvalid(
            f'{kind} {entity.name!r} is defined twice'
        )
    entities[entity.name] = entity
