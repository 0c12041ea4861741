"""corianderport_tier.request.task_hedges

When to hedge the parts of a forwarded request.
"""

import collections.abc

from corianderport_tier.process import route_latency
from corianderport_tier.request import gather_progress
from corianderport_tier.request import part as part_module

__all__ = ['TaskHedges']

# Nearly all replies arrive within this multiple of a route's median latency.
# The parts that a gather lacks so long before its goal are hedged at once.
_COMPLETION_RATIO = 1.5

Part = part_module.Part
Progress = collections.abc.Callable[[], gather_progress.GatherProgress]


class TaskHedges:
    """Timing of the hedges of one request.

    :param parts: the parts of the request; parts may be added later.
    :param gathered: whether the request is answered at its goal without the
        parts that are late.
    """

    def __init__(
        self,
        parts: collections.abc.Sequence[Part],
        latency: route_latency.RouteLatency,
        goal_s: float,
        gathered: bool,
    ) -> None:
        self._parts = parts
        self._latency = latency
        self._goal_s = goal_s
        # Latest time of a hedge whose reply can arrive by the goal.
        self._latest_s = goal_s
        # When to hedge the parts without which a gather would miss its goal;
        # None once this is done.
        self._completion_s: float | None = None
        if gathered:
            median_s = latency.median_s
            self._latest_s -= median_s
            self._completion_s = goal_s - _COMPLETION_RATIO * median_s

    def timers_s(self) -> collections.abc.Iterator[float]:
        """Return the times at which hedges are due."""
        if self._completion_s is not None:
            yield self._completion_s
        for due_s in map(self._due_s, self._parts):
            if due_s is not None:
                yield due_s

    def on_timer(self, now_s: float, progress: Progress) -> None:
        """Send the hedges that are due.

        :param progress: returns the present progress of the parts. It is not
            stored: the request would be part of a reference cycle.
        """
        self._hedge_due(now_s, progress)
        if self._completion_s is not None and self._completion_s <= now_s:
            self._completion_s = None
            self._hedge_lacking(now_s, progress)

    def _due_s(self, part: Part) -> float | None:
        """Return when a hedge of a part is due.

        A gather is answered at its goal without the parts that are late. A
        hedge whose reply would arrive after that waits until then, and is
        sent only if too few parts have answered.
        """
        due_s = part.hedge_at_s
        if due_s is None or due_s <= self._latest_s:
            return due_s
        return max(due_s, self._goal_s)

    def _hedge_due(self, now_s: float, progress: Progress) -> None:
        if self._latest_s < now_s < self._goal_s:
            return
        among_last = progress().among_last
        for part in self._parts:
            due_s = self._due_s(part)
            due = due_s is not None and due_s <= now_s
            if due or among_last and part.hedge_denied:
                part.hedge(among_last)

    def _hedge_lacking(self, now_s: float, progress: Progress) -> None:
        """Hedge as many parts as the gather needs to be answered in time.

        The usual delay of a hedge is a quantile of the route's latencies,
        which is longer than the goal allows while many searchers are slow.
        """
        lacking = progress().lacking
        # The parts that are hedged already are likely to arrive, and so are
        # those that were sent just now.
        lacking -= sum(p.running_sends > 1 for p in self._parts)
        late_s = now_s - self._latency.median_s
        waiting = [
            (since_s, number)
            for number, part in enumerate(self._parts)
            if (since_s := part.unhedged_since_s) is not None
            and since_s <= late_s
        ]
        for _, number in sorted(waiting):
            if lacking <= 0:
                return
            if self._parts[number].hedge(among_last=True):
                lacking -= 1
