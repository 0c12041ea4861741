"""corianderport_tier.process.link_budget

Limits the part of a host's network link that transfers to other hosts use.
"""

from corianderport_tier import clocks

__all__ = ['LinkBudget']

# The rest of the link is left to callers and searchers.
_MAX_SHARE = 0.2
# Responses to callers wait behind a burst for at most this time.
_MAX_BURST_S = 0.1


class LinkBudget:
    """Token bucket of bytes; used under the lock of its owner.

    :param link_bytes_s: capacity of the link in bytes per second.
    """

    def __init__(self, clock: clocks.Clock, link_bytes_s: float) -> None:
        self._clock = clock
        self._rate_bytes_s = _MAX_SHARE * link_bytes_s
        self._burst_bytes = _MAX_BURST_S * link_bytes_s
        self._available_bytes = self._burst_bytes
        self._refilled_s = clock.monotonic()

    def try_spend(self, size_bytes: int) -> bool:
        """Take the bytes of a transfer if enough are available."""
        now_s = self._clock.monotonic()
        refill = self._rate_bytes_s * (now_s - self._refilled_s)
        self._refilled_s = now_s
        self._available_bytes = min(
            self._burst_bytes, self._available_bytes + refill
        )
        if size_bytes > self._available_bytes:
            return False
        self._available_bytes -= size_bytes
        return True
