"""corianderport_tier.version.snapshots

Snapshots of an index and their shard maps.
"""

import collections.abc

import attrs

__all__ = ['Shard', 'Snapshot', 'union_length']


@attrs.frozen
class Shard:
    """A half-open range of document ordinals, held by one service."""

    name: str
    service: str
    begin: int
    end: int

    @property
    def weight(self) -> int:
        """Number of document ordinals in the range."""
        return self.end - self.begin


@attrs.frozen
class Snapshot:
    """One version of an index, with its shard map."""

    number: int
    shards: tuple[Shard, ...]

    def shards_of(
        self, services: collections.abc.Collection[str]
    ) -> tuple[Shard, ...]:
        """Return the shards held by the services, in map order."""
        return tuple(s for s in self.shards if s.service in services)


def union_length(shards: collections.abc.Iterable[Shard]) -> int:
    """Return the number of ordinals covered by at least one shard."""
    length = 0
    covered_until: int | None = None
    for shard in sorted(shards, key=lambda s: (s.begin, s.end)):
        begin = (
            shard.begin
            if covered_until is None
            else max(shard.begin, covered_until)
        )
        length += max(0, shard.end - begin)
        covered_until = (
            shard.end
            if covered_until is None
            else max(covered_until, shard.end)
        )
    return length
