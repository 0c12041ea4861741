"""corianderport_tier.request.records

Merges the records of several parts into the greatest ones.
"""

import collections.abc
import itertools
import struct

__all__ = ['RECORD_BYTES', 'merge_greatest']

RECORD_BYTES = 16

_RECORD = struct.Struct(f'{RECORD_BYTES}s')


def merge_greatest(
    parts: collections.abc.Iterable[bytes], count: int
) -> bytes:
    """Return the greatest records of all parts, greatest first.

    Records are compared byte by byte and equal ones are all kept. A rest
    that is shorter than a record is no record.
    """
    unpacked = (
        _RECORD.iter_unpack(part[: len(part) // RECORD_BYTES * RECORD_BYTES])
        for part in parts
    )
    # Sorting all takes less time than a heap of the greatest, whose
    # comparisons are made by the interpreter.
    flat = itertools.chain.from_iterable
    ordered = sorted(flat(flat(unpacked)), reverse=True)
    return b''.join(ordered[:count])
