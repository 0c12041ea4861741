"""corianderport_daemon.process.gossip_calls

What an entry host that sends to searchers itself serves to other hosts.
"""

from corianderport_tier import errors
from corianderport_tier.process import handed_over
from corianderport_tier.process import heartbeats
from corianderport_tier.request import messages

__all__ = ['GossipCalls']

_NOT_SERVED = 'this host serves heartbeats only'


class GossipCalls:
    """Serves heartbeats and refuses all other calls."""

    def __init__(self, exchange: heartbeats.HeartbeatExchange) -> None:
        self._exchange = exchange

    def heartbeat(self, message: heartbeats.Heartbeat) -> heartbeats.Heartbeat:
        """Take a heartbeat and return the reply."""
        return self._exchange.receive(message)

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
