"""corianderport_tier.process.budgets

Budgets for extra sub-requests, and the backoff before a retry.

Extra sub-requests are hedges, probes and retries.
"""

import collections
import random
import threading

import attrs

__all__ = ['Backoff', 'Budget', 'BudgetRatio', 'ExtraBudget', 'HostBudget']

_WINDOW_S = 10.0
_BUCKET_COUNT = 10


@attrs.frozen
class BudgetRatio:
    """Limits on the extra sub-requests in a window.

    ``ratio`` is the permitted number of extra sub-requests for each
    counted sub-request; ``minimum`` extra ones are permitted in any case.
    """

    ratio: float
    minimum: int = 0


@attrs.define
class _Bucket:
    """Counted and extra sub-requests in one part of the window."""

    number: int
    requests: int = 0
    spent: int = 0


class Budget:
    """Budget of extra sub-requests in a sliding window.

    :param window_s: length of the window in seconds.
    """

    def __init__(
        self, ratio: BudgetRatio, window_s: float = _WINDOW_S
    ) -> None:
        self.ratio = ratio
        self.window_s = window_s
        self._buckets: collections.deque[_Bucket] = collections.deque()

    def count_request(self, now_s: float) -> None:
        """Count a sub-request that is the first one for its shards."""
        self._bucket(now_s).requests += 1

    def try_spend(
        self, now_s: float, minimum: int = 0, slack: float = 0.0
    ) -> bool:
        """Spend one extra sub-request if the budget permits it.

        :param minimum: extra sub-requests that are permitted in a window
            regardless of the ratio.
        :param slack: extra sub-requests that are permitted in a window in
            addition to the ratio.
        """
        if not self.may_spend(now_s, minimum, slack):
            return False
        self.spend(now_s)
        return True

    def may_spend(
        self, now_s: float, minimum: int = 0, slack: float = 0.0
    ) -> bool:
        """Whether the budget permits one extra sub-request."""
        self._bucket(now_s)
        requests = sum(b.requests for b in self._buckets)
        spent = sum(b.spent for b in self._buckets)
        allowed = max(self.ratio.ratio * requests, self.ratio.minimum, minimum)
        return spent + 1 <= allowed + slack

    def spend(self, now_s: float) -> None:
        """Count one extra sub-request."""
        self._bucket(now_s).spent += 1

    def _bucket(self, now_s: float) -> _Bucket:
        number = int(now_s * _BUCKET_COUNT // self.window_s)
        buckets = self._buckets
        while buckets and buckets[0].number <= number - _BUCKET_COUNT:
            buckets.popleft()
        if not buckets or buckets[-1].number < number:
            buckets.append(_Bucket(number))
        return buckets[-1]


class HostBudget:
    """A thread-safe budget that all services of a host share."""

    def __init__(self, ratio: BudgetRatio) -> None:
        self._budget = Budget(ratio)
        self._lock = threading.Lock()

    def count_request(self, now_s: float) -> None:
        """Count a sub-request of any service."""
        with self._lock:
            self._budget.count_request(now_s)

    def try_spend(self, now_s: float, minimum: int = 0) -> bool:
        """Spend one extra sub-request if the budget permits it."""
        with self._lock:
            return self._budget.try_spend(now_s, minimum)


@attrs.frozen
class ExtraBudget:
    """The budget of one service within that of its host.

    The host's budget limits the extra load. The service's own budget
    prevents one failing service from spending all of it.
    """

    service: Budget
    host: HostBudget

    def count_request(self, now_s: float) -> None:
        """Count a sub-request that is the first one for its shards."""
        self.service.count_request(now_s)
        self.host.count_request(now_s)

    def try_spend(self, now_s: float, minimum: int = 0) -> bool:
        """Spend one extra sub-request if both budgets permit it."""
        if not self.service.may_spend(now_s, minimum):
            return False
        if not self.host.try_spend(now_s, minimum):
            return False
        self.service.spend(now_s)
        return True


@attrs.frozen
class Backoff:
    """Exponential backoff with jitter; delays are in seconds."""

    rng: random.Random
    base_s: float = 0.002
    maximum_s: float = 0.05

    def delay_s(self, retries: int) -> float:
        """Return the delay before a retry; the first retry is number 0."""
        longest_s = min(self.maximum_s, self.base_s * 2.0**retries)
        return longest_s * self.rng.uniform(0.5, 1.0)
