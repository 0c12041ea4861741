"""corianderport_daemon.process.housekeeping

Task for what a host does at regular intervals.
"""

import collections.abc

from corianderport_tier import clocks
from corianderport_tier.process import periodic_task

__all__ = ['Housekeeping']

_INTERVAL_S = 0.25


class Housekeeping(periodic_task.PeriodicTask):
    """Calls a function at regular intervals."""

    def __init__(
        self,
        function: collections.abc.Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        super().__init__(clock)
        self._function = function

    def step(self) -> float:
        """Call the function once."""
        self._function()
        return _INTERVAL_S
