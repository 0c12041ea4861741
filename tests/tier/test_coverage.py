"""Coverage is computed from complete answers and the shard map."""

import pytest

from corianderport_tier.request import coverage
from corianderport_tier.request import messages
from corianderport_tier.version import snapshots

_SHARDS = (
    snapshots.Shard('a', 's', 0, 10),
    snapshots.Shard('b', 's', 10, 30),
    snapshots.Shard('c', 's', 20, 40),
    snapshots.Shard('empty', 's', 40, 40),
)


@pytest.mark.parametrize(
    ('answered', 'fraction', 'missing'),
    [
        ({'a', 'b', 'c', 'empty'}, 1.0, ()),
        (set(), 0.0, ('a', 'b', 'c', 'empty')),
        ({'a'}, 0.25, ('b', 'c', 'empty')),
        ({'b', 'c'}, 0.75, ('a', 'empty')),
        ({'a', 'b', 'c'}, 1.0, ('empty',)),
    ],
)
def test_overlaps_count_once(
    answered: set[str], fraction: float, missing: tuple[str, ...]
) -> None:
    """Guards against counting the overlap of two shards twice.

    Shards b and c share a range, so their lengths must not be added up.
    """
    measured = coverage.measure(_SHARDS, answered)
    assert measured == messages.Coverage(fraction, missing)


def test_only_complete_answers_of_the_plan_count() -> None:
    """Guards against counting answers that add no coverage.

    Such answers are truncated, repeat a shard or name a shard outside the
    plan.
    """
    hit = messages.Hit('d', 1.0, 't')
    answers = [
        messages.ShardAnswer('a', False, (hit,)),
        messages.ShardAnswer('b', True, (hit,)),
        messages.ShardAnswer('b', True, ()),
        messages.ShardAnswer('foreign', True, (hit,)),
    ]
    complete_answers = coverage.complete_answers(_SHARDS, answers)
    assert complete_answers == {'b': answers[1]}
