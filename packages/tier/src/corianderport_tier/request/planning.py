"""corianderport_tier.request.planning

Plans a search: the snapshot, the shards and the sub-query of each service.
"""

import collections.abc

import attrs

from corianderport_tier import errors
from corianderport_tier.request import messages
from corianderport_tier.version import configuration
from corianderport_tier.version import snapshots

__all__ = ['SearchPlan', 'choose_snapshot', 'plan_search']


@attrs.frozen
class SearchPlan:
    """What one search asks for; pinned for the whole request."""

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
    services: collections.abc.Collection[str],
    unavailable: collections.abc.Container[tuple[str, int]],
) -> snapshots.Snapshot:
    """Return the newest snapshot that every service is thought to hold.

    When no snapshot is held by all, the one held by most services is
    chosen, the newest of them first.

    :param published: snapshots of the index, newest first.
    :param unavailable: pairs of service and snapshot number that were
        reported gone.
    :raises NoUpstream: no snapshot is published.
    """
    if not published:
        raise errors.NoUpstream('the index has no snapshot')

    def missing(snapshot: snapshots.Snapshot) -> int:
        return sum((s, snapshot.number) in unavailable for s in services)

    return min(published, key=missing)


def plan_search(
    accepted: configuration.Configuration,
    request: messages.SearchRequest,
    unavailable: collections.abc.Container[tuple[str, int]] = (),
) -> SearchPlan:
    """Plan a search on one snapshot.

    :raises UnknownService: the configuration has no such search.
    :raises NoUpstream: the search's index has no snapshot.
    """
    search = accepted.searches.get(request.search)
    if search is None:
        raise errors.UnknownService(f'unknown search {request.search!r}')
    snapshot = choose_snapshot(
        accepted.indexes.get(search.index, ()), search.services, unavailable
    )
    return SearchPlan(search, snapshot, snapshot.shards_of(search.services))
