"""corianderport_tier.process.quota_bucket

Token bucket of one owner of a workspace's quota.
"""

import attrs

from corianderport_tier.version import workspaces

__all__ = ['MAX_OWNERS', 'QuotaBounds', 'QuotaBucket', 'QuotaShare']

# Maximum number of owners that divide the quota of a workspace.
MAX_OWNERS = 4
# Limits of the time for which a granted token can be used. Below the lower
# one, a token could expire on its way to the host that asked for it.
_MAX_VALID_S = 1.0
_MIN_VALID_S = 0.1
# A refused host asks again within this time, so that it does not miss the
# tokens that the bucket gains meanwhile.
_MAX_RETRY_S = 1.0
# Hosts ask no more often than this for a workspace with a high rate.
_MIN_RETRY_S = 0.02


@attrs.frozen
class QuotaBounds:
    """Bound on the requests of a workspace in any window, over all hosts.

    They may not exceed (rate x window + burst) x (1 + ``excess``) +
    ``slack``. The owners use half of the excess and a quarter of the slack
    in steady state; the rest covers changes of owners.
    """

    window_s: float
    excess: float
    slack: float

    @property
    def valid_s(self) -> float:
        """Time for which a granted token can be used, in seconds.

        The requests of a window use tokens granted in the window or within
        this time before it. With the owners' rate, the tokens of both
        together must not exceed the bound.
        """
        spare_s = self.window_s * self.excess / (2 + self.excess)
        return min(_MAX_VALID_S, max(_MIN_VALID_S, spare_s))

    def saved(self, workspace: workspaces.Workspace) -> float:
        """Return the number of tokens that all owners together may save."""
        return self._growth * workspace.burst + self.slack / 4

    def owners(self, workspace: workspaces.Workspace, hosts: int) -> int:
        """Return the number of owners of a workspace.

        Each owner must be able to save a whole token.

        :param hosts: number of hosts that may be owners.
        """
        whole_tokens = int(self.saved(workspace))
        return max(1, min(MAX_OWNERS, hosts, whole_tokens))

    def share(
        self,
        workspace: workspaces.Workspace,
        owners: int,
        known_fraction: float = 1.0,
    ) -> 'QuotaShare':
        """Return the part of a quota that one owner grants.

        :param known_fraction: fraction of the fleet that the owner counts.
        """
        part = known_fraction / owners
        return QuotaShare(
            rate_per_s=self._growth * workspace.rate_per_s * part,
            saved=max(1.0, self.saved(workspace) * part),
            initial=self.slack / 4 * part,
        )

    @property
    def _growth(self) -> float:
        return 1 + self.excess / 2


@attrs.frozen
class QuotaShare:
    """Part of a workspace's quota that one owner grants.

    ``initial`` is the number of tokens of a new bucket.
    """

    rate_per_s: float
    saved: float
    initial: float


class QuotaBucket:
    """Tokens of one owner; the caller synchronizes access.

    :param credit_s: time for which the new bucket has already gained tokens.
    """

    def __init__(
        self, share: QuotaShare, now_s: float, credit_s: float = 0.0
    ) -> None:
        self._share = share
        self._refilled_s = now_s
        self._tokens = min(
            share.saved, share.initial + share.rate_per_s * credit_s
        )
        # Time of the next token that no refused host has been told yet.
        self._promised_s = now_s

    def add(self, tokens: float) -> None:
        """Add tokens, up to those that may be saved."""
        self._tokens = min(self._share.saved, self._tokens + tokens)

    def take(self, share: QuotaShare, tokens: int, now_s: float) -> int:
        """Take up to a number of tokens; return how many were taken."""
        self._refill(share, now_s)
        taken = max(0, min(tokens, int(self._tokens)))
        self._tokens -= taken
        return taken

    def retry_after_s(self, now_s: float) -> float:
        """Return after which time a refused host may get a token.

        Refused hosts get times one token apart, so that their calls don't
        outnumber the tokens.
        """
        rate = self._share.rate_per_s
        missing_s = max(0.0, 1 - self._tokens) / rate
        due_s = max(self._promised_s, now_s + missing_s)
        # A bucket that is full gains nothing until the next call.
        full_s = max(missing_s, (self._share.saved - self._tokens) / rate)
        latest_s = max(_MIN_RETRY_S, min(_MAX_RETRY_S, full_s))
        self._promised_s = min(due_s, now_s + latest_s) + 1 / rate
        return max(_MIN_RETRY_S, min(due_s - now_s, latest_s), missing_s)

    def _refill(self, share: QuotaShare, now_s: float) -> None:
        # A changed rate does not apply to the time before this call.
        rate = min(share.rate_per_s, self._share.rate_per_s)
        gained = rate * max(0.0, now_s - self._refilled_s)
        self._tokens = min(share.saved, self._tokens + gained)
        self._refilled_s = now_s
        self._share = share
