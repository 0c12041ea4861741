"""corianderport_tier.request.gather_progress

How many parts of a request have answered, and what the next decision needs.
"""

import math

import attrs

__all__ = ['GatherProgress']

# Once this fraction of the parts has answered, hedges for the others may use
# the whole hedging budget, since the others delay the response.
_LATE_HEDGE_FRACTION = 0.7


@attrs.frozen
class GatherProgress:
    """Counts of a request's parts.

    :param total: services that the request is for, known or not.
    :param parts: services among them that are known.
    :param min_coverage: least fraction of ``total`` for an answer.
    """

    total: int
    parts: int
    answered: int
    pending: int
    min_coverage: float

    @property
    def enough(self) -> bool:
        """Whether the parts that have answered make an answer."""
        return (
            self.answered > 0
            and self.answered >= self.min_coverage * self.total
        )

    @property
    def out_of_reach(self) -> bool:
        """Whether too few parts are left for an answer."""
        possible = self.answered + self.pending
        return possible < self.min_coverage * self.total

    @property
    def lacking(self) -> int:
        """Parts that must still answer before there is an answer."""
        needed = math.ceil(self.min_coverage * self.total)
        return max(0, max(1, needed) - self.answered)

    @property
    def among_last(self) -> bool:
        """Whether the answer waits only for a few parts."""
        return self.answered >= _LATE_HEDGE_FRACTION * self.parts

    def awaited_replies(self, goal_reached: bool, hedge_denied: bool) -> int:
        """Return how many successful replies the next decision needs.

        :param goal_reached: whether an answer is due as soon as enough
            parts are in.
        :param hedge_denied: whether a hedge waits for its part to be among
            the last.
        """
        awaited = self.pending
        if goal_reached:
            awaited = min(awaited, self.lacking)
        if hedge_denied and not self.among_last:
            late = math.ceil(_LATE_HEDGE_FRACTION * self.parts)
            awaited = min(awaited, late - self.answered)
        return max(1, awaited)
