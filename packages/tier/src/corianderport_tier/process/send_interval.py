"""corianderport_tier.process.send_interval

Mean time between the sends of this host to one service.
"""

__all__ = ['SendInterval']

# Weight of the latest interval in the moving average.
_WEIGHT = 0.2
# A longer interval says nothing about the traffic that follows it.
_MAX_INTERVAL_S = 5.0


class SendInterval:
    """Moving average of the intervals; guarded by its service's lock."""

    def __init__(self) -> None:
        self._last_s: float | None = None
        self._mean_s = 0.0

    @property
    def mean_s(self) -> float:
        """Mean interval in seconds, 0 before the second send."""
        return self._mean_s

    def record(self, now_s: float) -> None:
        """Record a send."""
        if self._last_s is not None:
            interval_s = min(_MAX_INTERVAL_S, now_s - self._last_s)
            if self._mean_s:
                interval_s = self._mean_s + _WEIGHT * (
                    interval_s - self._mean_s
                )
            self._mean_s = interval_s
        self._last_s = now_s
