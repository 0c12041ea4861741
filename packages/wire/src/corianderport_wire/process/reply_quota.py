"""corianderport_wire.process.reply_quota

Limits what the responses of all searchers together cost a host.
"""

from corianderport_tier import clocks
from corianderport_tier.process import token_bucket

__all__ = ['ReplyQuota']

# Bytes held in memory until a response is complete: a small part of the
# smallest host's memory.
_BURST_BYTES = 33_554_432
_BYTES_S = 8_388_608
# A read takes about 20 microseconds.
_BURST_READS = 20_000
_READS_S = 10_000


class ReplyQuota:
    """Bytes and reads beyond those of usual responses, for all connections."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._bytes = token_bucket.TokenBucket(clock, _BYTES_S, _BURST_BYTES)
        self._reads = token_bucket.TokenBucket(clock, _READS_S, _BURST_READS)

    def try_spend(self, size_bytes: int) -> bool:
        """Account for one read; return False if the quota is spent."""
        return self._reads.try_spend(1) and self._bytes.try_spend(size_bytes)
