"""corianderport_tier.request.planning

Plans a search: snapshot, shards and the sub-query of each service.
"""

import collections.abc

import attrs

from corianderport_tier import errors
from corianderport_tier.process import snapshot_availability
from corianderport_tier.request import messages
from corianderport_tier.version import configuration
from corianderport_tier.version import snapshots

__all__ = ['SearchPlan', 'choose_snapshot', 'plan_search']

Gone = collections.abc.Set[snapshot_availability.ServiceSnapshot]


@attrs.frozen
class SearchPlan:
    """Snapshot and shards of one search."""

    search: configuration.Search
    snapshot: snapshots.Snapshot
    shards: tuple[snapshots.Shard, ...]

    def sub_queries(self) -> tuple[messages.SubQuery, ...]:
        """Return one sub-query for each service."""
        by_service: dict[str, list[str]] = {}
        for shard in self.shards:
            by_service.setdefault(shard.service, []).append(shard.name)
        return tuple(
            messages.SubQuery(service, tuple(names))
            for service, names in by_service.items()
        )


def choose_snapshot(
    published: collections.abc.Sequence[snapshots.Snapshot],
    search: configuration.Search,
    gone: Gone,
) -> snapshots.Snapshot:
    """Return the newest snapshot that no service has reported gone.

    If every snapshot was reported gone by some service, the snapshot
    reported by the fewest services is chosen, preferring newer ones.

    :param published: snapshots of the index in any order.
    :param gone: snapshots that searchers of a service no longer hold.
    :raises NoUpstream: the index has no published snapshot.
    """
    if not published:
        raise errors.NoUpstream(f'index {search.index!r} has no snapshot')

    def preference(snapshot: snapshots.Snapshot) -> tuple[int, int]:
        gone_count = sum(
            snapshot_availability.ServiceSnapshot(
                search.index, service, snapshot.number
            )
            in gone
            for service in search.services
        )
        return (gone_count, -snapshot.number)

    return min(published, key=preference)


def plan_search(
    accepted: configuration.Configuration,
    request: messages.SearchRequest,
    gone: Gone = frozenset(),
) -> SearchPlan:
    """Plan a search on a single snapshot.

    :raises UnknownService: the configuration has no such search.
    :raises NoUpstream: the index of the search has no snapshot.
    """
    search = accepted.searches.get(request.search)
    if search is None:
        raise errors.UnknownService(f'unknown search {request.search!r}')
    snapshot = choose_snapshot(
        accepted.indexes.get(search.index, ()), search, gone
    )
    return SearchPlan(search, snapshot, snapshot.shards_of(search.services))
