"""corianderport_tier.process.extra_shares

Share of each workspace in a service's budget of extra sends.
"""

import attrs

from corianderport_tier.process import budgets

__all__ = ['ExtraShares']

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
