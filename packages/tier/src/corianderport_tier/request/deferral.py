"""corianderport_tier.request.deferral

Whether a gather leaves out a part for now.
"""

from corianderport_tier import clocks
from corianderport_tier.request import deadlines

__all__ = ['is_late']

# A part is deferred if its reply is expected after this fraction of the time
# until the deadline. With replies after the goal alone, gathers of ten parts
# left out a service whose searchers were merely slow at times, which cost
# callers more than it saved.
_DEFER_FRACTION = 0.5


def is_late(
    reply_s: float | None, deadline: deadlines.Deadline, clock: clocks.Clock
) -> bool:
    """Whether a reply is expected too late to send its request now.

    :param reply_s: expected seconds until the reply, None if unknown.
    """
    if reply_s is None:
        return False
    return reply_s > _DEFER_FRACTION * deadline.remaining(clock)
