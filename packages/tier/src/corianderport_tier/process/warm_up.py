"""corianderport_tier.process.warm_up

Limits the request rate of a cold searcher.
"""

import collections

import attrs

__all__ = ['WarmUp']

_WINDOW_S = 1.0
# Requests sent a second apart may arrive less than a second apart.
_JITTER_S = 0.1


@attrs.define
class WarmUp:
    """Tracks until when a searcher is cold, and its recent requests."""

    _cold_until_s: float = float('-inf')
    _sent_s: collections.deque[float] = attrs.Factory(collections.deque)

    def is_cold(self, now_s: float) -> bool:
        """Whether the searcher can handle only a low request rate now."""
        return now_s < self._cold_until_s

    def set_cold(self, until_s: float) -> None:
        """Treat the searcher as cold until the given time."""
        self._cold_until_s = max(self._cold_until_s, until_s)

    def may_send(self, now_s: float, rate: int) -> bool:
        """Whether one more request may be sent.

        :param rate: maximum number of requests from this host per second.
        """
        if not self.is_cold(now_s):
            return True
        self._expire(now_s)
        return len(self._sent_s) < rate

    def record_send(self, now_s: float) -> None:
        """Record a request that was sent."""
        self._expire(now_s)
        self._sent_s.append(now_s)

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - _WINDOW_S - _JITTER_S
        while self._sent_s and self._sent_s[0] <= oldest_s:
            self._sent_s.popleft()
