"""corianderport_tier.request.deadlines

Deadlines of requests.
"""

import attrs

from corianderport_tier import clocks

__all__ = ['Deadline']


@attrs.frozen(order=True)
class Deadline:
    """Point in time by which a request must be answered.

    ``at_s`` is in seconds of the host's monotonic clock.
    """

    at_s: float

    @classmethod
    def after(cls, clock: clocks.Clock, seconds: float) -> 'Deadline':
        """Return the deadline ``seconds`` from now."""
        return cls(clock.monotonic() + seconds)

    def remaining(self, clock: clocks.Clock) -> float:
        """Return the seconds until the deadline, 0 if it has passed."""
        return max(0.0, self.at_s - clock.monotonic())

    def passed(self, clock: clocks.Clock) -> bool:
        """Whether the deadline has passed."""
        return clock.monotonic() >= self.at_s

    def within(self, clock: clocks.Clock, milliseconds: float) -> 'Deadline':
        """Return the earlier of this and ``milliseconds`` from now."""
        return min(self, Deadline.after(clock, milliseconds / 1e3))

    def earlier(self, seconds: float) -> 'Deadline':
        """Return the deadline ``seconds`` before this one."""
        return Deadline(self.at_s - seconds)
