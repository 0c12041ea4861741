"""corianderport_tier.connection.request_charge

The bytes that the requests and responses of one connection are charged for.
"""

import collections.abc

from corianderport_tier.process import byte_budget

__all__ = ['BudgetExceeded', 'RequestCharge']

# Time for a closed connection to release its bytes.
_RELEASE_TIMEOUT_S = 0.2

CloseStalled = collections.abc.Callable[[], bool]


class BudgetExceeded(Exception):
    """The budget has no room, and no stalled request makes room."""


class RequestCharge:
    """Charges the bytes of one connection to the budget of the process.

    A response is charged only if its caller does not read it at once.

    :param close_stalled: closes the connection whose request or response has
        made no progress for longest; returns False if there is none.
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

    def add_response(self, amount: int) -> None:
        """Charge a response that its caller does not read at once.

        It has to be sent, since its request has run. Beyond the budget, a
        stalled connection is closed.
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
