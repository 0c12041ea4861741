"""corianderport_tier.process.byte_budget

Bounds the memory that the requests of all callers hold together, and that of
the responses that they do not read.
"""

import threading
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier.process import caller_bounds
from corianderport_tier.request import deadlines

__all__ = ['ByteBudget', 'CallerBudgets', 'SMALL_REQUEST_BYTES']

# A request below this size may use the reserved part of the budget.
SMALL_REQUEST_BYTES = 16_384
_RESERVED_SHARE = 0.25


class ByteBudget:
    """Counts bytes before they are stored.

    The last quarter is reserved for small requests, so that large bodies do
    not displace them. A request that alone holds bytes is always accepted:
    without other load, the configured limits are the only ones.
    """

    def __init__(self, total_bytes: int, clock: clocks.Clock) -> None:
        self._total_bytes = total_bytes
        self._unreserved_bytes = int(total_bytes * (1 - _RESERVED_SHARE))
        self._clock = clock
        self._lock = threading.Lock()
        self._released = threading.Condition(self._lock)
        self._waiting = 0
        self._used_bytes = 0

    @property
    def exceeded(self) -> bool:
        """Whether more bytes are in use than the budget has."""
        return self._used_bytes > self._total_bytes

    @property
    def used_bytes(self) -> int:
        """Number of bytes that are charged."""
        return self._used_bytes

    def charge(self, amount: int, held: int, wait_s: float = 0.0) -> bool:
        """Add bytes to a request that holds ``held`` bytes already.

        Wait up to ``wait_s`` for other requests to release theirs; return
        False if the bytes are not available.
        """
        with self._lock:
            if not self._available(amount, held) and not self._await(
                amount, held, wait_s
            ):
                return False
            self._used_bytes += amount
            return True

    def charge_in_any_case(self, amount: int) -> None:
        """Add bytes that are stored already."""
        with self._lock:
            self._used_bytes += amount

    def release(self, amount: int) -> None:
        """Return bytes of a request."""
        with self._lock:
            self._used_bytes -= amount
            if self._waiting:
                self._released.notify_all()

    def _await(self, amount: int, held: int, wait_s: float) -> bool:
        until = deadlines.Deadline.after(self._clock, wait_s)
        while not self._available(amount, held):
            left_s = until.remaining(self._clock)
            if left_s <= 0:
                return False
            self._waiting += 1
            try:
                self._clock.wait(self._released, left_s)
            finally:
                self._waiting -= 1
        return True

    def _available(self, amount: int, held: int) -> bool:
        small = held + amount < SMALL_REQUEST_BYTES
        limit = self._total_bytes if small else self._unreserved_bytes
        return self._used_bytes == held or self._used_bytes + amount <= limit


@attrs.frozen
class CallerBudgets:
    """Budgets of one process.

    They are separate, so that callers who do not read their responses do not
    make the host refuse the requests of others.
    """

    requests: ByteBudget
    responses: ByteBudget

    @classmethod
    def from_bounds(
        cls, bounds: caller_bounds.CallerBounds, clock: clocks.Clock
    ) -> typing.Self:
        """Return two budgets of the same size."""
        return cls(
            ByteBudget(bounds.budget_bytes, clock),
            ByteBudget(bounds.budget_bytes, clock),
        )
