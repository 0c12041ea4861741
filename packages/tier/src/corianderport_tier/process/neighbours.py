"""corianderport_tier.process.neighbours

Chooses the hosts that a host exchanges heartbeats with.
"""

import collections.abc
import random

import xxhash

from corianderport_tier.process import membership

__all__ = ['RING_NEIGHBOURS', 'choose']

RING_NEIGHBOURS = 4
_RANDOM = 2


def choose(
    own: membership.Member,
    members: collections.abc.Sequence[membership.Member],
    region_of: membership.RegionOf,
    rng: random.Random,
) -> list[membership.Member]:
    """Return the next hosts on the region's ring and a few random ones.

    The number does not depend on the number of members. One of the random
    hosts is of another region when there is one, so that regions hear of
    each other.
    """
    region = region_of(own.data_centre)
    near: list[membership.Member] = []
    far: list[membership.Member] = []
    for member in members:
        if member.name == own.name:
            continue
        same = region_of(member.data_centre) == region
        (near if same else far).append(member)
    near.sort(key=_position)
    start = sum(_position(m) < _position(own) for m in near)
    ring = (near[start:] + near[:start])[:RING_NEIGHBOURS]
    rest = [m for m in near if m not in ring]
    chosen = rng.sample(far, min(len(far), _RANDOM // 2))
    count = min(len(rest), _RANDOM - len(chosen))
    return [*ring, *chosen, *rng.sample(rest, count)]


def _position(member: membership.Member) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(member.name.encode()), member.name)
