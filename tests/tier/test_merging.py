"""Merged hits equal those of a single search over all documents."""

import random

import hypothesis
from hypothesis import strategies

from corianderport_tier.request import merging
from corianderport_tier.request import messages

_HITS = strategies.lists(
    strategies.builds(
        messages.Hit,
        document=strategies.integers(0, 30).map(str),
        score=strategies.sampled_from([0.0, 0.5, 1.0]),
        title=strategies.just('t'),
    ),
    max_size=40,
    unique_by=lambda hit: hit.document,
)


@hypothesis.given(
    hits=_HITS, shards=strategies.integers(1, 5), limit=strategies.integers(1)
)
def test_any_split_and_order_gives_the_same_hits(
    hits: list[messages.Hit], shards: int, limit: int
) -> None:
    """Guards against breaking ties by order of arrival.

    Hits with equal scores arrive from several shards in any order.
    """
    answers = [
        messages.ShardAnswer(str(n), True, tuple(hits[n::shards]))
        for n in range(shards)
    ]
    random.Random(1).shuffle(answers)
    expected = sorted(hits, key=lambda hit: (-hit.score, hit.document))[:limit]
    assert merging.top_hits(answers, limit) == tuple(expected)


def test_document_of_overlapping_shards_stands_once() -> None:
    """Guards against duplicate hits while data is repartitioned.

    Two overlapping shards both return the document.
    """
    hit = messages.Hit('d', 1.0, 't')
    answers = [messages.ShardAnswer(n, True, (hit,)) for n in 'ab']
    assert merging.top_hits(answers, 10) == (hit,)
