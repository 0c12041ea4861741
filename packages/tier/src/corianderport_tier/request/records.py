"""corianderport_tier.request.records

Merges the records of several parts into the greatest ones.
"""

import collections.abc
import heapq

__all__ = ['RECORD_BYTES', 'merge_greatest']

RECORD_BYTES = 16


def merge_greatest(
    parts: collections.abc.Iterable[bytes], count: int
) -> bytes:
    """Return the greatest records of all parts, greatest first.

    Records are compared byte by byte and equal ones are all kept. A rest
    that is shorter than a record is no record.
    """
    records = (
        part[at : at + RECORD_BYTES]
        for part in parts
        for at in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b''.join(heapq.nlargest(count, records))
