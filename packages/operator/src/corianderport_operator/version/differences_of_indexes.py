"""corianderport_operator.version.differences_of_indexes

Says in words how the snapshots of the indexes change.
"""

import collections.abc

from corianderport_operator.version import impact
from corianderport_tier.version import configuration
from corianderport_tier.version import snapshots

__all__ = ['compare_indexes']

Changes = collections.abc.Iterator[impact.Change]


def compare_indexes(
    old: configuration.Configuration, new: configuration.Configuration
) -> Changes:
    """Return the changes of the snapshots and their shard maps."""
    for index in impact.all_names(old.indexes, new.indexes):
        affected = _searches_of(old, new, index)
        before = {s.number: s for s in old.indexes.get(index, ())}
        after = {s.number: s for s in new.indexes.get(index, ())}
        for number in sorted({*before, *after}):
            place = f'index {index}, snapshot {number}'
            if number not in before:
                yield impact.Change(
                    place, f'published: {_size(after[number])}', affected
                )
            elif number not in after:
                yield impact.Change(place, 'withdrawn', affected)
            else:
                yield from _shards(
                    place, before[number], after[number], affected
                )


def _shards(
    place: str,
    before: snapshots.Snapshot,
    after: snapshots.Snapshot,
    affected: tuple[str, ...],
) -> Changes:
    old = {shard.name: shard for shard in before.shards}
    new = {shard.name: shard for shard in after.shards}
    for name in impact.all_names(old, new):
        here = f'{place}, shard {name}'
        if name not in old:
            text = f'added: {_range(new[name])}'
        elif name not in new:
            text = f'removed: {_range(old[name])}'
        elif old[name] != new[name]:
            text = f'{_range(old[name])} becomes {_range(new[name])}'
        else:
            continue
        yield impact.Change(here, text, affected)


def _searches_of(
    old: configuration.Configuration,
    new: configuration.Configuration,
    index: str,
) -> tuple[str, ...]:
    names = {
        f'search {search.name}'
        for version in (old, new)
        for search in version.searches.values()
        if search.index == index
    }
    return tuple(sorted(names))


def _size(snapshot: snapshots.Snapshot) -> str:
    documents = snapshots.union_length(snapshot.shards)
    return f'{len(snapshot.shards)} shards, {documents} documents'


def _range(shard: snapshots.Shard) -> str:
    return f'{shard.begin} to {shard.end} on {shard.service}'
