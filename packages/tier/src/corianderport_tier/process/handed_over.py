"""corianderport_tier.process.handed_over

Ticket outcomes of processes that were stopped, kept by their successors.
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
class ProcessOutcomes:
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
    """One part of a process's outcomes, small enough for one message.

    Parts of another ``series`` divide the outcomes differently.
    """

    host: str
    incarnation: str
    series: str
    part: int
    parts: int
    forgotten_until_ms: int
    keep_until: deadlines.Deadline
    outcomes: tuple[TicketOutcome, ...]


def split_into_parts(whole: ProcessOutcomes) -> tuple[HandOver, ...]:
    """Split outcomes into messages; there is at least one."""
    outcomes = tuple(whole.outcomes.values())
    series = secrets.token_hex(8)
    starts = range(0, max(1, len(outcomes)), _OUTCOMES_PER_PART)
    return tuple(
        HandOver(
            host=whole.host,
            incarnation=whole.incarnation,
            series=series,
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
    """What has arrived of one process's outcomes."""

    first: HandOver
    arrived: set[int] = attrs.Factory(set)
    outcomes: dict[str, TicketOutcome] = attrs.Factory(dict)

    @property
    def complete(self) -> bool:
        """Whether all parts have arrived."""
        return len(self.arrived) == self.first.parts

    def add(self, part: HandOver) -> None:
        """Add a part of the same series."""
        self.arrived.add(part.part)
        self.outcomes.update((o.nonce, o) for o in part.outcomes)

    def whole(self) -> ProcessOutcomes:
        """Return what has arrived, for a successor."""
        return ProcessOutcomes(
            host=self.first.host,
            incarnation=self.first.incarnation,
            forgotten_until_ms=self.first.forgotten_until_ms,
            keep_until=self.first.keep_until,
            outcomes=dict(self.outcomes),
        )


class HandedOverTickets:
    """Answers for the tickets of processes that have stopped."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._incoming: dict[str, _Incoming] = {}
        self._exported = False

    def accept(self, part: HandOver) -> None:
        """Keep a part until its tickets no longer matter.

        :raises Overloaded: as much is kept as this host may keep.
        :raises NotReady: this host has handed over already.
        """
        with self._lock:
            if self._exported:
                raise errors.NotReady('the host is shutting down')
            self._drop_old()
            incoming = self._incoming.get(part.incarnation)
            if incoming is None or incoming.first.series != part.series:
                if incoming is not None and incoming.complete:
                    return
                incoming = _Incoming(part)
            self._check_room(part)
            self._incoming[part.incarnation] = incoming
            incoming.add(part)

    def export(self) -> tuple[ProcessOutcomes, ...]:
        """Return what was handed over completely; accept no more."""
        with self._lock:
            self._exported = True
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
            found = incoming.outcomes.get(ticket.nonce)
            unused = incoming.complete and (
                ticket.expires_ms > incoming.first.forgotten_until_ms
            )
        if found is None:
            if unused:
                raise errors.NotReady('the issuing host has stopped')
            return None
        if found.digest != digest:
            raise errors.TicketInvalid('the ticket was used otherwise')
        return attrs.evolve(found.answer, request_id=request_id)

    def _check_room(self, part: HandOver) -> None:
        kept = sum(len(i.outcomes) for i in self._incoming.values())
        if kept + len(part.outcomes) > _MAX_OUTCOMES:
            raise errors.Overloaded('too many outcomes are kept')
        known = part.incarnation in self._incoming
        if not known and len(self._incoming) >= _MAX_INCARNATIONS:
            raise errors.Overloaded('too many processes are kept')

    def _drop_old(self) -> None:
        old = [
            incarnation
            for incarnation, incoming in self._incoming.items()
            if incoming.first.keep_until.passed(self._clock)
        ]
        for incarnation in old:
            del self._incoming[incarnation]
