"""corianderport_tier.process.extra_shares

A service's budget of extra sends, and the share of each workspace in it.
"""

import random

import attrs

from corianderport_tier.process import budgets
from corianderport_tier.process import fleet_share

__all__ = ['ExtraSends', 'ExtraShares']

# Part of the slack that one workspace leaves to the others.
_LEFT_TO_OTHERS = 0.25
# A workspace may spend this many in a window in any case, as the slack of a
# host in a large fleet is about one send.
_LEAST_SLACK = 1.0


@attrs.define
class _Share:
    budget: budgets.Budget
    seen_s: float


class ExtraShares:
    """Budgets of workspaces; guarded by the lock of the service.

    They only restrict further what the budget of the service permits.

    :param window_s: length of the window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._shares: dict[str, _Share] = {}
        self._pruned_s = float('-inf')

    @property
    def size(self) -> int:
        """Number of workspaces with a budget."""
        return len(self._shares)

    def count_request(self, workspace: str | None, now_s: float) -> None:
        """Count the first send of a request."""
        if workspace is None:
            return
        if now_s - self._pruned_s >= self._window_s:
            self._prune(now_s)
        share = self._shares.get(workspace)
        if share is None:
            budget = budgets.Budget(budgets.BudgetRatio(0.0), self._window_s)
            share = self._shares[workspace] = _Share(budget, now_s)
        share.seen_s = now_s
        share.budget.count_request(now_s)

    def may_spend(
        self, workspace: str | None, ratio: float, slack: float, now_s: float
    ) -> bool:
        """Whether a workspace leaves enough of the budget to the others.

        :param ratio: ratio of the service's budget.
        :param slack: slack of the service's budget.
        """
        share = self._shares.get(workspace) if workspace is not None else None
        if share is None or not self._has_others(share, now_s):
            return True
        share.budget.ratio = budgets.BudgetRatio(ratio)
        own_slack = max(_LEAST_SLACK, (1 - _LEFT_TO_OTHERS) * slack)
        return share.budget.may_spend(now_s, slack=own_slack)

    def spend(self, workspace: str | None, now_s: float) -> None:
        """Count one extra send."""
        share = self._shares.get(workspace) if workspace is not None else None
        if share is not None:
            share.budget.spend(now_s)

    def _has_others(self, share: _Share, now_s: float) -> bool:
        return any(
            other is not share and now_s - other.seen_s < self._window_s
            for other in self._shares.values()
        )

    def _prune(self, now_s: float) -> None:
        self._pruned_s = now_s
        self._shares = {
            name: share
            for name, share in self._shares.items()
            if now_s - share.seen_s < self._window_s
        }


class ExtraSends:
    """Extra sends of one service; guarded by the lock of the service."""

    def __init__(
        self, share: fleet_share.FleetShare, rng: random.Random
    ) -> None:
        self._share = share
        self._budget = self._new_budget()
        self._shares = ExtraShares(self._budget.window_s)
        # In a large fleet the share of a host is one or two sends. Rounding
        # it down on every host would leave much of the bound unused; with a
        # random offset the hosts together use their shares on average.
        self._rounding = rng.random()

    def update(self) -> None:
        """Apply changed bounds."""
        if self._budget.window_s != self._share.extra_window_s:
            self._budget = self._new_budget()
            self._shares = ExtraShares(self._budget.window_s)
        self._budget.ratio = budgets.BudgetRatio(self._share.extra_ratio)

    def count_request(self, workspace: str | None, now_s: float) -> None:
        """Count the first send of a request."""
        self._budget.count_request(now_s)
        self._shares.count_request(workspace, now_s)

    def permitted(self, now_s: float) -> bool:
        """Whether the slack permits another extra send."""
        return self._budget.may_spend(now_s, slack=self._share.extra_slack)

    def try_spend(
        self, reserve: float, workspace: str | None, now_s: float
    ) -> bool:
        """Spend one extra send of a workspace if it has one left.

        :param reserve: fraction of the slack that must remain.
        """
        slack = self._share.extra_slack * (1 - reserve) + self._rounding
        ratio = self._budget.ratio.ratio
        if not self._shares.may_spend(workspace, ratio, slack, now_s):
            return False
        if not self._budget.try_spend(now_s, slack=slack):
            return False
        self._shares.spend(workspace, now_s)
        return True

    def _new_budget(self) -> budgets.Budget:
        return budgets.Budget(
            budgets.BudgetRatio(self._share.extra_ratio),
            self._share.extra_window_s,
        )
