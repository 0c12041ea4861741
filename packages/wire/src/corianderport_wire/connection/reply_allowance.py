"""corianderport_wire.connection.reply_allowance

Limits the bytes and reads of the responses to one request.
"""

import typing

from corianderport_tier import errors
from corianderport_tier.process import byte_budget

__all__ = ['Quota', 'ReplyAllowance']

# Heads, framing and surplus bytes.
_MAX_OVERHEAD_BYTES = 131_072
# Chunks of a body must be this much larger than their framing on average.
_MIN_BODY_PER_FRAMING = 16
_MAX_READS = 1_024
_MIN_BYTES_PER_READ = 256
# Usual responses stay below both and do not use the quota of the host.
_FREE_BYTES = 65_536
_FREE_READS = 64
# A buffer grows in steps of an eighth of its size.
_BUFFER_GROWTH = 8


class Quota(typing.Protocol):
    """Limit that all connections of a host share."""

    def try_spend(self, size_bytes: int) -> bool:
        """Account for one read; return False if the quota is spent."""


class ReplyAllowance:
    """Counts the bytes and reads of one exchange.

    :param quota: limit for all connections of the host; None for no limit.
    :param budget: memory of the responses that arrive on all connections;
        None for no limit.
    """

    def __init__(
        self,
        quota: Quota | None = None,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        self._quota = quota
        self._budget = budget
        self._held = 0
        self._bytes = 0
        self._body_bytes = 0
        self._reads = 0

    def count_read(self, size_bytes: int) -> None:
        """Count received bytes before they are parsed.

        :raises ReplyInvalid: the response takes too many reads, or the quota
            or the memory of the host is used up.
        """
        self._bytes += size_bytes
        self._reads += 1
        if self._reads > _MAX_READS + self._bytes // _MIN_BYTES_PER_READ:
            raise errors.ReplyInvalid('response in too many pieces')
        self._hold(size_bytes)
        usual = self._bytes <= _FREE_BYTES and self._reads <= _FREE_READS
        if self._quota is None or usual:
            return
        if not self._quota.try_spend(size_bytes):
            raise errors.ReplyInvalid(
                'responses of all searchers are too large'
            )

    def release(self) -> None:
        """Release the memory at the end of the exchange."""
        if self._budget is not None and self._held:
            self._budget.release(self._held)
            self._held = 0

    def count_body(self, size_bytes: int) -> None:
        """Count bytes that belong to a body."""
        self._body_bytes += size_bytes

    def check_overhead(self) -> None:
        """Check the bytes that belong to no body.

        :raises ReplyInvalid: there are too many.
        """
        overhead = self._bytes - self._body_bytes
        allowed = self._body_bytes // _MIN_BODY_PER_FRAMING
        if overhead > _MAX_OVERHEAD_BYTES + allowed:
            raise errors.ReplyInvalid('response head is too large')

    def _hold(self, size_bytes: int) -> None:
        if self._budget is None:
            return
        amount = size_bytes + size_bytes // _BUFFER_GROWTH
        if not self._budget.charge(amount, self._held):
            raise errors.ReplyInvalid(
                'responses of all searchers hold too much memory'
            )
        self._held += amount
