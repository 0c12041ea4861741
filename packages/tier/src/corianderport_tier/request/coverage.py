"""corianderport_tier.request.coverage

Coverage of an answer, computed from the complete shard answers.
"""

import collections.abc

from corianderport_tier.request import messages
from corianderport_tier.version import snapshots

__all__ = ['complete_answers', 'measure']


def complete_answers(
    requested: collections.abc.Sequence[snapshots.Shard],
    answers: collections.abc.Iterable[messages.ShardAnswer],
) -> dict[str, messages.ShardAnswer]:
    """Return the first complete answer of each requested shard.

    Truncated answers, duplicates and shards outside the plan are ignored.
    """
    names = {shard.name for shard in requested}
    complete: dict[str, messages.ShardAnswer] = {}
    for answer in answers:
        if answer.complete and answer.shard in names:
            complete.setdefault(answer.shard, answer)
    return complete


def measure(
    requested: collections.abc.Sequence[snapshots.Shard],
    answered: collections.abc.Container[str],
) -> messages.Coverage:
    """Return the covered fraction of the union of all requested ranges.

    :param requested: the shards of the search in the pinned snapshot.
    :param answered: names of the shards with a complete answer.
    """
    covered = [shard for shard in requested if shard.name in answered]
    missing = tuple(s.name for s in requested if s.name not in answered)
    total = snapshots.union_length(requested)
    if total == 0:
        return messages.Coverage(0.0 if missing else 1.0, missing)
    fraction = snapshots.union_length(covered) / total
    return messages.Coverage(fraction, missing)
