"""corianderport_daemon.process.peer_calls

What a host serves to the other hosts.
"""

from corianderport_tier import errors
from corianderport_tier.process import action_service
from corianderport_tier.process import configuration_store
from corianderport_tier.process import handed_over
from corianderport_tier.process import heartbeats
from corianderport_tier.process import shutdown
from corianderport_tier.request import messages
from corianderport_tier.version import registrations

__all__ = ['PeerCalls']


class PeerCalls:
    """Passes the calls of other hosts to the parts that serve them."""

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        exchange: heartbeats.HeartbeatExchange,
        actions: action_service.ActionService,
        kept: handed_over.HandedOverTickets,
        gate: shutdown.RequestGate,
    ) -> None:
        self._store = store
        self._exchange = exchange
        self._actions = actions
        self._kept = kept
        self._gate = gate

    def act_with_ticket(
        self, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        """Serve an action whose ticket this host may know."""
        with self._gate.count():
            return self._actions.act_with_ticket(request)

    def hand_over(self, part: handed_over.HandOver) -> None:
        """Keep ticket outcomes of a host that stops."""
        self._kept.accept(part)

    def heartbeat(self, message: heartbeats.Heartbeat) -> heartbeats.Heartbeat:
        """Take a heartbeat and return the reply."""
        return self._exchange.receive(message)

    def registry_changes(
        self, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        """Refuse: this host reads no store of searchers."""
        raise errors.NotReady('no store is read')

    def document(self, known_version: int) -> tuple[int, bytes | None]:
        """Return the version in force, and its document when newer."""
        accepted = self._store.accepted()
        version = accepted.configuration.version
        newer = version > known_version
        return version, accepted.document if newer else None
