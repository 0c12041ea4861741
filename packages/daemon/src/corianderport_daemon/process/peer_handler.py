"""corianderport_daemon.process.peer_handler

Serves the calls of other hosts to the daemon.
"""

from corianderport_tier import errors
from corianderport_tier.process import action_service
from corianderport_tier.process import configuration_store
from corianderport_tier.process import handed_over
from corianderport_tier.process import heartbeats
from corianderport_tier.process import quota_messages
from corianderport_tier.process import shutdown
from corianderport_tier.request import forward_messages
from corianderport_tier.request import gather_messages
from corianderport_tier.request import messages
from corianderport_tier.request import request_context
from corianderport_tier.version import registrations

__all__ = ['PeerHandler']

_NO_REGISTRY = 'this host reads no registry'
_NO_GATHERS = 'this host runs no gathers of other hosts'


class PeerHandler:
    """Passes the calls of other hosts to the components that serve them."""

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        exchange: heartbeats.HeartbeatExchange,
        actions: action_service.ActionService,
        received_outcomes: handed_over.HandedOverTickets,
        gate: shutdown.RequestGate,
    ) -> None:
        self._store = store
        self._exchange = exchange
        self._actions = actions
        self._received_outcomes = received_outcomes
        self._gate = gate

    def act_with_ticket(
        self, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        """Run an action whose ticket this host issued or took over."""
        with self._gate.count():
            return self._actions.act_with_ticket(request)

    def hand_over(self, part: handed_over.HandOver) -> None:
        """Store ticket outcomes of a host that is shutting down."""
        self._received_outcomes.accept(part)

    def heartbeat(self, message: heartbeats.Heartbeat) -> heartbeats.Heartbeat:
        """Process a heartbeat and return the reply."""
        return self._exchange.receive(message)

    def registry_changes(
        self, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        """Refuse, since this host does not read a registry of searchers."""
        raise errors.NotReady(_NO_REGISTRY)

    def registry_entries(self) -> registrations.StoredEntries:
        """Refuse, since this host does not read a registry of searchers."""
        raise errors.NotReady(_NO_REGISTRY)

    def quota(
        self, request: quota_messages.QuotaRequest
    ) -> quota_messages.QuotaGrant:
        """Refuse, since this host has no workspaces."""
        raise errors.NotOwner('this host grants no quotas')

    def gather_availability(self) -> gather_messages.GatherAvailability:
        """Refuse, since this host sends batches and not gathers."""
        raise errors.NotReady(_NO_GATHERS)

    def gather(
        self,
        call: gather_messages.GatherCall,
        caller: request_context.DisconnectWatch,
    ) -> forward_messages.ForwardAnswer | None:
        """Refuse, since this host sends batches and not gathers."""
        raise errors.NotReady(_NO_GATHERS)

    def document(self, known_version: int) -> tuple[int, bytes | None]:
        """Return the current version, and its document if it is newer."""
        accepted = self._store.accepted()
        version = accepted.configuration.version
        newer = version > known_version
        return version, accepted.document if newer else None
