"""corianderport_testkit.version.deployments

Generated deployments for tests, the demo and the benchmark.
"""

import collections.abc

import attrs

from corianderport_tier.version import configuration
from corianderport_tier.version import snapshots

__all__ = ['DATA_CENTRES', 'Deployment']

DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c')
REGION = 'region-1'


@attrs.frozen
class Deployment:
    """Services with one searcher in each data centre.

    ``shards`` is the number of shards of each service; ``documents`` is the
    number of documents, spread evenly over all shards. ``slots`` and
    ``connections`` are the limits of each searcher. ``worths`` holds the name
    and worth of each search; a search covers all services.
    """

    services: int = 4
    shards: int = 2
    documents: int = 400
    slots: int = 2
    connections: int = 25
    deadline_ms: float = 500.0
    snapshot_numbers: tuple[int, ...] = (1,)
    worths: tuple[tuple[str, float], ...] = (('stock', 1.0),)

    def service_names(self) -> tuple[str, ...]:
        """Return the names of the search services."""
        return tuple(f'catalogue-{n:02d}' for n in range(self.services))

    def searcher_names(self, data_centre: str) -> tuple[str, ...]:
        """Return the names of a data centre's searchers, one per service."""
        return tuple(f'{name}-{data_centre}' for name in self.service_names())

    def shard_map(self) -> tuple[snapshots.Shard, ...]:
        """Return the shards, whose ranges cover all documents."""
        total = self.services * self.shards
        edges = [self.documents * n // total for n in range(total + 1)]
        return tuple(
            snapshots.Shard(
                name=f'shard-{n:03d}',
                service=self.service_names()[n // self.shards],
                begin=edges[n],
                end=edges[n + 1],
            )
            for n in range(total)
        )

    def build(
        self,
        version: int,
        addresses: collections.abc.Mapping[str, str],
        out_of_service: collections.abc.Container[str] = (),
    ) -> configuration.Configuration:
        """Return the configuration with a version number.

        :param addresses: ``ip:port`` of each searcher, by its name.
        :param out_of_service: names of data centres and searchers.
        """
        return configuration.Configuration(
            version=version,
            data_centres={
                name: configuration.DataCentre(
                    name, REGION, name not in out_of_service
                )
                for name in DATA_CENTRES
            },
            services={
                name: self._service(name, addresses, out_of_service)
                for name in self.service_names()
            },
            indexes={
                'catalogue': tuple(
                    snapshots.Snapshot(number, self.shard_map())
                    for number in sorted(self.snapshot_numbers, reverse=True)
                )
            },
            searches={
                name: configuration.Search(
                    name=name,
                    index='catalogue',
                    services=self.service_names(),
                    deadline_ms=self.deadline_ms,
                    worth=worth,
                )
                for name, worth in self.worths
            },
            actions={
                'reserve': configuration.Action(
                    'reserve', self.service_names()[0], self.deadline_ms
                )
            },
            customers={'default': configuration.Customer('default', 1.0)},
        )

    def _service(
        self,
        name: str,
        addresses: collections.abc.Mapping[str, str],
        out_of_service: collections.abc.Container[str],
    ) -> configuration.Service:
        searchers = tuple(
            configuration.Searcher(
                name=f'{name}-{centre}',
                address=addresses[f'{name}-{centre}'],
                data_centre=centre,
                in_service=f'{name}-{centre}' not in out_of_service,
            )
            for centre in DATA_CENTRES
        )
        return configuration.Service(
            name=name,
            region=REGION,
            limits=configuration.Limits(self.slots, self.connections),
            searchers=searchers,
        )
