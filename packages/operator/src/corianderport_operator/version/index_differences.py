"""corianderport_operator.version.index_differences

Describes the changes to the snapshots of each index.
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
    """Yield the changes to the snapshots and their shard maps."""
    for index in impact.all_names(old.indexes, new.indexes):
        affected = _searches_of_index(old, new, index)
        before = {s.number: s for s in old.indexes.get(index, ())}
        after = {s.number: s for s in new.indexes.get(index, ())}
        for number in sorted({*before, *after}):
            place = f'index {index}, snapshot {number}'
            if number not in before:
                yield impact.Change(
                    place, f'published: {_size_text(after[number])}', affected
                )
            elif number not in after:
                yield impact.Change(place, 'withdrawn', affected)
            else:
                yield from _compare_shards(
                    place, before[number], after[number], affected
                )


def _compare_shards(
    place: str,
    before: snapshots.Snapshot,
    after: snapshots.Snapshot,
    affected: tuple[str, ...],
) -> Changes:
    old = {shard.name: shard for shard in before.shards}
    new = {shard.name: shard for shard in after.shards}
    for name in impact.all_names(old, new):
        shard_place = f'{place}, shard {name}'
        if name not in old:
            text = f'added: {_shard_text(new[name])}'
        elif name not in new:
            text = f'removed: {_shard_text(old[name])}'
        elif old[name] != new[name]:
            text = f'{_shard_text(old[name])} becomes {_shard_text(new[name])}'
        else:
            continue
        yield impact.Change(shard_place, text, affected)


def _searches_of_index(
    old: configuration.Configuration,
    new: configuration.Configuration,
    index: str,
) -> tuple[str, ...]:
    names = {
        f'search {search.name}'
        for config in (old, new)
        for search in config.searches.values()
        if search.index == index
    }
    return tuple(sorted(names))


def _size_text(snapshot: snapshots.Snapshot) -> str:
    documents = snapshots.union_length(snapshot.shards)
    return f'{len(snapshot.shards)} shards, {documents} documents'


def _shard_text(shard: snapshots.Shard) -> str:
    return f'{shard.begin} to {shard.end} on {shard.service}'
