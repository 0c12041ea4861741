"""corianderport_tier.process.caller_refusals

Decides after which time a refused caller may try again.
"""

import random

__all__ = ['CallerRefusals']

# Most reasons to refuse a connection have passed within a second. The range
# spreads the attempts of callers that are refused together.
_RETRY_AFTER_RANGE_S = (0.2, 1.0)


class CallerRefusals:
    """Refusals of connections and requests for want of room."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def retry_after_s(self) -> float:
        """Return a time that differs between callers, in seconds."""
        return self._rng.uniform(*_RETRY_AFTER_RANGE_S)
