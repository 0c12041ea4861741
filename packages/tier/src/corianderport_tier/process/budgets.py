"""corianderport_tier.process.budgets

Budgets of extra sub-requests, and the backoff before a retry.
"""

import collections
import random
import threading

import attrs

__all__ = ['Backoff', 'Budget', 'BudgetRatio', 'ExtraBudget', 'HostBudget']

_WINDOW_S = 10.0
_BUCKETS = 10


@attrs.frozen
class BudgetRatio:
    """What may be spent in a window.

    ``ratio`` is a fraction of the sub-requests counted in the window.
    """

    ratio: float
    minimum: int = 0


@attrs.define
class _Bucket:
    number: int
    requests: int = 0
    spent: int = 0


class Budget:
    """Sub-requests and extra sub-requests of the last seconds.

    :param window_s: length of the window.
    """

    def __init__(
        self, ratio: BudgetRatio, window_s: float = _WINDOW_S
    ) -> None:
        self.ratio = ratio
        self.window_s = window_s
        self._buckets: collections.deque[_Bucket] = collections.deque()

    def count_request(self, now_s: float) -> None:
        """Count a sub-request that is the first for its shards."""
        self._bucket(now_s).requests += 1

    def try_spend(
        self, now_s: float, minimum: int = 0, slack: float = 0.0
    ) -> bool:
        """Take one extra sub-request, when the budget has one left.

        :param minimum: allowed in a window whatever its ratio is.
        :param slack: allowed in a window on top of its ratio.
        """
        if not self.may_spend(now_s, minimum, slack):
            return False
        self.spend(now_s)
        return True

    def may_spend(
        self, now_s: float, minimum: int = 0, slack: float = 0.0
    ) -> bool:
        """Whether one extra sub-request is left."""
        self._bucket(now_s)
        requests = sum(b.requests for b in self._buckets)
        spent = sum(b.spent for b in self._buckets)
        allowed = max(self.ratio.ratio * requests, self.ratio.minimum, minimum)
        return spent + 1 <= allowed + slack

    def spend(self, now_s: float) -> None:
        """Count one extra sub-request."""
        self._bucket(now_s).spent += 1

    def _bucket(self, now_s: float) -> _Bucket:
        number = int(now_s * _BUCKETS // self.window_s)
        buckets = self._buckets
        while buckets and buckets[0].number <= number - _BUCKETS:
            buckets.popleft()
        if not buckets or buckets[-1].number < number:
            buckets.append(_Bucket(number))
        return buckets[-1]


class HostBudget:
    """A budget that all services of a host spend from."""

    def __init__(self, ratio: BudgetRatio) -> None:
        self._budget = Budget(ratio)
        self._lock = threading.Lock()

    def count_request(self, now_s: float) -> None:
        """Count a sub-request of any service."""
        with self._lock:
            self._budget.count_request(now_s)

    def try_spend(self, now_s: float, minimum: int = 0) -> bool:
        """Take one extra sub-request, when the budget has one left."""
        with self._lock:
            return self._budget.try_spend(now_s, minimum)


@attrs.frozen
class ExtraBudget:
    """What one service may spend of its host's budget.

    The host's budget bounds the extra load; the service's own budget
    keeps one bad service from spending all of it.
    """

    own: Budget
    host: HostBudget

    def count_request(self, now_s: float) -> None:
        """Count a sub-request that is the first for its shards."""
        self.own.count_request(now_s)
        self.host.count_request(now_s)

    def try_spend(self, now_s: float, minimum: int = 0) -> bool:
        """Take one extra sub-request, when both budgets have one left."""
        if not self.own.may_spend(now_s, minimum):
            return False
        if not self.host.try_spend(now_s, minimum):
            return False
        self.own.spend(now_s)
        return True


@attrs.frozen
class Backoff:
    """Exponential delays with jitter, seconds."""

    rng: random.Random
    base_s: float = 0.002
    maximum_s: float = 0.05

    def delay_s(self, retries: int) -> float:
        """Return the delay before the retry of that number, from 0."""
        longest_s = min(self.maximum_s, self.base_s * 2.0**retries)
        return longest_s * self.rng.uniform(0.5, 1.0)
