"""corianderport_tier.process.rendezvous

Orders hosts by rendezvous hashing, so that all hosts agree on the order.
"""

import collections.abc

import xxhash

from corianderport_tier.process import membership

__all__ = ['rank', 'weight']

_SEPARATOR = '\x00'


def weight(key: str, host: str) -> tuple[int, str]:
    """Return the weight of a host for a key; of two the greater is first."""
    text = f'{key}{_SEPARATOR}{host}'
    return (xxhash.xxh64_intdigest(text.encode()), host)


def rank(
    key: str, members: collections.abc.Iterable[membership.Member]
) -> list[membership.Member]:
    """Order hosts by their weight for a key, the greatest first.

    A host that joins or leaves changes the first host of few keys only.
    """
    return sorted(members, key=lambda m: weight(key, m.name), reverse=True)
