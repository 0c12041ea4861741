"""corianderport_daemon.process.gossip_calls

What an entry host on the platform serves to other hosts.
"""

from corianderport_tier import errors
from corianderport_tier.process import handed_over
from corianderport_tier.process import heartbeats
from corianderport_tier.process import registry_relay
from corianderport_tier.request import messages
from corianderport_tier.version import registrations

__all__ = ['GossipCalls']

_NOT_SERVED = 'this host serves no tickets and no documents'


class GossipCalls:
    """Serves heartbeats and changes of the store, and refuses the rest."""

    def __init__(
        self,
        exchange: heartbeats.HeartbeatExchange,
        relay: registry_relay.RegistryRelay,
    ) -> None:
        self._exchange = exchange
        self._relay = relay

    def heartbeat(self, message: heartbeats.Heartbeat) -> heartbeats.Heartbeat:
        """Take a heartbeat and return the reply."""
        return self._exchange.receive(message)

    def registry_changes(
        self, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        """Return changes that this host has read from the store."""
        return self._relay.registry_changes(after, wait_s)

    def act_with_ticket(
        self, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        """Refuse the action."""
        raise errors.NotOwner(_NOT_SERVED)

    def hand_over(self, part: handed_over.HandOver) -> None:
        """Refuse the outcomes."""
        raise errors.NotReady(_NOT_SERVED)

    def document(self, known_version: int) -> tuple[int, bytes | None]:
        """Refuse the document."""
        raise errors.NotReady(_NOT_SERVED)
