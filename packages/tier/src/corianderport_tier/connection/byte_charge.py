"""corianderport_tier.connection.byte_charge

The bytes that one connection is charged for.
"""

import collections.abc

from corianderport_tier.process import byte_budget

__all__ = ['BudgetExceeded', 'ByteCharge']

# Time for a closed connection to release its bytes.
_RELEASE_TIMEOUT_S = 0.2

CloseStalled = collections.abc.Callable[[], bool]


class BudgetExceeded(Exception):
    """The budget has no room, and no stalled request makes room."""


class ByteCharge:
    """Charges the bytes of one connection to a budget of the process.

    :param close_stalled: closes the connection that has made no progress for
        longest; returns False if there is none.
    """

    def __init__(
        self, budget: byte_budget.ByteBudget, close_stalled: CloseStalled
    ) -> None:
        self._budget = budget
        self._close_stalled = close_stalled
        self._held = 0

    @property
    def held(self) -> int:
        """Number of bytes charged."""
        return self._held

    def add(self, amount: int) -> None:
        """Charge bytes that are about to be stored.

        :raises BudgetExceeded: there is no room for them.
        """
        charged = self._budget.charge(amount, self._held)
        while not charged:
            if not self._close_stalled():
                raise BudgetExceeded
            charged = self._budget.charge(
                amount, self._held, _RELEASE_TIMEOUT_S
            )
        self._held += amount

    def add_in_any_case(self, amount: int) -> None:
        """Charge bytes that are stored already.

        Beyond the budget, a stalled connection is closed.
        """
        self._budget.charge_in_any_case(amount)
        self._held += amount
        if self._budget.exceeded:
            self._close_stalled()

    def reduce_to(self, amount: int) -> None:
        """Release all bytes but the given number."""
        released = max(0, self._held - amount)
        self._held -= released
        if released:
            self._budget.release(released)
