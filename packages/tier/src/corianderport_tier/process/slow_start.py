"""corianderport_tier.process.slow_start

Limit of concurrent requests to one searcher while it warms up.
"""

import attrs

__all__ = ['LOWEST_LIMIT', 'SlowStart']

LOWEST_LIMIT = 1

# A second concurrent request overloads a cold searcher, and searchers do not
# report when they are warm. Raising the lowest limit therefore takes many
# successes over a minimum time.
_LOWEST_SUCCESSES = 20
_LOWEST_DWELL_S = 1.0
_SUCCESSES_PER_LIMIT = 8
_DWELL_S = 0.25
_SHED_WINDOW_S = 1.0


@attrs.define
class SlowStart:
    """Concurrency limit that starts at 1 and doubles after successes.

    Refusals and restarts lower it. ``slots`` is the maximum: beyond it a
    searcher sheds requests.
    """

    slots: int
    incarnation: str = ''
    _limit: int = LOWEST_LIMIT
    _restart_suspected: bool = False
    _successes: int = 0
    _first_success_s: float | None = None
    _last_shed_s: float | None = None

    @property
    def limit(self) -> int:
        """Maximum number of concurrent requests at the searcher now."""
        if self._restart_suspected:
            return LOWEST_LIMIT
        return min(self._limit, max(self.slots, LOWEST_LIMIT))

    @property
    def lowest(self) -> bool:
        """Whether the searcher is treated as cold."""
        return self._limit == LOWEST_LIMIT

    @property
    def restart_suspected(self) -> bool:
        """Whether the searcher is suspected to have been restarted."""
        return self._restart_suspected

    def observe_incarnation(self, incarnation: str) -> bool:
        """Process the incarnation in a reply; return True if it is new."""
        if not incarnation:
            return False
        self._restart_suspected = False
        if incarnation == self.incarnation:
            return False
        self.incarnation = incarnation
        self.start_over()
        return True

    def suspect_restart(self) -> None:
        """Use the lowest limit until a reply contains an incarnation.

        A closed connection may mean that the searcher was restarted.
        """
        self._restart_suspected = True

    def on_success(self, now_s: float) -> None:
        """Count a reply with normal latency."""
        if self._limit >= self.slots:
            return
        if self._first_success_s is None:
            self._first_success_s = now_s
        self._successes += 1
        if self._successes < self._required_successes():
            return
        if now_s - self._first_success_s >= self._dwell_s():
            self._set_limit(min(self.slots, 2 * self._limit))

    def on_slow(self) -> None:
        """Restart the count of successes after a reply with high latency."""
        self._set_limit(self._limit)

    def on_shed(self, now_s: float) -> None:
        """Halve the limit; on a second refusal soon after, reset it."""
        again = (
            self._last_shed_s is not None
            and now_s - self._last_shed_s < _SHED_WINDOW_S
        )
        self._last_shed_s = now_s
        if again:
            self.start_over()
        else:
            self._set_limit(max(LOWEST_LIMIT, self.limit // 2))

    def start_over(self) -> None:
        """Reset to the lowest limit, as for a cold searcher."""
        self._set_limit(LOWEST_LIMIT)

    def _required_successes(self) -> int:
        if self.lowest:
            return _LOWEST_SUCCESSES
        return _SUCCESSES_PER_LIMIT * self._limit

    def _dwell_s(self) -> float:
        return _LOWEST_DWELL_S if self.lowest else _DWELL_S

    def _set_limit(self, limit: int) -> None:
        self._limit = limit
        self._successes = 0
        self._first_success_s = None
