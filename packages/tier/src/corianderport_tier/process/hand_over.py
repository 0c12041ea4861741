"""corianderport_tier.process.hand_over

Hands over the ticket outcomes of a stopping host to its successors.
"""

import logging

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import action_service
from corianderport_tier.process import handed_over
from corianderport_tier.process import membership
from corianderport_tier.process import rendezvous
from corianderport_tier.process import ticket_table

__all__ = ['HandOverTask']

_LOG = logging.getLogger(__name__)

# One successor may fail or be replaced while this host is stopping, so two
# get the outcomes.
_COPIES = 2
_MAX_HOSTS_TRIED = 6
_TIMEOUT_S = 1.0


class HandOverTask:
    """Hands over the outcomes of this process and of its predecessors."""

    def __init__(
        self,
        table: ticket_table.TicketTable,
        handed_over_tickets: handed_over.HandedOverTickets,
        members: membership.Membership,
        dialer: action_service.Dialer,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._handed_over = handed_over_tickets
        self._members = members
        self._dialer = dialer
        self._clock = clock

    def run(self) -> int:
        """Send all outcomes; return the number of hosts that have them."""
        parts = [
            part
            for outcomes in (
                self._table.export(),
                *self._handed_over.export(),
            )
            for part in handed_over.split_into_parts(outcomes)
        ]
        own_name = self._members.own.name
        others = [m for m in self._members.live() if m.name != own_name]
        ranked = rendezvous.rank(self._table.incarnation, others)
        copies = 0
        for member in ranked[:_MAX_HOSTS_TRIED]:
            if copies == _COPIES:
                break
            copies += self._send(member, parts)
        return copies

    def _send(
        self, member: membership.Member, parts: list[handed_over.HandOver]
    ) -> bool:
        try:
            transport = self._dialer.dial(member, _TIMEOUT_S)
            try:
                for part in parts:
                    transport.hand_over(part, _TIMEOUT_S)
            finally:
                transport.close()
        except errors.CorianderportError as error:
            _LOG.warning(
                'cannot hand over ticket outcomes to %s: %s',
                member.name,
                error,
            )
            return False
        return True
