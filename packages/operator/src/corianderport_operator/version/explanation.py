"""corianderport_operator.version.explanation

Explains which services, shards and searchers a search would touch.
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
    """A searcher; ``why_not`` is empty when it may get the search."""

    name: str
    data_centre: str
    address: str
    why_not: str


@attrs.frozen
class ServiceUse:
    """A service that the search asks, with its shards."""

    service: str
    shards: tuple[snapshots.Shard, ...]
    searchers: tuple[SearcherUse, ...]

    @property
    def usable(self) -> int:
        """Number of searchers that may get the search."""
        return sum(not searcher.why_not for searcher in self.searchers)


@attrs.frozen
class Unused:
    """A service that the search does not ask, and why."""

    service: str
    why_not: str


@attrs.frozen
class Explanation:
    """Where a search goes.

    ``snapshot`` is the newest one, which is used when the searchers hold
    it; ``documents`` is the weight that full coverage means.
    ``expected_coverage`` is the fraction of it that services with a usable
    searcher hold.
    """

    search: str
    index: str
    snapshot: int
    documents: int
    expected_coverage: float
    services: tuple[ServiceUse, ...]
    unused: tuple[Unused, ...]


def explain(described: configuration.Configuration, name: str) -> Explanation:
    """Return where a search goes.

    :raises SettingInvalid: there is no such search.
    :raises ConfigurationInvalid: the search's index has no snapshot.
    """
    options.choice('search', name, described.searches, errors.SettingInvalid)
    search = described.searches[name]
    published = described.indexes.get(search.index, ())
    if not published:
        raise errors.ConfigurationInvalid(
            f'index {search.index!r} has no snapshot'
        )
    snapshot = max(published, key=lambda s: s.number)
    uses = [
        _use(described, snapshot, service)
        for service in sorted(search.services)
    ]
    shards = snapshot.shards_of(search.services)
    reachable = [s for use in uses if use.usable for s in use.shards]
    documents = snapshots.union_length(shards)
    reached = snapshots.union_length(reachable)
    return Explanation(
        search=name,
        index=search.index,
        snapshot=snapshot.number,
        documents=documents,
        expected_coverage=reached / documents if documents else 1.0,
        services=tuple(use for use in uses if use.shards),
        unused=_unused(described, search, snapshot),
    )


def _use(
    described: configuration.Configuration,
    snapshot: snapshots.Snapshot,
    name: str,
) -> ServiceUse:
    service = described.services.get(name)
    searchers = () if service is None else service.searchers
    return ServiceUse(
        name,
        snapshot.shards_of((name,)),
        tuple(
            SearcherUse(
                searcher.name,
                searcher.data_centre,
                searcher.address,
                described.out_of_service_reason(searcher) or '',
            )
            for searcher in searchers
        ),
    )


def _unused(
    described: configuration.Configuration,
    search: configuration.Search,
    snapshot: snapshots.Snapshot,
) -> tuple[Unused, ...]:
    held = {shard.service for shard in snapshot.shards}
    unused = []
    for name in sorted(described.services):
        if name not in search.services:
            unused.append(Unused(name, 'the search does not span it'))
        elif name not in held:
            reason = f'it holds no shard of snapshot {snapshot.number}'
            unused.append(Unused(name, reason))
    return tuple(unused)
