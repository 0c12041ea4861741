"""corianderport_tier.process.capacity_waits

Gives capacity that becomes free to the sends that wait for it.
"""

import collections
import collections.abc
import operator

from corianderport_tier.process import candidates
from corianderport_tier.process import cost_estimates
from corianderport_tier.process import send_choice
from corianderport_tier.process import send_order

__all__ = ['CapacityWaits']

Choose = collections.abc.Callable[
    [
        collections.abc.Collection[str],
        cost_estimates.RequestClass,
        str | None,
        float,
    ],
    send_choice.Choice | candidates.NoChoice,
]


class CapacityWaits:
    """Sends that wait for capacity; guarded by the lock of their service.

    Capacity is given to one send and reserved for it. If all waiting sends
    were woken instead, their tasks would compete for it in any order, and a
    request that has just arrived could take it first.
    """

    def __init__(self) -> None:
        self._order = send_order.order(send_order.ARRIVAL)
        # Number of sends by the searchers that they exclude.
        self._exclusions: collections.Counter[frozenset[str]]
        self._exclusions = collections.Counter()
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of waiting sends."""
        return len(self._order)

    @property
    def order_name(self) -> str:
        """Name of the order in which sends are served."""
        return self._order.name

    def set_order(self, name: str) -> None:
        """Change the order in which sends are served."""
        if name == self._order.name:
            return
        previous, self._order = self._order, send_order.order(name)
        for send in sorted(
            previous.in_order(0.0), key=operator.attrgetter('number')
        ):
            self._order.add(send)

    def add(self, send: send_order.WaitingSend, now_s: float) -> None:
        """Add a send."""
        self._last_number += 1
        send.number = self._last_number
        send.arrived_s = now_s
        self._order.add(send)
        self._exclusions[send.excluded] += 1

    def remove(self, send: send_order.WaitingSend) -> bool:
        """Remove a send; return False if it does not wait any longer."""
        if not self._order.remove(send):
            return False
        self._exclusions[send.excluded] -= 1
        if not self._exclusions[send.excluded]:
            del self._exclusions[send.excluded]
        return True

    def serve(self, choose: Choose, now_s: float) -> None:
        """Give free capacity to waiting sends and notify them.

        A send is also notified if it would not have to wait for capacity.

        :param choose: chooses a searcher and starts the send.
        """
        full: set[frozenset[str]] = set()
        served = []
        for send in self._order.in_order(now_s):
            if send.excluded in full:
                continue
            choice = choose(
                send.excluded, send.request_class, send.workspace, now_s
            )
            if choice is candidates.NoChoice.FULL:
                full.add(send.excluded)
                if len(full) == len(self._exclusions):
                    break
                continue
            if isinstance(choice, send_choice.Choice):
                send.choice = choice
            served.append(send)
        for send in served:
            self.remove(send)
            send.notify(send)
