"""corianderport_tier.process.quota_account

What a host holds and knows of the quota of one workspace.
"""

import collections
import math
import threading

import attrs

from corianderport_tier.process import quota_retries

__all__ = ['QuotaAccount', 'QuotaToken']

# Time constant of the recent rate of requests.
_RATE_TIME_S = 1.0
# Tokens are requested for the requests expected within this time.
_AHEAD_S = 0.25


@attrs.frozen
class QuotaToken:
    """Permits one request until ``expires_s`` of the monotonic clock."""

    workspace: str
    expires_s: float


class QuotaAccount:
    """Tokens of one workspace and what its owners have replied.

    The caller holds ``condition``, except for the attributes that only the
    asking task uses.

    :param first_owner: position of the owner to ask first.
    :param retries: delays of requests that are refused after a start.
    """

    def __init__(
        self,
        workspace: str,
        first_owner: int,
        now_s: float,
        retries: quota_retries.QuotaRetries,
    ) -> None:
        self.name = workspace
        self.retries = retries
        self.condition = threading.Condition()
        # Whether a task asks the owners, and how many wait for tokens.
        self.asking = False
        self.waiting = 0
        self.used_s = now_s
        # Until when the owners have no token, and until when none is asked
        # because none could be reached.
        self.refused_until_s = -math.inf
        self.unreachable_until_s = -math.inf
        # Whether owners have just started and grant nothing yet.
        self.pending = False
        self._tokens: collections.deque[float] = collections.deque()
        self._rate = 0.0
        self._rate_s = now_s
        # Used by the asking task only: the owner to ask first, the time at
        # which an owner that had too few tokens has one again, and the
        # first hosts in the order of the hosts in ``names``.
        self.next_owner = first_owner
        self.empty_until_s: dict[str, float] = {}
        self.names: tuple[str, ...] = ()
        self.first_hosts: tuple[str, ...] = ()

    @property
    def wanted(self) -> int:
        """Number of tokens for the requests that wait or are expected."""
        return max(self.waiting, 1 + int(self._rate * _AHEAD_S))

    def count_request(self, now_s: float) -> None:
        """Include a request in the recent rate."""
        self.used_s = now_s
        decay = math.exp(-max(0.0, now_s - self._rate_s) / _RATE_TIME_S)
        self._rate = self._rate * decay + 1 / _RATE_TIME_S
        self._rate_s = now_s

    def take(self, now_s: float) -> QuotaToken | None:
        """Take a token that has not expired, None if there is none."""
        while self._tokens:
            expires_s = self._tokens.popleft()
            if expires_s > now_s:
                return QuotaToken(self.name, expires_s)
        return None

    def held(self, now_s: float) -> int:
        """Return the number of tokens that have not expired."""
        return sum(expires_s > now_s for expires_s in self._tokens)

    def add(self, tokens: int, expires_s: float) -> None:
        """Add granted tokens."""
        self._tokens.extend([expires_s] * tokens)

    def give_back(self, token: QuotaToken) -> None:
        """Add a token that its request has not used."""
        self._tokens.appendleft(token.expires_s)
