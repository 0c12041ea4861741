"""corianderport_tier.process.rendezvous

Rendezvous hashing of hosts; all hosts compute the same order.
"""

import collections.abc

import xxhash

from corianderport_tier.process import membership

__all__ = ['rank', 'weight']

_SEPARATOR = '\x00'


def weight(key: str, host: str) -> tuple[int, str]:
    """Return the weight of a host for a key; the highest ranks first."""
    text = f'{key}{_SEPARATOR}{host}'
    return (xxhash.xxh64_intdigest(text.encode()), host)


def rank(
    key: str, members: collections.abc.Iterable[membership.Member]
) -> list[membership.Member]:
    """Sort hosts by descending weight for a key.

    When a host joins or leaves, the first host changes for only a small
    fraction of the keys.
    """
    return sorted(members, key=lambda m: weight(key, m.name), reverse=True)
