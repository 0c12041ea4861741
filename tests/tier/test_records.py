"""Merged records are the greatest of all parts, duplicates included."""

import hypothesis
from hypothesis import strategies

from corianderport_tier.request import records

_RECORD = strategies.binary(
    min_size=records.RECORD_BYTES, max_size=records.RECORD_BYTES
)
_PART = strategies.tuples(
    strategies.lists(_RECORD, max_size=8),
    strategies.binary(max_size=records.RECORD_BYTES - 1),
)


@hypothesis.given(
    strategies.lists(_PART, max_size=5), strategies.integers(0, 9)
)
def test_same_as_sorting_everything(
    parts: list[tuple[list[bytes], bytes]], count: int
) -> None:
    all_records = [
        record for part_records, _ in parts for record in part_records
    ]
    expected = b''.join(sorted(all_records, reverse=True)[:count])
    bodies = [b''.join(part_records) + rest for part_records, rest in parts]
    assert records.merge_greatest(bodies, count) == expected
