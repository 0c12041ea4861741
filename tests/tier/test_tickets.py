"""Tests that tickets are signed and start their action at most once."""

import concurrent.futures
import threading
import time

import attrs
import pytest

from corianderport_testkit import clock as manual_clock
from corianderport_tier import errors
from corianderport_tier.process import handed_over
from corianderport_tier.process import ticket_table
from corianderport_tier.process import tickets
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier import result_codes

_LIMITS = ticket_table.TicketLimits(1_000, 5_000, 3)
_OK = result_codes.ResultCode.OK
_SIGNER = tickets.TicketSigner.from_config('first key,second key')


@attrs.define(eq=False)
class _Case:
    """A ticket table and a count of the actions started."""

    clock: manual_clock.ManualClock = attrs.Factory(manual_clock.ManualClock)
    runs: int = 0
    table: ticket_table.TicketTable = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.table = ticket_table.TicketTable(
            'h', 'i', _SIGNER, _LIMITS, self.clock
        )

    def ticket(self) -> tickets.Ticket:
        """Issue a ticket."""
        return _SIGNER.verify(self.table.issue().text)

    def request(self, payload: str = 'p') -> messages.ActionRequest:
        """Return a request with a deadline in two seconds."""
        deadline = deadlines.Deadline.after(self.clock, 2)
        return messages.ActionRequest('r', 'act', payload, deadline, 'c', 't')

    def use(
        self, ticket: tickets.Ticket, payload: str = 'p'
    ) -> messages.ActionAnswer:
        """Use a ticket."""

        def run() -> messages.ActionAnswer:
            self.runs += 1
            return messages.ActionAnswer(_OK, 'r', f'run {self.runs}')

        return self.table.run_once(ticket, self.request(payload), run)


def test_tickets_of_all_shared_keys_are_accepted() -> None:
    """Guards against refusing tickets during a key rotation.

    The hosts get a new key one after another, so some still sign with the
    old one.
    """
    ticket = tickets.Ticket('h', 'i', 5, 'n')
    old = tickets.TicketSigner.from_config('second key')
    assert _SIGNER.verify(old.sign(ticket)) == ticket
    with pytest.raises(errors.TicketInvalid):
        old.verify(_SIGNER.sign(ticket))


@pytest.mark.parametrize('position', [0, 10, 40, -2])
def test_changed_ticket_is_invalid(position: int) -> None:
    """Guards against accepting a forged ticket.

    A caller changes one character of the content or of the signature.
    """
    text = list(_SIGNER.sign(tickets.Ticket('h', 'i', 5, 'nonce')))
    text[position] = 'A' if text[position] != 'A' else 'B'
    with pytest.raises(errors.TicketInvalid):
        _SIGNER.verify(''.join(text))


@pytest.mark.parametrize('text', ['', '.', 'é.é', 'AAAA', 'AAAA.AAAA'])
def test_malformed_ticket_is_invalid(text: str) -> None:
    """Guards against reporting malformed input as an internal error.

    Callers may send any text, such as one that is empty or not base64.
    """
    with pytest.raises(errors.TicketInvalid):
        _SIGNER.verify(text)


def test_repeats_get_the_first_outcome() -> None:
    """Guards against running an action twice.

    The caller uses its ticket again, even after the ticket has expired.
    """
    case = _Case()
    ticket = case.ticket()
    first = case.use(ticket)
    case.clock.advance(3)
    assert case.use(ticket) == first
    assert case.runs == 1


def test_repeat_waits_for_the_running_action() -> None:
    """Guards against a second run while the first has no outcome.

    The caller uses its ticket again while the action is still running.
    """
    case = _Case()
    ticket = case.ticket()
    started, release = threading.Event(), threading.Event()

    def run() -> messages.ActionAnswer:
        started.set()
        release.wait()
        return messages.ActionAnswer(_OK, 'r', 'first')

    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        first = executor.submit(
            case.table.run_once, ticket, case.request(), run
        )
        started.wait()
        repeat = executor.submit(case.use, ticket)
        while case.clock.waiter_count == 0:
            time.sleep(0)
        case.clock.advance(2)
        with pytest.raises(errors.OutcomeUnknown):
            repeat.result()
        release.set()
        assert first.result().outcome == 'first'
    assert case.use(ticket).outcome == 'first'
    assert case.runs == 0


def test_ticket_is_bound_to_its_first_use() -> None:
    """Guards against answering one action with another's outcome.

    A caller uses one ticket for two different actions.
    """
    case = _Case()
    ticket = case.ticket()
    case.use(ticket)
    with pytest.raises(errors.TicketInvalid):
        case.use(ticket, 'other')
    assert case.runs == 1


def test_refusal_is_final() -> None:
    """Guards against reporting 'not run' for an action that runs later.

    The first use is refused for lack of capacity; a second use would find
    capacity.
    """
    case = _Case()
    ticket = case.ticket()

    def refuse() -> messages.ActionAnswer:
        raise errors.Overloaded('busy')

    case.table.run_once(ticket, case.request(), refuse)
    assert case.use(ticket).code is result_codes.ResultCode.OVERLOADED
    assert case.runs == 0


def test_unexpected_error_leaves_the_outcome_unknown() -> None:
    """Guards against repeats that wait forever or run the action again.

    The first run ends with an unexpected exception, so it leaves no
    answer.
    """
    case = _Case()
    ticket = case.ticket()

    def fail() -> messages.ActionAnswer:
        raise ValueError('fault')

    with pytest.raises(ValueError, match='fault'):
        case.table.run_once(ticket, case.request(), fail)
    assert case.use(ticket).code is result_codes.ResultCode.OUTCOME_UNKNOWN


def test_unused_ticket_expires() -> None:
    """Guards against an old ticket that starts an action late.

    A request arrives only after its ticket has expired.
    """
    case = _Case()
    ticket = case.ticket()
    case.clock.advance(1)
    with pytest.raises(errors.TicketExpired):
        case.use(ticket)
    assert case.runs == 0


def test_dropped_ticket_is_unknown_and_never_runs() -> None:
    """Guards against reporting a used ticket as expired before its use.

    After the retention time, the table cannot tell used tickets from
    unused ones. Setting the wall clock back must not make them valid.
    """
    case = _Case()
    used, unused = case.ticket(), case.ticket()
    case.use(used)
    case.clock.advance(10)
    later = case.ticket()
    assert case.table.size == 0
    for ticket in (used, unused):
        with pytest.raises(errors.OutcomeUnknown):
            case.use(ticket)
    # The wall clock is set back to the time when the ticket was valid.
    case.clock.advance(-10)
    with pytest.raises(errors.OutcomeUnknown):
        case.use(used)
    assert case.runs == 1
    case.use(later)
    assert case.runs == 2


def test_unexpired_tickets_are_limited() -> None:
    """Guards against unbounded memory use by tickets.

    Callers request tickets faster than the tickets expire.
    """
    case = _Case()
    for _ in range(_LIMITS.unexpired):
        case.use(case.ticket())
    with pytest.raises(errors.Overloaded):
        case.ticket()
    case.clock.advance(1)
    case.ticket()


def _hand_over(case: _Case) -> handed_over.HandedOverTickets:
    case.table.seal()
    successor = handed_over.HandedOverTickets(case.clock)
    for part in handed_over.split_into_parts(case.table.export()):
        successor.accept(part)
    return successor


def test_successor_answers_for_a_sealed_table() -> None:
    """Guards against lost or invented outcomes after a shutdown.

    A caller uses its ticket again at the successor of the host that issued
    it.
    """
    case = _Case()
    used, unused = case.ticket(), case.ticket()
    first = case.use(used)
    successor = _hand_over(case)
    request_digest = ticket_table.action_digest(case.request())
    assert successor.answer(used, 'r', request_digest) == first
    with pytest.raises(errors.TicketInvalid):
        successor.answer(used, 'r', 'other')
    with pytest.raises(errors.NotReady):
        successor.answer(unused, 'r', request_digest)
    with pytest.raises(errors.NotReady):
        case.use(unused)
    assert case.runs == 1


def test_successor_knows_nothing_of_dropped_tickets() -> None:
    """Guards against 'not run' for a ticket dropped before the shutdown.

    The successor receives no outcome for it, as for an unused ticket.
    """
    case = _Case()
    used = case.ticket()
    case.use(used)
    case.clock.advance(10)
    case.use(case.ticket())
    successor = _hand_over(case)
    assert (
        successor.answer(used, 'r', ticket_table.action_digest(case.request()))
        is None
    )


def test_partial_hand_over_gives_no_answer() -> None:
    """Guards against 'not run' while parts of a hand-over are missing.

    The outcome of the ticket may be in a part that has not arrived.
    """
    case = _Case()
    unused = case.ticket()
    case.table.seal()
    outcomes = case.table.export()
    part = attrs.evolve(handed_over.split_into_parts(outcomes)[0], parts=2)
    successor = handed_over.HandedOverTickets(case.clock)
    successor.accept(part)
    assert successor.answer(unused, 'r', 'digest') is None
