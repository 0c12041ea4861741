"""CallerTable: which connections are accepted, served and closed."""

import random

import attrs
import pytest

from corianderport_testkit import clock
from corianderport_tier.process import caller_bounds
from corianderport_tier.process import caller_table

_SEED = 611
_Phase = caller_table.Phase


@attrs.define(eq=False)
class _Connection:
    """A connection whose received bytes the test decides."""

    received: bool = False

    def has_received(self) -> bool:
        return self.received


_Table = caller_table.CallerTable[_Connection]
_Victim = caller_table.Victim[_Connection]


def _table(
    manual: clock.ManualClock, connections: int = 4, tasks: int = 2
) -> _Table:
    bounds = caller_bounds.CallerBounds(connections, tasks)
    return caller_table.CallerTable(bounds, manual)


def _admit(table: _Table, count: int) -> list[_Connection]:
    connections = [_Connection() for _ in range(count)]
    for connection in connections:
        assert table.admit(connection) == (True, None)
    return connections


def _start(table: _Table, connection: _Connection, phase: _Phase) -> None:
    assert table.queue(connection)
    assert table.start_next() is connection
    assert table.begin(connection, phase)


def test_longest_idle_connection_makes_room() -> None:
    """Guards against closing a caller that is about to send.

    The connection that was idle longest has bytes that were not read yet.
    """
    manual = clock.ManualClock()
    table = _table(manual, connections=3)
    connections = []
    for _ in range(3):
        connections += _admit(table, 1)
        manual.advance(1)
    connections[0].received = True
    accepted, victim = table.admit(_Connection())
    assert accepted
    assert victim == _Victim(connections[1], on_task=False)
    assert len(table) == 3


def test_connection_is_refused_when_none_is_idle() -> None:
    """Guards against closing the connection of a request for a new caller."""
    manual = clock.ManualClock()
    table = _table(manual, connections=2)
    for connection in _admit(table, 2):
        _start(table, connection, _Phase.RUNNING)
    manual.advance(60)
    assert table.admit(_Connection()) == (False, None)


def test_stalled_connection_makes_room() -> None:
    """Guards against stopped callers that keep all others out.

    The request of one is with searchers, another one has just sent bytes.
    """
    manual = clock.ManualClock()
    table = _table(manual, connections=3, tasks=3)
    running, active, stalled = _admit(table, 3)
    _start(table, running, _Phase.RUNNING)
    _start(table, active, _Phase.RECEIVING)
    _start(table, stalled, _Phase.RECEIVING)
    manual.advance(0.9)
    assert table.begin(active, _Phase.RECEIVING)
    assert table.admit(_Connection()) == (False, None)
    manual.advance(0.2)
    accepted, victim = table.admit(_Connection())
    assert accepted
    assert victim == _Victim(stalled, on_task=True)


def test_held_connection_is_closed_by_its_task() -> None:
    """Guards against a socket that is closed while a task uses it."""
    table = _table(clock.ManualClock(), connections=1)
    (held,) = _admit(table, 1)
    _start(table, held, _Phase.RUNNING)
    assert table.begin(held, _Phase.IDLE)
    accepted, victim = table.admit(_Connection())
    assert accepted
    assert victim == _Victim(held, on_task=True)
    assert not table.begin(held, _Phase.RECEIVING)
    assert not table.park(held)
    assert table.remove(held)
    assert table.tasks == 0


def test_request_with_searchers_is_never_closed_for_a_task() -> None:
    """Guards against ending a request that may have run."""
    manual = clock.ManualClock()
    table = _table(manual)
    first, second, waiting = _admit(table, 3)
    _start(table, first, _Phase.RUNNING)
    _start(table, second, _Phase.RUNNING)
    assert table.queue(waiting)
    manual.advance(60)
    assert table.start_next() is None
    assert table.close_for_task() is None


@pytest.mark.parametrize(
    'phase', [_Phase.RECEIVING, _Phase.SENDING, _Phase.LINGERING]
)
def test_longest_wait_for_a_caller_gives_up_its_task(phase: _Phase) -> None:
    """Guards against slow callers that hold all tasks.

    Only one of them is closed for each connection that needs a task, and
    none that has waited for a moment only.
    """
    manual = clock.ManualClock()
    table = _table(manual)
    slow, slower, waiting = _admit(table, 3)
    _start(table, slow, phase)
    _start(table, slower, phase)
    assert table.queue(waiting)
    assert table.close_for_task() is None
    manual.advance(0.2)
    assert table.begin(slow, phase)
    manual.advance(0.2)
    assert table.close_for_task() == _Victim(slower, on_task=True)
    manual.advance(60)
    assert table.close_for_task() is None
    assert table.remove(slower)
    assert table.start_next() is waiting


def test_idle_connection_gives_up_its_task_before_others_are_closed() -> None:
    """Guards against closing a connection while a task is about to be free."""
    manual = clock.ManualClock()
    table = _table(manual)
    idle, slow, waiting = _admit(table, 3)
    _start(table, idle, _Phase.RUNNING)
    assert table.begin(idle, _Phase.IDLE)
    _start(table, slow, _Phase.RECEIVING)
    assert table.queue(waiting)
    manual.advance(60)
    assert table.close_for_task() is None
    assert table.park(idle)
    assert table.start_next() is waiting


@pytest.mark.parametrize(
    ('phase', 'least_s'), [(_Phase.RECEIVING, 1.0), (_Phase.SENDING, 0.1)]
)
def test_connection_without_progress_gives_up_its_bytes(
    phase: _Phase, least_s: float
) -> None:
    """Guards against bodies without an end and responses that are not read.

    A connection that makes progress is not stalled, and one in another phase
    holds no bytes of the budget.
    """
    manual = clock.ManualClock()
    table = _table(manual, tasks=4)
    other, stalled, active = _admit(table, 3)
    _start(table, other, _Phase.LINGERING)
    _start(table, stalled, phase)
    _start(table, active, phase)
    choose = {
        _Phase.RECEIVING: table.close_for_bytes,
        _Phase.SENDING: table.close_for_response,
    }[phase]
    manual.advance(0.9 * least_s)
    assert table.begin(active, phase)
    assert choose() is None
    manual.advance(0.2 * least_s)
    assert choose() == _Victim(stalled, on_task=True)
    assert choose() is None


def test_connection_is_refused_after_waiting_for_a_task() -> None:
    """Guards against requests that are neither served nor refused."""
    manual = clock.ManualClock()
    table = _table(manual, tasks=1)
    running, early, late = _admit(table, 3)
    _start(table, running, _Phase.RUNNING)
    assert table.queue(early)
    manual.advance(0.6)
    assert table.queue(late)
    assert table.refuse_queued() == []
    manual.advance(0.6)
    assert table.refuse_queued() == [early]
    assert table.remove(running)
    assert table.start_next() is late


def test_idle_connections_expire() -> None:
    """Guards against connections that are never closed.

    The time counts from the end of the last request; a connection that has
    received bytes stays.
    """
    manual = clock.ManualClock()
    table = _table(manual)
    old, received, new = _admit(table, 3)
    manual.advance(10)
    received.received = True
    _start(table, new, _Phase.RUNNING)
    assert table.begin(new, _Phase.IDLE)
    assert table.park(new)
    assert table.next_expiry_s(15) == 5
    manual.advance(5)
    assert table.close_expired(15) == [_Victim(old, on_task=False)]
    assert len(table) == 2


def test_stop_closes_what_is_idle() -> None:
    """Guards against a stop that cuts requests or waits for idle callers."""
    table = _table(clock.ManualClock(), tasks=3)
    parked, received, held, running = _admit(table, 4)
    received.received = True
    _start(table, held, _Phase.IDLE)
    _start(table, running, _Phase.RUNNING)
    assert table.close_idle() == [
        _Victim(parked, on_task=False),
        _Victim(held, on_task=True),
    ]


def test_bounds_hold_in_random_order() -> None:
    """Guards against a count of tasks or connections that drifts."""
    rng = random.Random(_SEED)
    manual = clock.ManualClock()
    table = _table(manual, connections=12, tasks=4)
    on_task: set[_Connection] = set()
    known: list[_Connection] = []

    def close(victim: _Victim | None) -> None:
        if victim is None:
            return
        assert (victim.connection in on_task) == victim.on_task
        if victim.on_task:
            # The task notices the end and removes its connection.
            assert not table.begin(victim.connection, _Phase.RUNNING)
            assert table.remove(victim.connection)
        on_task.discard(victim.connection)
        known.remove(victim.connection)

    for _ in range(20_000):
        manual.advance(rng.choice([0, 0.1, 0.5]))
        step = rng.randrange(8)
        if step == 0:
            connection = _Connection(rng.random() < 0.2)
            accepted, victim = table.admit(connection)
            close(victim)
            if accepted:
                known.append(connection)
        elif step == 1 and known:
            table.queue(rng.choice(known))
        elif step == 2 and (started := table.start_next()) is not None:
            on_task.add(started)
        elif step == 3 and on_task:
            table.begin(
                rng.choice(list(on_task)), rng.choice(list(_Phase)[2:])
            )
        elif step == 4 and on_task:
            connection = rng.choice(list(on_task))
            assert table.begin(connection, _Phase.IDLE)
            assert table.park(connection)
            on_task.discard(connection)
        elif step == 5:
            close(table.close_for_task())
        elif step == 6:
            close(table.close_for_bytes())
            close(table.close_for_response())
        elif step == 7:
            for connection in table.refuse_queued():
                known.remove(connection)
            for victim in table.close_expired(8):
                close(victim)
        assert len(table) == len(known) <= 12
        assert table.tasks == len(on_task) <= 4
