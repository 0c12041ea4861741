"""corianderport_tier.process.slow_start

The limit of concurrent requests to one searcher while it warms up.
"""

import attrs

__all__ = ['LOWEST_LIMIT', 'SlowStart']

LOWEST_LIMIT = 1

# A cold searcher that is sent a second request falls over, and nothing
# reports that it is warm, so that the lowest limit needs many successes
# over a minimum time.
_LOWEST_SUCCESSES = 20
_LOWEST_DWELL_S = 1.0
_SUCCESSES_PER_LIMIT = 8
_DWELL_S = 0.25
_SHED_WINDOW_S = 1.0


@attrs.define
class SlowStart:
    """Limit that starts at 1, doubles after successes, and falls again.

    ``slots`` is the highest limit: above it a searcher sheds.
    """

    slots: int
    incarnation: str = ''
    _limit: int = LOWEST_LIMIT
    _suspect: bool = False
    _successes: int = 0
    _since_s: float | None = None
    _shed_s: float | None = None

    @property
    def limit(self) -> int:
        """How many requests may be at the searcher now."""
        if self._suspect:
            return LOWEST_LIMIT
        return min(self._limit, max(self.slots, LOWEST_LIMIT))

    @property
    def lowest(self) -> bool:
        """Whether the searcher is treated as cold."""
        return self._limit == LOWEST_LIMIT

    @property
    def suspected(self) -> bool:
        """Whether the searcher may have been restarted."""
        return self._suspect

    def observe_incarnation(self, incarnation: str) -> bool:
        """Take the incarnation of a reply; True when it is a new one."""
        if not incarnation:
            return False
        self._suspect = False
        if incarnation == self.incarnation:
            return False
        self.incarnation = incarnation
        self.start_over()
        return True

    def suspect(self) -> None:
        """Use the lowest limit until a reply shows the incarnation.

        A connection that ended may mean that the searcher was restarted.
        """
        self._suspect = True

    def on_success(self, now_s: float) -> None:
        """Count an answer with a usual latency."""
        if self._limit >= self.slots:
            return
        if self._since_s is None:
            self._since_s = now_s
        self._successes += 1
        if self._successes < self._needed():
            return
        if now_s - self._since_s >= self._dwell_s():
            self._set(min(self.slots, 2 * self._limit))

    def on_slow(self) -> None:
        """Start counting again after an answer with a high latency."""
        self._set(self._limit)

    def on_shed(self, now_s: float) -> None:
        """Halve the limit; start over at a second refusal soon after."""
        again = (
            self._shed_s is not None and now_s - self._shed_s < _SHED_WINDOW_S
        )
        self._shed_s = now_s
        if again:
            self.start_over()
        else:
            self._set(max(LOWEST_LIMIT, self.limit // 2))

    def start_over(self) -> None:
        """Treat the searcher as cold."""
        self._set(LOWEST_LIMIT)

    def _needed(self) -> int:
        if self.lowest:
            return _LOWEST_SUCCESSES
        return _SUCCESSES_PER_LIMIT * self._limit

    def _dwell_s(self) -> float:
        return _LOWEST_DWELL_S if self.lowest else _DWELL_S

    def _set(self, limit: int) -> None:
        self._limit = limit
        self._successes = 0
        self._since_s = None
