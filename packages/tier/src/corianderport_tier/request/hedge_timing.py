"""corianderport_tier.request.hedge_timing

When to consider a hedge of one part of a request.
"""

from corianderport_tier import clocks
from corianderport_tier.process import route_latency
from corianderport_tier.request import deadlines
from corianderport_tier.request import forward_send

__all__ = ['HedgeTiming']

# Minimum hedge delay as a multiple of the route's median latency, for routes
# whose latencies vary little.
_MIN_HEDGE_DELAY_RATIO = 1.3
# A hedge leaves this multiple of the median latency until the goal, in which
# nearly all replies to it arrive. An earlier one would often repeat a request
# that is answered in time, at the expense of requests with less time.
_GOAL_RESERVE_RATIO = 2.5


class HedgeTiming:
    """Timing of the hedge that follows the latest send of a part.

    :param goal: latest time of a response with full worth.
    """

    def __init__(
        self,
        latency: route_latency.RouteLatency,
        goal: deadlines.Deadline,
        clock: clocks.Clock,
    ) -> None:
        self._latency = latency
        self._goal = goal
        self._clock = clock
        # Seconds from the latest send to a hedge; None if none is to follow.
        self._after_s: float | None = None
        # Whether a due hedge was left out to spare the budget.
        self.denied = False

    def start(self) -> None:
        """Let a hedge follow the send that starts now."""
        median_s = self._latency.median_s
        spare_s = (
            self._goal.remaining(self._clock) - _GOAL_RESERVE_RATIO * median_s
        )
        self._after_s = max(
            self._latency.hedge_after_s,
            _MIN_HEDGE_DELAY_RATIO * median_s,
            spare_s,
        )

    def stop(self) -> None:
        """Let no hedge follow until the next send."""
        self._after_s = None
        self.denied = False

    def due_s(self, latest: forward_send.SendAttempt) -> float | None:
        """Return when to consider a hedge; None if none is to follow.

        :param latest: the latest send.
        """
        if self._after_s is None:
            return None
        if latest.sent_s is not None:
            return latest.sent_s + self._after_s
        # The attempt waits for this host, or for a connection that may never
        # open: look again once it is late if sent at once, then hedge.
        at_s = latest.started_s + self._after_s
        if self._clock.monotonic() >= at_s:
            at_s += self._after_s
        return at_s
