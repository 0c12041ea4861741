"""corianderport_tier.request.deadlines

The point in time by which a request must be answered.
"""

import attrs

from corianderport_tier import clocks

__all__ = ['Deadline']


@attrs.frozen(order=True)
class Deadline:
    """A point on the host's monotonic clock, in seconds."""

    at_s: float

    @classmethod
    def after(cls, clock: clocks.Clock, seconds: float) -> 'Deadline':
        """Return the deadline that many seconds from now."""
        return cls(clock.monotonic() + seconds)

    def remaining(self, clock: clocks.Clock) -> float:
        """Return the seconds left, 0 when it has passed."""
        return max(0.0, self.at_s - clock.monotonic())

    def passed(self, clock: clocks.Clock) -> bool:
        """Whether no time is left."""
        return clock.monotonic() >= self.at_s

    def within(self, clock: clocks.Clock, milliseconds: float) -> 'Deadline':
        """Return this deadline, or the one that long from now if sooner."""
        return min(self, Deadline.after(clock, milliseconds / 1e3))

    def earlier(self, seconds: float) -> 'Deadline':
        """Return a deadline that many seconds before this one."""
        return Deadline(self.at_s - seconds)
