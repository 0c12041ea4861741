"""corianderport_tier.process.service_budgets

Budgets of one service for hedges, probes and retries.
"""

from corianderport_tier.process import budgets

__all__ = ['ServiceBudgets', 'host_budget']

# Hedges, probes and retries of requests that may be running add load; retries
# of requests that did not run do not.
_HOST_EXTRA = budgets.BudgetRatio(0.05)
_SERVICE_EXTRA = budgets.BudgetRatio(0.25, minimum=2)
_RETRIES = budgets.BudgetRatio(0.2, minimum=10)
_PROBES_MINIMUM = 2
_TIMEOUTS_MINIMUM = 8


def host_budget() -> budgets.HostBudget:
    """Return a host's budget for extra sub-requests."""
    return budgets.HostBudget(_HOST_EXTRA)


class ServiceBudgets:
    """Budgets of one service; guarded by the service's lock.

    :param shared_budget: budget shared by all services of the host.
    """

    def __init__(self, shared_budget: budgets.HostBudget | None) -> None:
        self._extra = budgets.ExtraBudget(
            budgets.Budget(_SERVICE_EXTRA), shared_budget or host_budget()
        )
        self._retries = budgets.Budget(_RETRIES)

    def count_request(self, now_s: float) -> None:
        """Count a regular sub-request; the budgets are a fraction of these."""
        self._extra.count_request(now_s)
        self._retries.count_request(now_s)

    def try_hedge(self, now_s: float) -> bool:
        """Spend on a hedge; False if the budget is exhausted."""
        return self._extra.try_spend(now_s)

    def try_probe(self, now_s: float) -> bool:
        """Spend on a probe; False if the budget is exhausted."""
        return self._extra.try_spend(now_s, _PROBES_MINIMUM)

    def try_retry_running(self, now_s: float) -> bool:
        """Spend on a retry of a request that may be running."""
        return self._extra.try_spend(now_s, _TIMEOUTS_MINIMUM)

    def try_retry(self, now_s: float) -> bool:
        """Spend on a retry of a request that did not run."""
        return self._retries.try_spend(now_s)
