"""corianderport_tier.process.action_service

Actions of callers: tickets, forwarding and the first run.
"""

import collections.abc
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import handed_over
from corianderport_tier.process import membership
from corianderport_tier.process import rendezvous
from corianderport_tier.process import ticket_table
from corianderport_tier.process import tickets
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages

__all__ = ['ActionService', 'Dialer', 'Run']

_ISSUER_TRIES = 3
_HOSTS_ASKED = 8
_ASK_TIMEOUT_S = 0.5

# The host does not know what became of the ticket.
_NOT_ASKED = (errors.TransportError, errors.NotOwner, errors.Unauthenticated)

Run = collections.abc.Callable[[messages.ActionRequest], messages.ActionAnswer]


class Dialer(typing.Protocol):
    """Opens a connection to a host for one call."""

    def dial(
        self, member: membership.Member, timeout_s: float
    ) -> transports.PeerTransport:
        """Open a connection.

        :raises ConnectFailed: no connection within the timeout.
        """


class ActionService:
    """Runs actions without a ticket at once, the others at their issuer.

    :param run: runs an action that this host may start.
    """

    def __init__(
        self,
        table: ticket_table.TicketTable,
        kept: handed_over.HandedOverTickets,
        signer: tickets.TicketSigner,
        members: membership.Membership,
        dialer: Dialer,
        run: Run,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._kept = kept
        self._signer = signer
        self._members = members
        self._dialer = dialer
        self._run = run
        self._clock = clock

    def issue_ticket(self) -> ticket_table.IssuedTicket:
        """Return a ticket for one action."""
        return self._table.issue()

    def act(self, request: messages.ActionRequest) -> messages.ActionAnswer:
        """Serve the action of a caller.

        :raises Refusal: the action did not run and will not run.
        :raises OutcomeUnknown: it may run, have run, or never run.
        """
        if request.ticket is None:
            return self._run(request)
        ticket = self._signer.verify(request.ticket)
        if self._table.has_issued(ticket):
            return self._run_once(ticket, request)
        known = self._kept_answer(ticket, request)
        if known is not None:
            return known
        return self._forward(ticket, request)

    def act_with_ticket(
        self, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        """Serve an action that another host forwards; never forward again.

        :raises NotOwner: this host knows nothing of the ticket.
        """
        if request.ticket is None:
            raise errors.TicketInvalid('the ticket is missing')
        try:
            ticket = self._signer.verify(request.ticket)
        except errors.TicketInvalid as error:
            # The other host has verified it, perhaps with a newer key.
            raise errors.NotOwner(str(error)) from error
        if self._table.has_issued(ticket):
            return self._run_once(ticket, request)
        known = self._kept_answer(ticket, request)
        if known is None:
            raise errors.NotOwner('the ticket is of another process')
        return known

    def _run_once(
        self, ticket: tickets.Ticket, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        expiry = deadlines.Deadline.after(
            self._clock, self._table.remaining_s(ticket)
        )
        limited = attrs.evolve(request, deadline=min(request.deadline, expiry))

        def run() -> messages.ActionAnswer:
            if self._table.remaining_s(ticket) <= 0:
                raise errors.TicketExpired('the ticket has expired unused')
            return self._run(limited)

        return self._table.run_once(ticket, request, run)

    def _kept_answer(
        self, ticket: tickets.Ticket, request: messages.ActionRequest
    ) -> messages.ActionAnswer | None:
        return self._kept.answer(
            ticket, request.request_id, ticket_table.digest(request)
        )

    def _forward(
        self, ticket: tickets.Ticket, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        answer = self._ask_issuer(ticket, request)
        if answer is None:
            answer = self._ask_successors(ticket, request)
        if answer is None:
            raise errors.OutcomeUnknown('the issuing process is not reached')
        return answer

    def _ask_issuer(
        self, ticket: tickets.Ticket, request: messages.ActionRequest
    ) -> messages.ActionAnswer | None:
        found = [m for m in self._members.members() if m.name == ticket.host]
        if not found:
            return None
        for _ in range(_ISSUER_TRIES):
            try:
                return self._ask(found[0], request, request.deadline)
            except errors.ConnectionBroken:
                # The ticket lets the issuer recognize the repeat.
                continue
            except _NOT_ASKED:
                return None
        return None

    def _ask_successors(
        self, ticket: tickets.Ticket, request: messages.ActionRequest
    ) -> messages.ActionAnswer | None:
        others = [
            m
            for m in self._members.live()
            if m.name not in (ticket.host, self._members.own.name)
        ]
        for member in rendezvous.rank(ticket.incarnation, others)[
            :_HOSTS_ASKED
        ]:
            until = min(
                request.deadline,
                deadlines.Deadline.after(self._clock, _ASK_TIMEOUT_S),
            )
            try:
                return self._ask(member, request, until)
            except _NOT_ASKED:
                continue
        return None

    def _ask(
        self,
        member: membership.Member,
        request: messages.ActionRequest,
        until: deadlines.Deadline,
    ) -> messages.ActionAnswer:
        transport = self._dialer.dial(member, until.remaining(self._clock))
        try:
            timeout_s = until.remaining(self._clock)
            if timeout_s <= 0:
                raise errors.ConnectionSilent('no time left to ask')
            answer = transport.act_with_ticket(request, timeout_s)
        finally:
            transport.close()
        if answer.request_id != request.request_id:
            raise errors.ConnectionBroken('answer belongs to another request')
        return answer
