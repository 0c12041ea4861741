"""corianderport_tier.process.caller_table

Decides which connections of callers are accepted, served and closed.
"""

import collections
import collections.abc
import enum
import itertools
import threading
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier.process import caller_bounds

__all__ = ['CallerTable', 'Connection', 'Phase', 'Victim']

# Number of idle connections that are examined for received bytes when one of
# them has to be closed. The connections that were idle longest are the least
# likely ones to have received any.
_MAX_EXAMINED = 32
# Shorter waits occur in calm too, when a task has to wait for the processor.
_MIN_TASK_WAIT_S = 0.25
# A connection whose caller has made no progress for this time is stalled.
_STALLED_S = 1.0
# A response is held already, so that there is less time to wait for a caller
# that does not read than for one that does not send.
_MIN_UNREAD_S = 0.1
# A connection that has waited for a task for longer is refused.
_MAX_QUEUED_S = 1.0


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = 'first byte of a request'
    QUEUED = 'task'
    RECEIVING = 'bytes of a request'
    RUNNING = 'searchers'
    SENDING = 'room to write'
    LINGERING = 'end of a rejected request'


class Connection(typing.Protocol):
    """A connection of a caller."""

    def has_received(self) -> bool:
        """Whether bytes or the end of the connection wait to be read."""


_ConnectionT = typing.TypeVar('_ConnectionT', bound=Connection)


@attrs.frozen
class Victim(typing.Generic[_ConnectionT]):
    """A connection to close.

    The task of a connection that has one ends the connection itself.
    """

    connection: _ConnectionT
    on_task: bool


_Order = collections.OrderedDict[_ConnectionT, None]


@attrs.define
class _Entry(typing.Generic[_ConnectionT]):
    phase: Phase
    since_s: float
    # The order that the connection is in, if any.
    order: _Order[_ConnectionT] | None = None
    on_task: bool = False
    closing: bool = False


class CallerTable(typing.Generic[_ConnectionT]):
    """All connections of one listener, by what they wait for."""

    def __init__(
        self, bounds: caller_bounds.CallerBounds, clock: clocks.Clock
    ) -> None:
        self._bounds = bounds
        self._clock = clock
        self._condition = threading.Condition()
        self._entries: dict[_ConnectionT, _Entry[_ConnectionT]] = {}
        # Connections of a phase, the one that has waited longest first. An
        # idle connection is held by its task at first and then parked.
        self._parked: _Order[_ConnectionT] = collections.OrderedDict()
        self._held: _Order[_ConnectionT] = collections.OrderedDict()
        self._queued: _Order[_ConnectionT] = collections.OrderedDict()
        self._for_caller: _Order[_ConnectionT] = collections.OrderedDict()
        self._orders = {
            Phase.IDLE: self._held,
            Phase.QUEUED: self._queued,
            Phase.RECEIVING: self._for_caller,
            Phase.RUNNING: None,
            Phase.SENDING: self._for_caller,
            Phase.LINGERING: self._for_caller,
        }
        self._tasks = 0
        # Tasks whose connections have been chosen to be closed.
        self._closing = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def tasks(self) -> int:
        """Number of tasks in use."""
        return self._tasks

    @property
    def has_queued(self) -> bool:
        """Whether connections wait for a task."""
        return bool(self._queued)

    def admit(
        self, connection: _ConnectionT
    ) -> tuple[bool, Victim[_ConnectionT] | None]:
        """Return whether to accept a connection, and which one to close.

        An accepted connection is idle. At the bound, a connection is closed
        that is idle or, if there is none, that is stalled by its caller.
        """
        with self._condition:
            victim = None
            if len(self._entries) >= self._bounds.connections:
                victim = self._longest_idle() or self._longest_stalled()
                if victim is None:
                    return False, None
            entry = _Entry[_ConnectionT](Phase.IDLE, self._clock.monotonic())
            self._entries[connection] = entry
            self._enter_order(connection, entry, self._parked)
            return True, victim

    def begin(self, connection: _ConnectionT, phase: Phase) -> bool:
        """Begin a phase of a connection that has a task.

        Return False if the connection has been chosen to be closed.
        """
        with self._condition:
            entry = self._entries.get(connection)
            if entry is None or entry.closing:
                return False
            self._move(connection, entry, phase)
            return True

    def park(self, connection: _ConnectionT) -> bool:
        """Take the task from an idle connection.

        Return False if the connection has been chosen to be closed.
        """
        with self._condition:
            entry = self._entries.get(connection)
            if entry is None or entry.closing:
                return False
            self._release_task(entry)
            self._enter_order(connection, entry, self._parked)
            return True

    def queue(self, connection: _ConnectionT) -> bool:
        """Let an idle connection that has received bytes wait for a task."""
        with self._condition:
            entry = self._entries.get(connection)
            if entry is None or entry.on_task or entry.phase != Phase.IDLE:
                return False
            self._move(connection, entry, Phase.QUEUED)
            return True

    def start_next(self) -> _ConnectionT | None:
        """Give a free task to the connection that waits for it longest."""
        with self._condition:
            if not self._queued or self._tasks >= self._bounds.tasks:
                return None
            connection = next(iter(self._queued))
            entry = self._entries[connection]
            self._tasks += 1
            entry.on_task = True
            self._move(connection, entry, Phase.IDLE)
            return connection

    def remove(self, connection: _ConnectionT) -> bool:
        """Remove a connection; return False if it was removed before."""
        with self._condition:
            return self._remove(connection)

    def await_empty(self, timeout_s: float) -> bool:
        """Wait until there is no connection; return False on timeout."""
        until_s = self._clock.monotonic() + timeout_s
        with self._condition:
            while self._entries:
                left_s = until_s - self._clock.monotonic()
                if left_s <= 0:
                    return False
                self._clock.wait(self._condition, left_s)
        return True

    def close_idle(self) -> list[Victim[_ConnectionT]]:
        """Choose all idle connections that have received no bytes."""
        with self._condition:
            return [
                self._choose(connection)
                for connection in [*self._parked, *self._held]
                if not connection.has_received()
            ]

    def close_expired(self, idle_s: float) -> list[Victim[_ConnectionT]]:
        """Choose the connections without a task that are idle for too long."""
        expired = []
        with self._condition:
            latest_s = self._clock.monotonic() - idle_s
            for connection in list(self._parked):
                if self._entries[connection].since_s > latest_s:
                    break
                if not connection.has_received():
                    expired.append(self._choose(connection))
        return expired

    def next_expiry_s(self, idle_s: float) -> float | None:
        """Return the time until an idle connection expires, if there is any.

        Expiries within a second are handled together.
        """
        with self._condition:
            if not self._parked:
                return None
            since_s = self._entries[next(iter(self._parked))].since_s
        return max(1.0, since_s + idle_s - self._clock.monotonic())

    def close_for_task(self) -> Victim[_ConnectionT] | None:
        """Choose the connection that has waited longest for its caller.

        A connection whose request is with searchers is never chosen, and
        none if enough tasks are about to be free.
        """
        with self._condition:
            if len(self._queued) <= self._closing + len(self._held):
                return None
            for connection in self._for_caller:
                if self._waited_s(connection) < _MIN_TASK_WAIT_S:
                    break
                return self._choose(connection)
        return None

    def close_for_bytes(self) -> Victim[_ConnectionT] | None:
        """Choose the connection whose request is stalled longest."""
        return self._choose_waiting(Phase.RECEIVING, _STALLED_S)

    def close_for_response(self) -> Victim[_ConnectionT] | None:
        """Choose the connection whose response has waited longest."""
        return self._choose_waiting(Phase.SENDING, _MIN_UNREAD_S)

    def refuse_queued(self) -> list[_ConnectionT]:
        """Remove the connections that have waited too long for a task."""
        refused = []
        with self._condition:
            for connection in list(self._queued):
                if self._waited_s(connection) < _MAX_QUEUED_S:
                    break
                self._remove(connection)
                refused.append(connection)
        return refused

    def _longest_idle(self) -> Victim[_ConnectionT] | None:
        for order in (self._parked, self._held):
            for connection in itertools.islice(order, _MAX_EXAMINED):
                if not connection.has_received():
                    return self._choose(connection)
        return None

    def _choose_waiting(
        self, phase: Phase, least_s: float
    ) -> Victim[_ConnectionT] | None:
        with self._condition:
            for connection in self._for_caller:
                if self._waited_s(connection) < least_s:
                    break
                if self._entries[connection].phase is phase:
                    return self._choose(connection)
        return None

    def _longest_stalled(self) -> Victim[_ConnectionT] | None:
        for connection in self._for_caller:
            if self._waited_s(connection) < _STALLED_S:
                break
            return self._choose(connection)
        return None

    def _choose(self, connection: _ConnectionT) -> Victim[_ConnectionT]:
        entry = self._entries[connection]
        entry.closing = True
        if entry.on_task:
            self._closing += 1
            self._enter_order(connection, entry, None)
        else:
            self._remove(connection)
        return Victim(connection, entry.on_task)

    def _waited_s(self, connection: _ConnectionT) -> float:
        return self._clock.monotonic() - self._entries[connection].since_s

    def _move(
        self,
        connection: _ConnectionT,
        entry: _Entry[_ConnectionT],
        phase: Phase,
    ) -> None:
        entry.phase = phase
        entry.since_s = self._clock.monotonic()
        self._enter_order(connection, entry, self._orders[phase])

    def _enter_order(
        self,
        connection: _ConnectionT,
        entry: _Entry[_ConnectionT],
        order: _Order[_ConnectionT] | None,
    ) -> None:
        if entry.order is not None:
            del entry.order[connection]
        entry.order = order
        if order is not None:
            order[connection] = None

    def _release_task(self, entry: _Entry[_ConnectionT]) -> None:
        if entry.on_task:
            entry.on_task = False
            self._tasks -= 1
            self._closing -= entry.closing

    def _remove(self, connection: _ConnectionT) -> bool:
        entry = self._entries.pop(connection, None)
        if entry is None:
            return False
        self._release_task(entry)
        self._enter_order(connection, entry, None)
        self._condition.notify_all()
        return True
