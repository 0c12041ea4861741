"""corianderport_tier.process.token_bucket

Thread-safe token bucket, which limits a rate and its bursts.
"""

import threading

from corianderport_tier import clocks

__all__ = ['TokenBucket']


class TokenBucket:
    """Permits ``burst`` tokens at once and ``rate`` tokens a second.

    :param rate: tokens that are added per second.
    :param burst: maximum number of tokens that can be saved up.
    """

    def __init__(self, clock: clocks.Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._lock = threading.Lock()
        self._tokens = burst
        self._refilled_s = clock.monotonic()

    def try_spend(self, tokens: float) -> bool:
        """Take tokens if enough are available."""
        with self._lock:
            now_s = self._clock.monotonic()
            refill = self._rate * (now_s - self._refilled_s)
            self._refilled_s = now_s
            self._tokens = min(self._burst, self._tokens + refill)
            if tokens > self._tokens:
                return False
            self._tokens -= tokens
            return True
