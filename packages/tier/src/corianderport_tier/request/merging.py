"""corianderport_tier.request.merging

Merges the hits of several shards into one ranked list.
"""

import collections.abc
import heapq

from corianderport_tier.request import messages

__all__ = ['top_hits']


def _order(hit: messages.Hit) -> tuple[float, str]:
    return (-hit.score, hit.document)


def top_hits(
    answers: collections.abc.Iterable[messages.ShardAnswer], limit: int
) -> tuple[messages.Hit, ...]:
    """Return the top hits, ordered by score, then by document name.

    A document returned by several overlapping shards is kept once.
    """
    best: dict[str, messages.Hit] = {}
    for answer in answers:
        for hit in answer.hits:
            current = best.get(hit.document)
            if current is None or _order(hit) < _order(current):
                best[hit.document] = hit
    return tuple(heapq.nsmallest(limit, best.values(), key=_order))
