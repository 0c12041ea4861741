"""corianderport_tier.process.handed_over

Stores the ticket outcomes of stopped processes at their successors.
"""

import collections.abc
import secrets
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import tickets
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages

__all__ = [
    'HandOver',
    'HandedOverTickets',
    'ProcessOutcomes',
    'TicketOutcome',
    'split_into_parts',
]

_OUTCOMES_PER_PART = 500
_MAX_PROCESSES = 64
_MAX_OUTCOMES = 100_000


@attrs.frozen
class TicketOutcome:
    """The outcome of the action that was started with a ticket.

    ``digest`` is a hash of the action and its payload.
    """

    nonce: str
    digest: str
    answer: messages.ActionAnswer


@attrs.frozen
class ProcessOutcomes:
    """Outcomes of all used tickets of a process that starts no more actions.

    Tickets that expire at or before ``forgotten_until_ms`` may have been
    used and then deleted.
    """

    host: str
    incarnation: str
    forgotten_until_ms: int
    keep_until: deadlines.Deadline
    outcomes: collections.abc.Mapping[str, TicketOutcome]


@attrs.frozen
class HandOver:
    """One part of a process's outcomes, small enough for one message.

    Parts with different ``series`` come from different splits and cannot
    be combined.
    """

    host: str
    incarnation: str
    series: str
    part: int
    parts: int
    forgotten_until_ms: int
    keep_until: deadlines.Deadline
    outcomes: tuple[TicketOutcome, ...]


def split_into_parts(
    process_outcomes: ProcessOutcomes,
) -> tuple[HandOver, ...]:
    """Split the outcomes into one or more messages."""
    outcomes = tuple(process_outcomes.outcomes.values())
    series = secrets.token_hex(8)
    starts = range(0, max(1, len(outcomes)), _OUTCOMES_PER_PART)
    return tuple(
        HandOver(
            host=process_outcomes.host,
            incarnation=process_outcomes.incarnation,
            series=series,
            part=number,
            parts=len(starts),
            forgotten_until_ms=process_outcomes.forgotten_until_ms,
            keep_until=process_outcomes.keep_until,
            outcomes=outcomes[start : start + _OUTCOMES_PER_PART],
        )
        for number, start in enumerate(starts)
    )


@attrs.define(eq=False)
class _ReceivedParts:
    """The received parts of one process's outcomes."""

    first: HandOver
    arrived: set[int] = attrs.Factory(set)
    outcomes: dict[str, TicketOutcome] = attrs.Factory(dict)

    @property
    def complete(self) -> bool:
        """Whether all parts have been received."""
        return len(self.arrived) == self.first.parts

    def add(self, part: HandOver) -> None:
        """Add a part of the same series."""
        self.arrived.add(part.part)
        self.outcomes.update((o.nonce, o) for o in part.outcomes)

    def process_outcomes(self) -> ProcessOutcomes:
        """Return the received outcomes for a successor."""
        return ProcessOutcomes(
            host=self.first.host,
            incarnation=self.first.incarnation,
            forgotten_until_ms=self.first.forgotten_until_ms,
            keep_until=self.first.keep_until,
            outcomes=dict(self.outcomes),
        )


class HandedOverTickets:
    """Answers requests with tickets of processes that have stopped."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._received: dict[str, _ReceivedParts] = {}
        self._exported = False

    def accept(self, part: HandOver) -> None:
        """Store a part until its retention time ends.

        :raises Overloaded: the storage limit is reached.
        :raises NotReady: this host has already handed over its outcomes.
        """
        with self._lock:
            if self._exported:
                raise errors.NotReady('the host is shutting down')
            self._drop_expired()
            received = self._received.get(part.incarnation)
            if received is None or received.first.series != part.series:
                if received is not None and received.complete:
                    return
                received = _ReceivedParts(part)
            self._check_capacity(part)
            self._received[part.incarnation] = received
            received.add(part)

    def export(self) -> tuple[ProcessOutcomes, ...]:
        """Return all complete outcomes and accept no further parts."""
        with self._lock:
            self._exported = True
            self._drop_expired()
            return tuple(
                r.process_outcomes()
                for r in self._received.values()
                if r.complete
            )

    def answer(
        self, ticket: tickets.Ticket, request_id: str, digest: str
    ) -> messages.ActionAnswer | None:
        """Return the outcome of a ticket, None if it is not known here.

        :raises TicketInvalid: the ticket was used for another action.
        :raises NotReady: the ticket was not used before its process stopped.
        """
        with self._lock:
            self._drop_expired()
            received = self._received.get(ticket.incarnation)
            if received is None:
                return None
            known_outcome = received.outcomes.get(ticket.nonce)
            unused = received.complete and (
                ticket.expires_ms > received.first.forgotten_until_ms
            )
        if known_outcome is None:
            if unused:
                raise errors.NotReady(
                    'the host that issued the ticket has stopped'
                )
            return None
        if known_outcome.digest != digest:
            raise errors.TicketInvalid(
                'the ticket was used for another action'
            )
        return attrs.evolve(known_outcome.answer, request_id=request_id)

    def _check_capacity(self, part: HandOver) -> None:
        stored = sum(len(r.outcomes) for r in self._received.values())
        if stored + len(part.outcomes) > _MAX_OUTCOMES:
            raise errors.Overloaded('too many ticket outcomes are stored')
        has_parts = part.incarnation in self._received
        if not has_parts and len(self._received) >= _MAX_PROCESSES:
            raise errors.Overloaded(
                'outcomes of too many processes are stored'
            )

    def _drop_expired(self) -> None:
        expired = [
            incarnation
            for incarnation, received in self._received.items()
            if received.first.keep_until.passed(self._clock)
        ]
        for incarnation in expired:
            del self._received[incarnation]
