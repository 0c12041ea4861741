"""corianderport_tier.version.index_checks

Checks the snapshots of a configuration and the searches that use them.
"""

import collections
import collections.abc
import itertools

from corianderport_tier.version import configuration
from corianderport_tier.version import faults
from corianderport_tier.version import snapshots

__all__ = ['check_indexes', 'check_spans']

Faults = collections.abc.Iterator[faults.Fault]
_Number = faults.FaultNumber


def check_indexes(candidate: configuration.Configuration) -> Faults:
    """Check the order and the shard maps of the snapshots."""
    for index, published in candidate.indexes.items():
        for newer, older in itertools.pairwise(published):
            if newer.number <= older.number:
                yield faults.Fault(
                    _Number.SNAPSHOT_ORDER,
                    f'index {index}',
                    f'snapshot {newer.number} is before {older.number}; '
                    'list the newest first and each number once',
                )
        for snapshot in published:
            place = f'index {index}, snapshot {snapshot.number}'
            yield from _check_shards(candidate, place, snapshot)
            yield from _check_empty_ranges(place, snapshot)


def check_spans(candidate: configuration.Configuration) -> Faults:
    """Check that the services of each search hold shards.

    A service that holds shards in only some snapshots is a warning, not a
    fault, because this happens while data is repartitioned.
    """
    for search in candidate.searches.values():
        published = candidate.indexes.get(search.index, ())
        held_services = [{s.service for s in p.shards} for p in published]
        for service in sorted(set(search.services)):
            yield from _check_span(search, service, published, held_services)
        for snapshot in published:
            if not snapshot.shards_of(search.services):
                yield faults.Fault(
                    _Number.NO_SHARD,
                    f'search {search.name}',
                    f'its services hold no shard of snapshot '
                    f'{snapshot.number} of index {search.index}',
                )
        if not published and search.index in candidate.indexes:
            yield faults.Fault(
                _Number.NO_SHARD,
                f'search {search.name}',
                f'index {search.index} has no snapshot',
            )


def _check_span(
    search: configuration.Search,
    service: str,
    published: collections.abc.Sequence[snapshots.Snapshot],
    held_services: collections.abc.Sequence[collections.abc.Set[str]],
) -> Faults:
    missing = [
        snapshot.number
        for snapshot, services in zip(published, held_services)
        if service not in services
    ]
    if not missing:
        return
    place = f'search {search.name}'
    numbers = ', '.join(map(str, missing))
    if len(missing) == len(published):
        yield faults.Fault(
            _Number.NO_SHARD,
            place,
            f'service {service} holds no shard of index {search.index}',
        )
    else:
        yield faults.Fault(
            _Number.NOT_IN_EVERY_SNAPSHOT,
            place,
            f'service {service} holds no shard of snapshot {numbers} of '
            f'index {search.index}',
        )


def _check_shards(
    candidate: configuration.Configuration,
    place: str,
    snapshot: snapshots.Snapshot,
) -> Faults:
    counts = collections.Counter(shard.name for shard in snapshot.shards)
    for name, count in counts.items():
        if count > 1:
            yield faults.Fault(
                _Number.DUPLICATE_NAME,
                f'{place}, shard {name}',
                f'{count} shards have this name',
            )
    for shard in snapshot.shards:
        shard_place = f'{place}, shard {shard.name}'
        if shard.service not in candidate.services:
            yield faults.Fault(
                _Number.UNKNOWN_SERVICE,
                shard_place,
                f'unknown service {shard.service!r}',
            )
        if not 0 <= shard.begin <= shard.end:
            yield faults.Fault(
                _Number.SHARD_RANGE,
                shard_place,
                f'range {shard.begin} to {shard.end} is negative or reversed',
            )


def _check_empty_ranges(place: str, snapshot: snapshots.Snapshot) -> Faults:
    """Report empty ranges that lie strictly inside another range."""
    max_end = -1
    for shard in sorted(snapshot.shards, key=lambda s: (s.begin, s.end)):
        if shard.weight == 0 and shard.begin < max_end:
            yield faults.Fault(
                _Number.SHARD_WITHOUT_WEIGHT,
                f'{place}, shard {shard.name}',
                f'the empty range at {shard.begin} lies inside the range of '
                'another shard',
            )
        max_end = max(max_end, shard.end)
