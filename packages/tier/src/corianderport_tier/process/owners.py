"""corianderport_tier.process.owners

Chooses the owners of a service by rendezvous hashing.
"""

import collections.abc

import xxhash

from corianderport_tier.process import membership
from corianderport_tier.version import configuration

__all__ = ['candidates', 'rank']

_SEPARATOR = '\x00'


def candidates(
    accepted: configuration.Configuration,
    service: configuration.Service,
    members: collections.abc.Iterable[membership.Member],
) -> list[membership.Member]:
    """Return the hosts of the service's region that may own it."""
    centres = accepted.data_centres
    return [
        member
        for member in members
        if member.data_centre in centres
        and centres[member.data_centre].in_service
        and centres[member.data_centre].region == service.region
    ]


def rank(
    service: str, members: collections.abc.Iterable[membership.Member]
) -> list[membership.Member]:
    """Order hosts by their rendezvous weight, the first owner first.

    A host that joins or leaves moves only the services that it owns.
    """

    def weight(member: membership.Member) -> tuple[int, str]:
        key = f'{service}{_SEPARATOR}{member.name}'.encode()
        return (xxhash.xxh64_intdigest(key), member.name)

    return sorted(members, key=weight, reverse=True)
