"""corianderport_tier.version.configuration

The immutable configuration that operators publish.
"""

import collections.abc
import enum

import attrs

from corianderport_tier.version import snapshots

__all__ = [
    'Action',
    'Configuration',
    'CoverageGoal',
    'Customer',
    'DataCentre',
    'Limits',
    'Search',
    'Searcher',
    'Service',
]


class CoverageGoal(enum.Enum):
    """Coverage that an answer needs when shards are missing."""

    BEST = 'best'
    AT_LEAST = 'at-least'
    ALL = 'all'


@attrs.frozen
class DataCentre:
    """A data centre and whether it is in service."""

    name: str
    region: str
    in_service: bool = True


@attrs.frozen
class Limits:
    """Limits of each searcher of a service.

    ``slots`` is the number of requests that a warm searcher runs
    concurrently; ``connections`` is its connection limit across all hosts.
    """

    slots: int
    connections: int
    connect_ms: float = 6.0


@attrs.frozen
class Searcher:
    """One upstream process; ``address`` is ``ip:port``."""

    name: str
    address: str
    data_centre: str
    in_service: bool = True


@attrs.frozen
class Service:
    """A group of searchers that are replicas of the same shards."""

    name: str
    region: str
    limits: Limits
    searchers: tuple[Searcher, ...]


@attrs.frozen
class Search:
    """A search that callers may request.

    ``deadline_ms`` is the default and the maximum deadline; ``worth`` is
    the weight of an answered request under overload.
    """

    name: str
    index: str
    services: tuple[str, ...]
    deadline_ms: float
    coverage_goal: CoverageGoal = CoverageGoal.BEST
    minimum_coverage: float = 0.0
    worth: float = 1.0


@attrs.frozen
class Action:
    """A kind of request that must run at most once, run by a service."""

    name: str
    service: str
    deadline_ms: float
    worth: float = 1.0


@attrs.frozen
class Customer:
    """A customer and its share of capacity under overload."""

    name: str
    share: float


@attrs.frozen
class Configuration:
    """One version of the complete configuration.

    ``indexes`` maps index names to their snapshots, newest first.
    """

    version: int
    data_centres: collections.abc.Mapping[str, DataCentre]
    services: collections.abc.Mapping[str, Service]
    indexes: collections.abc.Mapping[str, tuple[snapshots.Snapshot, ...]]
    searches: collections.abc.Mapping[str, Search]
    actions: collections.abc.Mapping[str, Action]
    customers: collections.abc.Mapping[str, Customer]

    def is_in_service(self, searcher: Searcher) -> bool:
        """Whether the searcher and its data centre are in service."""
        return self.out_of_service_reason(searcher) is None

    def out_of_service_reason(self, searcher: Searcher) -> str | None:
        """Return why the searcher is out of service, or None."""
        if not searcher.in_service:
            return f'searcher {searcher.name} is out of service'
        data_centre = self.data_centres.get(searcher.data_centre)
        if data_centre is None:
            return f'data centre {searcher.data_centre} is unknown'
        if not data_centre.in_service:
            return f'data centre {data_centre.name} is out of service'
        return None
