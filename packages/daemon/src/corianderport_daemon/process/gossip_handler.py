"""corianderport_daemon.process.gossip_handler

Serves the calls of other hosts to an entry host on the platform.
"""

import collections.abc

from corianderport_tier import errors
from corianderport_tier.process import handed_over
from corianderport_tier.process import heartbeats
from corianderport_tier.process import quota_messages
from corianderport_tier.process import registry_relay
from corianderport_tier.request import forward_messages
from corianderport_tier.request import gather_messages
from corianderport_tier.request import host_gathers
from corianderport_tier.request import messages
from corianderport_tier.request import request_context
from corianderport_tier.version import registrations

__all__ = ['GossipHandler', 'Grant']

Grant = collections.abc.Callable[
    [quota_messages.QuotaRequest], quota_messages.QuotaGrant
]

_NOT_SERVED = 'this host serves no tickets and no documents'


class GossipHandler:
    """Serves what entry hosts ask of each other; refuses other calls."""

    def __init__(
        self,
        exchange: heartbeats.HeartbeatExchange,
        relay: registry_relay.RegistryRelay,
        grant: Grant,
        gathers: host_gathers.HostGathers,
    ) -> None:
        self._exchange = exchange
        self._relay = relay
        self._grant = grant
        self._gathers = gathers

    def heartbeat(self, message: heartbeats.Heartbeat) -> heartbeats.Heartbeat:
        """Process a heartbeat and return the reply."""
        return self._exchange.receive(message)

    def registry_changes(
        self, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        """Wait for registry changes that this host has read."""
        return self._relay.registry_changes(after, wait_s)

    def registry_entries(self) -> registrations.StoredEntries:
        """Return all registry entries that this host knows."""
        return self._relay.registry_entries()

    def quota(
        self, request: quota_messages.QuotaRequest
    ) -> quota_messages.QuotaGrant:
        """Grant tokens of a quota of which this host owns a part."""
        return self._grant(request)

    def gather_availability(self) -> gather_messages.GatherAvailability:
        """Return whether this host takes a gather now."""
        return self._gathers.availability()

    def gather(
        self,
        call: gather_messages.GatherCall,
        caller: request_context.DisconnectWatch,
    ) -> forward_messages.ForwardAnswer | None:
        """Gather the parts of another host's request."""
        return self._gathers.gather(call, caller)

    def act_with_ticket(
        self, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        """Refuse the call."""
        raise errors.NotOwner(_NOT_SERVED)

    def hand_over(self, part: handed_over.HandOver) -> None:
        """Refuse the call."""
        raise errors.NotReady(_NOT_SERVED)

    def document(self, known_version: int) -> tuple[int, bytes | None]:
        """Refuse the call."""
        raise errors.NotReady(_NOT_SERVED)
