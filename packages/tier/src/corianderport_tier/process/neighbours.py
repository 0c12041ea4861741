"""corianderport_tier.process.neighbours

Selects the hosts with which a host exchanges heartbeats.
"""

import collections.abc
import random

import xxhash

from corianderport_tier.process import membership

__all__ = ['RING_NEIGHBOURS', 'choose']

RING_NEIGHBOURS = 4
_RANDOM_NEIGHBOURS = 2


def choose(
    own_host: membership.Member,
    members: collections.abc.Sequence[membership.Member],
    region_of: membership.RegionOf,
    rng: random.Random,
) -> list[membership.Member]:
    """Return ring successors in the region plus random hosts.

    The number of hosts does not grow with the fleet. One random host is in
    another region, if there is one, so that membership updates cross
    regions.
    """
    region = region_of(own_host.data_centre)
    local: list[membership.Member] = []
    remote: list[membership.Member] = []
    for member in members:
        if member.name == own_host.name:
            continue
        in_region = region_of(member.data_centre) == region
        (local if in_region else remote).append(member)
    local.sort(key=_ring_position)
    start = sum(_ring_position(m) < _ring_position(own_host) for m in local)
    ring = (local[start:] + local[:start])[:RING_NEIGHBOURS]
    others = [m for m in local if m not in ring]
    chosen = rng.sample(remote, min(len(remote), _RANDOM_NEIGHBOURS // 2))
    count = min(len(others), _RANDOM_NEIGHBOURS - len(chosen))
    return [*ring, *chosen, *rng.sample(others, count)]


def _ring_position(member: membership.Member) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(member.name.encode()), member.name)
