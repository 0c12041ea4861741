"""corianderport_tier.process.action_service

Runs the actions of callers and forwards those with another host's ticket.
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

__all__ = ['ActionRunner', 'ActionService', 'Dialer']

_ISSUER_ATTEMPTS = 3
_MAX_SUCCESSORS = 8
_SUCCESSOR_TIMEOUT_S = 0.5

# After these errors of a called host, the ticket's outcome is unknown.
_NO_ANSWER_ERRORS = (
    errors.TransportError,
    errors.NotOwner,
    errors.Unauthenticated,
)

ActionRunner = collections.abc.Callable[
    [messages.ActionRequest], messages.ActionAnswer
]


class Dialer(typing.Protocol):
    """Opens a connection to a host for one call."""

    def dial(
        self, member: membership.Member, timeout_s: float
    ) -> transports.PeerTransport:
        """Return an open connection.

        :raises ConnectFailed: no connection within the timeout.
        """


class ActionService:
    """Runs actions here or at the host that issued the action's ticket.

    An action without a ticket runs on this host.

    :param run: sends an action to a searcher; called only for actions that
        this host is allowed to start.
    """

    def __init__(
        self,
        table: ticket_table.TicketTable,
        handed_over_tickets: handed_over.HandedOverTickets,
        signer: tickets.TicketSigner,
        members: membership.Membership,
        dialer: Dialer,
        run: ActionRunner,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._handed_over = handed_over_tickets
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
        :raises OutcomeUnknown: the action may have run or may still run.
        """
        if request.ticket is None:
            return self._run(request)
        ticket = self._signer.verify(request.ticket)
        if self._table.has_issued(ticket):
            return self._run_once(ticket, request)
        answer = self._handed_over_answer(ticket, request)
        if answer is not None:
            return answer
        return self._forward(ticket, request)

    def act_with_ticket(
        self, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        """Serve an action that another host forwards, without forwarding it.

        :raises NotOwner: this host has no record of the ticket.
        """
        if request.ticket is None:
            raise errors.TicketInvalid('the request has no ticket')
        try:
            ticket = self._signer.verify(request.ticket)
        except errors.TicketInvalid as error:
            # The forwarding host has verified the ticket, perhaps with a
            # newer key than this host has.
            raise errors.NotOwner(str(error)) from error
        if self._table.has_issued(ticket):
            return self._run_once(ticket, request)
        answer = self._handed_over_answer(ticket, request)
        if answer is None:
            raise errors.NotOwner('another process issued the ticket')
        return answer

    def _run_once(
        self, ticket: tickets.Ticket, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        expiry = deadlines.Deadline.after(
            self._clock, self._table.remaining_s(ticket)
        )
        limited_request = attrs.evolve(
            request, deadline=min(request.deadline, expiry)
        )

        def run() -> messages.ActionAnswer:
            if self._table.remaining_s(ticket) <= 0:
                raise errors.TicketExpired('the ticket has expired unused')
            return self._run(limited_request)

        return self._table.run_once(ticket, request, run)

    def _handed_over_answer(
        self, ticket: tickets.Ticket, request: messages.ActionRequest
    ) -> messages.ActionAnswer | None:
        return self._handed_over.answer(
            ticket, request.request_id, ticket_table.action_digest(request)
        )

    def _forward(
        self, ticket: tickets.Ticket, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        answer = self._forward_to_issuer(ticket, request)
        if answer is None:
            answer = self._query_successors(ticket, request)
        if answer is None:
            raise errors.OutcomeUnknown(
                'no host could state the outcome of the ticket'
            )
        return answer

    def _forward_to_issuer(
        self, ticket: tickets.Ticket, request: messages.ActionRequest
    ) -> messages.ActionAnswer | None:
        issuers = [m for m in self._members.members() if m.name == ticket.host]
        if not issuers:
            return None
        for _ in range(_ISSUER_ATTEMPTS):
            try:
                return self._call_host(issuers[0], request, request.deadline)
            except errors.ConnectionBroken:
                # The issuer recognizes a repeated ticket and does not run
                # the action again.
                continue
            except _NO_ANSWER_ERRORS:
                return None
        return None

    def _query_successors(
        self, ticket: tickets.Ticket, request: messages.ActionRequest
    ) -> messages.ActionAnswer | None:
        others = [
            m
            for m in self._members.live()
            if m.name not in (ticket.host, self._members.own.name)
        ]
        for member in rendezvous.rank(ticket.incarnation, others)[
            :_MAX_SUCCESSORS
        ]:
            deadline = min(
                request.deadline,
                deadlines.Deadline.after(self._clock, _SUCCESSOR_TIMEOUT_S),
            )
            try:
                return self._call_host(member, request, deadline)
            except _NO_ANSWER_ERRORS:
                continue
        return None

    def _call_host(
        self,
        member: membership.Member,
        request: messages.ActionRequest,
        deadline: deadlines.Deadline,
    ) -> messages.ActionAnswer:
        transport = self._dialer.dial(member, deadline.remaining(self._clock))
        try:
            timeout_s = deadline.remaining(self._clock)
            if timeout_s <= 0:
                raise errors.ConnectionSilent(
                    'no time left for the call after connecting'
                )
            answer = transport.act_with_ticket(request, timeout_s)
        finally:
            transport.close()
        if answer.request_id != request.request_id:
            raise errors.ConnectionBroken('the answer is for another request')
        return answer
