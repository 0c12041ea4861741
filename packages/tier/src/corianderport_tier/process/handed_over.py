"""corianderport_tier.process.handed_over

Ticket outcomes of processes that were stopped, kept by their successors.
"""

import collections.abc
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import tickets
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages

__all__ = [
    'HandOver',
    'HandedOver',
    'HandedOverTickets',
    'TicketOutcome',
    'parts_of',
]

_OUTCOMES_PER_PART = 500
_MAX_INCARNATIONS = 64
_MAX_OUTCOMES = 100_000


@attrs.frozen
class TicketOutcome:
    """The outcome of the action that was started with a ticket.

    ``digest`` is the hash of the action and its payload.
    """

    nonce: str
    digest: str
    answer: messages.ActionAnswer


@attrs.frozen
class HandedOver:
    """All used tickets of a process that starts no more actions.

    Tickets that expire at ``forgotten_until_ms`` or before may have been
    used and dropped.
    """

    host: str
    incarnation: str
    forgotten_until_ms: int
    keep_until: deadlines.Deadline
    outcomes: collections.abc.Mapping[str, TicketOutcome]


@attrs.frozen
class HandOver:
    """One part of a process's outcomes, small enough for one message."""

    host: str
    incarnation: str
    part: int
    parts: int
    forgotten_until_ms: int
    keep_until: deadlines.Deadline
    outcomes: tuple[TicketOutcome, ...]


def parts_of(whole: HandedOver) -> tuple[HandOver, ...]:
    """Split outcomes into messages; there is at least one."""
    outcomes = tuple(whole.outcomes.values())
    starts = range(0, max(1, len(outcomes)), _OUTCOMES_PER_PART)
    return tuple(
        HandOver(
            host=whole.host,
            incarnation=whole.incarnation,
            part=number,
            parts=len(starts),
            forgotten_until_ms=whole.forgotten_until_ms,
            keep_until=whole.keep_until,
            outcomes=outcomes[start : start + _OUTCOMES_PER_PART],
        )
        for number, start in enumerate(starts)
    )


@attrs.define(eq=False)
class _Incoming:
    """The parts of one process that have arrived."""

    parts: int
    arrived: dict[int, HandOver] = attrs.Factory(dict)

    @property
    def complete(self) -> bool:
        """Whether all parts have arrived."""
        return len(self.arrived) == self.parts

    @property
    def size(self) -> int:
        """Number of outcomes that have arrived."""
        return sum(len(p.outcomes) for p in self.arrived.values())

    def find(self, nonce: str) -> TicketOutcome | None:
        """Return the outcome of a ticket."""
        for part in self.arrived.values():
            for outcome in part.outcomes:
                if outcome.nonce == nonce:
                    return outcome
        return None

    def whole(self) -> HandedOver:
        """Return all parts as one."""
        first = next(iter(self.arrived.values()))
        return HandedOver(
            host=first.host,
            incarnation=first.incarnation,
            forgotten_until_ms=first.forgotten_until_ms,
            keep_until=first.keep_until,
            outcomes={
                o.nonce: o for p in self.arrived.values() for o in p.outcomes
            },
        )


class HandedOverTickets:
    """Answers for the tickets of processes that have stopped."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._incoming: dict[str, _Incoming] = {}

    def accept(self, part: HandOver) -> None:
        """Keep a part until its tickets no longer matter.

        :raises Overloaded: as much is kept as this host may keep.
        """
        with self._lock:
            self._drop_old()
            incoming = self._incoming.get(part.incarnation)
            kept = sum(i.size for i in self._incoming.values())
            if kept + len(part.outcomes) > _MAX_OUTCOMES:
                raise errors.Overloaded('too many outcomes are kept')
            if incoming is None:
                if len(self._incoming) >= _MAX_INCARNATIONS:
                    raise errors.Overloaded('too many processes are kept')
                incoming = _Incoming(part.parts)
                self._incoming[part.incarnation] = incoming
            incoming.arrived[part.part] = part

    def export(self) -> tuple[HandedOver, ...]:
        """Return what was handed over completely, for a successor."""
        with self._lock:
            self._drop_old()
            return tuple(
                i.whole() for i in self._incoming.values() if i.complete
            )

    def answer(
        self, ticket: tickets.Ticket, request_id: str, digest: str
    ) -> messages.ActionAnswer | None:
        """Return the outcome of a ticket, None when it is not known here.

        :raises TicketInvalid: the ticket was used for another action.
        :raises NotReady: the ticket was not used before its process stopped.
        """
        with self._lock:
            self._drop_old()
            incoming = self._incoming.get(ticket.incarnation)
            if incoming is None:
                return None
            found = incoming.find(ticket.nonce)
            unused = incoming.complete and (
                ticket.expires_ms > incoming.whole().forgotten_until_ms
            )
        if found is None:
            if unused:
                raise errors.NotReady('the issuing host has stopped')
            return None
        if found.digest != digest:
            raise errors.TicketInvalid('the ticket was used otherwise')
        return attrs.evolve(found.answer, request_id=request_id)

    def _drop_old(self) -> None:
        old = [
            incarnation
            for incarnation, incoming in self._incoming.items()
            if any(
                p.keep_until.passed(self._clock)
                for p in incoming.arrived.values()
            )
        ]
        for incarnation in old:
            del self._incoming[incarnation]
