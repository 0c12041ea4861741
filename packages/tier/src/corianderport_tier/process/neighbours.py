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
    """Return ring successors plus random hosts.

    The number of hosts does not grow with the fleet. The ring consists of
    the hosts of the data centre, where messages are cheap, and continues in
    the region if there are too few. The random hosts are in any data centre,
    one of them in another region, if there is one, so that membership updates
    reach all of them.
    """
    region = region_of(own_host.data_centre)
    local: list[membership.Member] = []
    remote: list[membership.Member] = []
    for member in members:
        if member.name == own_host.name:
            continue
        in_region = region_of(member.data_centre) == region
        (local if in_region else remote).append(member)
    near = [m for m in local if m.data_centre == own_host.data_centre]
    far = [m for m in local if m.data_centre != own_host.data_centre]
    successors = [*_successors(own_host, near), *_successors(own_host, far)]
    ring = successors[:RING_NEIGHBOURS]
    others = [m for m in local if m not in ring]
    chosen = rng.sample(remote, min(len(remote), _RANDOM_NEIGHBOURS // 2))
    count = min(len(others), _RANDOM_NEIGHBOURS - len(chosen))
    return [*ring, *chosen, *rng.sample(others, count)]


def _successors(
    own_host: membership.Member, members: list[membership.Member]
) -> list[membership.Member]:
    """Return hosts in ring order, beginning after this host."""
    ordered = sorted(members, key=_ring_position)
    start = sum(_ring_position(m) < _ring_position(own_host) for m in ordered)
    return ordered[start:] + ordered[:start]


def _ring_position(member: membership.Member) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(member.name.encode()), member.name)
