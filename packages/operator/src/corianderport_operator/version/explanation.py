"""corianderport_operator.version.explanation

Determines which services, shards and searchers a search uses.
"""

import attrs

from corianderport_tier import errors
from corianderport_tier import options
from corianderport_tier.version import configuration
from corianderport_tier.version import snapshots

__all__ = [
    'Explanation',
    'SearcherUse',
    'ServiceUse',
    'Unused',
    'explain',
]


@attrs.frozen
class SearcherUse:
    """A searcher of a service that the search uses.

    ``why_not`` is empty when the searcher may receive requests, otherwise
    it gives the reason why not.
    """

    name: str
    data_centre: str
    address: str
    why_not: str


@attrs.frozen
class ServiceUse:
    """A service that the search uses, with its shards and searchers."""

    service: str
    shards: tuple[snapshots.Shard, ...]
    searchers: tuple[SearcherUse, ...]

    @property
    def usable(self) -> int:
        """Number of searchers that may receive requests."""
        return sum(not searcher.why_not for searcher in self.searchers)


@attrs.frozen
class Unused:
    """A service that the search does not use; ``why_not`` is the reason."""

    service: str
    why_not: str


@attrs.frozen
class Explanation:
    """The services, shards and searchers that a search uses.

    ``snapshot`` is the newest snapshot; a search uses it when the searchers
    hold it. ``documents`` is the number of documents at full coverage, and
    ``expected_coverage`` the fraction of them in shards of services that
    have a usable searcher.
    """

    search: str
    index: str
    snapshot: int
    documents: int
    expected_coverage: float
    services: tuple[ServiceUse, ...]
    unused: tuple[Unused, ...]


def explain(config: configuration.Configuration, name: str) -> Explanation:
    """Return the services, shards and searchers that a search uses.

    :raises SettingInvalid: the configuration has no such search.
    :raises ConfigurationInvalid: the search's index has no snapshot.
    """
    options.choice('search', name, config.searches, errors.SettingInvalid)
    search = config.searches[name]
    index_snapshots = config.indexes.get(search.index, ())
    if not index_snapshots:
        raise errors.ConfigurationInvalid(
            f'index {search.index!r} has no snapshot'
        )
    snapshot = max(index_snapshots, key=lambda s: s.number)
    uses = [
        _service_use(config, snapshot, service)
        for service in sorted(search.services)
    ]
    shards = snapshot.shards_of(search.services)
    covered_shards = [s for use in uses if use.usable for s in use.shards]
    documents = snapshots.union_length(shards)
    covered_documents = snapshots.union_length(covered_shards)
    return Explanation(
        search=name,
        index=search.index,
        snapshot=snapshot.number,
        documents=documents,
        expected_coverage=covered_documents / documents if documents else 1.0,
        services=tuple(use for use in uses if use.shards),
        unused=_unused_services(config, search, snapshot),
    )


def _service_use(
    config: configuration.Configuration,
    snapshot: snapshots.Snapshot,
    name: str,
) -> ServiceUse:
    service = config.services.get(name)
    searchers = () if service is None else service.searchers
    return ServiceUse(
        name,
        snapshot.shards_of((name,)),
        tuple(
            SearcherUse(
                searcher.name,
                searcher.data_centre,
                searcher.address,
                config.out_of_service_reason(searcher) or '',
            )
            for searcher in searchers
        ),
    )


def _unused_services(
    config: configuration.Configuration,
    search: configuration.Search,
    snapshot: snapshots.Snapshot,
) -> tuple[Unused, ...]:
    services_with_shards = {shard.service for shard in snapshot.shards}
    unused = []
    for name in sorted(config.services):
        if name not in search.services:
            unused.append(Unused(name, 'the search does not span it'))
        elif name not in services_with_shards:
            reason = f'it holds no shard of snapshot {snapshot.number}'
            unused.append(Unused(name, reason))
    return tuple(unused)
