"""corianderport_tier.process.quota_retries

Spreads the callers that are refused until owners of a quota grant tokens.
"""

import random

from corianderport_tier.version import workspaces

__all__ = ['QuotaRetries']

# Shortest delay; owners that grant nothing yet are not asked again earlier.
_MIN_RETRY_S = 0.25
# Callers of each lower priority come back later by this time, and those of
# one workspace within the spread. Callers have little time left after that.
_RANK_STEP_S = 0.25
_MAX_RANK = 3
_SPREAD_S = 1.0


class QuotaRetries:
    """Retry delays of one workspace; the caller synchronizes access."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._promised_s = float('-inf')

    def retry_after_s(
        self,
        workspace: workspaces.Workspace,
        wait_s: float,
        hosts: int,
        now_s: float,
    ) -> float:
        """Return the delay for one more refused request.

        Over all hosts, the requests then come back about as fast as the
        owners gain tokens. Requests beyond the spread start again at its
        beginning.

        :param wait_s: time after which the owners may grant tokens.
        :param hosts: number of hosts that refuse requests.
        """
        rank = min(workspace.rank, _MAX_RANK)
        begin_s = now_s + max(_MIN_RETRY_S, wait_s) + rank * _RANK_STEP_S
        interval_s = min(_SPREAD_S, hosts / workspace.rate_per_s)
        if not begin_s <= self._promised_s < begin_s + _SPREAD_S:
            # Hosts begin with different delays.
            self._promised_s = begin_s + self._rng.uniform(0, interval_s)
        due_s = self._promised_s
        self._promised_s += interval_s
        return due_s - now_s
