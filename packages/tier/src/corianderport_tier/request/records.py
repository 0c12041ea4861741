"""corianderport_tier.request.records

Merges the fixed-size records of several parts.
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
    """Return the ``count`` greatest records in descending order.

    Records are compared bytewise and duplicates are kept. A trailing
    partial record is ignored.
    """
    unpacked = (
        _RECORD.iter_unpack(part[: len(part) // RECORD_BYTES * RECORD_BYTES])
        for part in parts
    )
    # A full sort is faster than a bounded heap, whose comparisons run in
    # the interpreter.
    flatten = itertools.chain.from_iterable
    ordered = sorted(flatten(flatten(unpacked)), reverse=True)
    return b''.join(ordered[:count])
