"""corianderport_tier.process.ticket_table

Tickets issued by this process and the outcomes of their actions.
"""

import collections
import collections.abc
import hashlib
import heapq
import secrets
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import handed_over
from corianderport_tier.process import tickets
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier import result_codes

__all__ = ['IssuedTicket', 'TicketLimits', 'TicketTable', 'action_digest']

_NONCE_BYTES = 16

RunAction = collections.abc.Callable[[], messages.ActionAnswer]


@attrs.frozen
class TicketLimits:
    """Limits of the table, in milliseconds and tickets.

    ``unexpired`` is the maximum number of issued tickets that have not
    expired. An outcome is kept for ``retention_ms`` after its ticket expires.
    """

    lifetime_ms: int = 60_000
    retention_ms: int = 60_000
    unexpired: int = 20_000


@attrs.frozen
class IssuedTicket:
    """The text of a new ticket and its lifetime."""

    text: str
    expires_in_ms: int


@attrs.define(eq=False)
class _UsedTicket:
    """A used ticket and the answer of its action; None while it runs."""

    digest: str
    expires_ms: int
    answer: messages.ActionAnswer | None = None


def action_digest(request: messages.ActionRequest) -> str:
    """Return a hash of the action to which the first use binds a ticket."""
    text = f'{len(request.action)}:{request.action}{request.payload}'
    return hashlib.sha256(text.encode('utf-8', 'surrogatepass')).hexdigest()


class TicketTable:
    """Starts the action of each ticket at most once.

    A used ticket stays in the table until its retention ends. The table
    keeps the latest expiry of all tickets removed so far; a ticket that is
    absent and expires later than that has not been used.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        signer: tickets.TicketSigner,
        limits: TicketLimits,
        clock: clocks.Clock,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._signer = signer
        self._limits = limits
        self._clock = clock
        self._condition = threading.Condition()
        self._entries: dict[str, _UsedTicket] = {}
        self._by_expiry: list[tuple[int, str]] = []
        self._unexpired: collections.deque[int] = collections.deque()
        self._latest_ms = 0
        self._forgotten_until_ms = 0
        self._sealed = False

    @property
    def incarnation(self) -> str:
        """Incarnation of this process."""
        return self._incarnation

    @property
    def size(self) -> int:
        """Number of used tickets in the table."""
        return len(self._entries)

    def has_issued(self, ticket: tickets.Ticket) -> bool:
        """Whether this process issued the ticket."""
        return (ticket.host, ticket.incarnation) == (
            self._host,
            self._incarnation,
        )

    def issue(self) -> IssuedTicket:
        """Issue a new ticket.

        :raises NotReady: the table is sealed.
        :raises Overloaded: too many tickets are unexpired.
        """
        with self._condition:
            now_ms = self._now_ms()
            self._drop_expired(now_ms)
            if self._sealed:
                raise errors.NotReady('the host is shutting down')
            if len(self._unexpired) >= self._limits.unexpired:
                raise errors.Overloaded('too many unexpired tickets')
            expires_ms = now_ms + self._limits.lifetime_ms
            self._unexpired.append(expires_ms)
        ticket = tickets.Ticket(
            self._host,
            self._incarnation,
            expires_ms,
            secrets.token_hex(_NONCE_BYTES),
        )
        return IssuedTicket(
            self._signer.sign(ticket), self._limits.lifetime_ms
        )

    def remaining_s(self, ticket: tickets.Ticket) -> float:
        """Return the seconds until a ticket expires; 0 if it has expired."""
        with self._condition:
            return max(0.0, (ticket.expires_ms - self._now_ms()) / 1e3)

    def run_once(
        self,
        ticket: tickets.Ticket,
        request: messages.ActionRequest,
        run_action: RunAction,
    ) -> messages.ActionAnswer:
        """Run the action on the first use of the ticket.

        Later uses wait for the outcome of the first until their own
        deadline. Every outcome is final, even a refusal; a retry needs a new
        ticket.

        :raises TicketInvalid: the ticket was used for another action.
        :raises TicketExpired: the ticket expired before its first use.
        :raises NotReady: the table was sealed before the first use.
        :raises OutcomeUnknown: there is no outcome by the deadline.
        """
        request_digest = action_digest(request)
        with self._condition:
            now_ms = self._now_ms()
            self._drop_expired(now_ms)
            entry = self._entries.get(ticket.nonce)
            is_first_use = entry is None
            if entry is None:
                self._check_unused(ticket, now_ms)
                entry = _UsedTicket(request_digest, ticket.expires_ms)
                self._entries[ticket.nonce] = entry
                heapq.heappush(
                    self._by_expiry, (ticket.expires_ms, ticket.nonce)
                )
        if is_first_use:
            return self._run_first(entry, request, run_action)
        if entry.digest != request_digest:
            raise errors.TicketInvalid(
                'the ticket was used for another action'
            )
        return self._wait_for_answer(entry, request)

    def seal(self) -> None:
        """Refuse new actions; outcomes of earlier ones can still be read."""
        with self._condition:
            self._sealed = True

    def export(self) -> handed_over.ProcessOutcomes:
        """Return the outcomes of all used tickets, for a successor.

        :raises NotReady: the table is not sealed.
        """
        with self._condition:
            if not self._sealed:
                raise errors.NotReady('the ticket table is not sealed')
            now_ms = self._now_ms()
            self._drop_expired(now_ms)
            outcomes = tuple(
                handed_over.TicketOutcome(nonce, e.digest, _final_answer(e))
                for nonce, e in self._entries.items()
            )
            last_expiry_ms = max(
                [*self._unexpired, *(e for e, _ in self._by_expiry)],
                default=0,
            )
            return handed_over.ProcessOutcomes(
                host=self._host,
                incarnation=self._incarnation,
                forgotten_until_ms=self._forgotten_until_ms,
                keep_until=deadlines.Deadline.after(
                    self._clock,
                    max(0, last_expiry_ms + self._limits.retention_ms - now_ms)
                    / 1e3,
                ),
                outcomes={o.nonce: o for o in outcomes},
            )

    def _now_ms(self) -> int:
        # If the wall clock is set back, expired tickets must not become valid.
        self._latest_ms = max(self._latest_ms, int(self._clock.time() * 1e3))
        return self._latest_ms

    def _drop_expired(self, now_ms: int) -> None:
        while self._unexpired and self._unexpired[0] <= now_ms:
            self._unexpired.popleft()
        while self._by_expiry:
            expires_ms, nonce = self._by_expiry[0]
            if expires_ms + self._limits.retention_ms > now_ms:
                break
            if self._entries[nonce].answer is None:
                break
            heapq.heappop(self._by_expiry)
            del self._entries[nonce]
            self._forgotten_until_ms = max(
                self._forgotten_until_ms, expires_ms
            )

    def _check_unused(self, ticket: tickets.Ticket, now_ms: int) -> None:
        if ticket.expires_ms <= self._forgotten_until_ms:
            raise errors.OutcomeUnknown('the outcome is no longer retained')
        if self._sealed:
            raise errors.NotReady('the host is shutting down')
        if ticket.expires_ms <= now_ms:
            raise errors.TicketExpired(
                'the ticket expired before its first use'
            )

    def _run_first(
        self,
        entry: _UsedTicket,
        request: messages.ActionRequest,
        run_action: RunAction,
    ) -> messages.ActionAnswer:
        answer = messages.ActionAnswer(
            result_codes.ResultCode.OUTCOME_UNKNOWN,
            request.request_id,
            '',
            'the action ended without an outcome',
        )
        try:
            answer = run_action()
        except errors.CorianderportError as error:
            answer = messages.ActionAnswer(
                error.code, request.request_id, '', str(error)
            )
        finally:
            with self._condition:
                entry.answer = answer
                self._condition.notify_all()
        return answer

    def _wait_for_answer(
        self, entry: _UsedTicket, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        with self._condition:
            while entry.answer is None:
                remaining = request.deadline.remaining(self._clock)
                if remaining <= 0:
                    raise errors.OutcomeUnknown('the action is still running')
                self._clock.wait(self._condition, remaining)
            return attrs.evolve(entry.answer, request_id=request.request_id)


def _final_answer(entry: _UsedTicket) -> messages.ActionAnswer:
    if entry.answer is not None:
        return entry.answer
    return messages.ActionAnswer(
        result_codes.ResultCode.OUTCOME_UNKNOWN,
        '',
        '',
        'the issuing host stopped while the action was running',
    )
