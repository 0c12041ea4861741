"""corianderport_tier.process.routing

Finds the aggregators of a service's owners, in the order to try them.
"""

from corianderport_tier.process import aggregator
from corianderport_tier.process import membership
from corianderport_tier.process import ownership
from corianderport_tier.process import peers

__all__ = ['Router']


class Router:
    """Maps services to the hosts that own them at this moment."""

    def __init__(
        self,
        table: ownership.OwnershipTable,
        members: membership.Membership,
        local: aggregator.Aggregator,
        remote: peers.Peers,
    ) -> None:
        self._table = table
        self._members = members
        self._local = local
        self._remote = remote

    def owners(self, service: str) -> list[membership.Member]:
        """Return the first and the second owner of a service.

        :raises UnknownService: the configuration has no such service.
        """
        return list(self._table.owners(service))

    def aggregator(self, member: membership.Member) -> aggregator.Aggregator:
        """Return the aggregator of a host."""
        if member.name == self._members.own.name:
            return self._local
        return self._remote.aggregator(member)
