"""corianderport_tier.process.routing

Finds the aggregators of a service's owners, in the order to try them.
"""

from corianderport_tier import errors
from corianderport_tier.process import aggregator
from corianderport_tier.process import configuration_store
from corianderport_tier.process import membership
from corianderport_tier.process import owners
from corianderport_tier.process import peers

__all__ = ['Router']

_OWNERS = 2


class Router:
    """Maps services to the hosts that own them at this moment."""

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        members: membership.Membership,
        local: aggregator.Aggregator,
        remote: peers.Peers,
    ) -> None:
        self._store = store
        self._members = members
        self._local = local
        self._remote = remote

    def owners(self, service: str) -> list[membership.Member]:
        """Return the first and the second owner of a service.

        :raises UnknownService: the configuration has no such service.
        """
        accepted = self._store.current()
        known = accepted.services.get(service)
        if known is None:
            raise errors.UnknownService(f'unknown service {service!r}')
        able = owners.candidates(accepted, known, self._members.live())
        return owners.rank(service, able)[:_OWNERS]

    def aggregator(self, member: membership.Member) -> aggregator.Aggregator:
        """Return the aggregator of a host."""
        if member.name == self._members.own.name:
            return self._local
        return self._remote.aggregator(member)
