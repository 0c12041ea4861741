"""corianderport_tier.process.service_budgets

What one service may spend on hedges, probes and retries.
"""

from corianderport_tier.process import budgets

__all__ = ['ServiceBudgets', 'host_budget']

# Extra sub-requests add load; retries of what was not run do not.
_HOST_EXTRA = budgets.BudgetRatio(0.05)
_SERVICE_EXTRA = budgets.BudgetRatio(0.25, minimum=2)
_RETRIES = budgets.BudgetRatio(0.2, minimum=10)
_PROBES_MINIMUM = 2
_TIMEOUTS_MINIMUM = 8


def host_budget() -> budgets.HostBudget:
    """Return the budget of one host for extra sub-requests."""
    return budgets.HostBudget(_HOST_EXTRA)


class ServiceBudgets:
    """The budgets of one service; guarded by its lock.

    :param host: what all services of the host share.
    """

    def __init__(self, host: budgets.HostBudget | None) -> None:
        self._extra = budgets.ExtraBudget(
            budgets.Budget(_SERVICE_EXTRA), host or host_budget()
        )
        self._retries = budgets.Budget(_RETRIES)

    def count_request(self, now_s: float) -> None:
        """Count a sub-request that the budgets are a share of."""
        self._extra.count_request(now_s)
        self._retries.count_request(now_s)

    def try_hedge(self, now_s: float) -> bool:
        """Whether a hedge is allowed."""
        return self._extra.try_spend(now_s)

    def try_probe(self, now_s: float) -> bool:
        """Whether a probe is allowed."""
        return self._extra.try_spend(now_s, _PROBES_MINIMUM)

    def try_retry_running(self, now_s: float) -> bool:
        """Whether a retry of what may be running is allowed."""
        return self._extra.try_spend(now_s, _TIMEOUTS_MINIMUM)

    def try_retry(self, now_s: float) -> bool:
        """Whether a retry of what was not run is allowed."""
        return self._retries.try_spend(now_s)
