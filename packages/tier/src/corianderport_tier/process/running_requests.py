"""corianderport_tier.process.running_requests

Share of each workspace in the tasks that serve callers of a host.
"""

import threading

from corianderport_tier import clocks

__all__ = ['RunningRequests']

# A workspace may have this many times as many requests running as there are
# free tasks: three quarters of all tasks if it is the only busy one.
_PER_FREE_TASK = 3
# Without a request of another workspace in this time, it may use all tasks.
_ALONE_S = 10.0


class RunningRequests:
    """Counts the requests that have been authorized and not yet answered.

    Callers of other workspaces would otherwise wait for a task while all
    tasks wait for the searchers of one workspace.

    :param tasks: number of tasks that serve callers.
    """

    def __init__(self, tasks: int, clock: clocks.Clock) -> None:
        self._tasks = tasks
        self._clock = clock
        self._lock = threading.Lock()
        self._counts: dict[str | None, int] = {}
        self._total = 0
        self._latest: str | None = None
        # When a request came of another workspace than the one before.
        self._changed_s = float('-inf')

    @property
    def size(self) -> int:
        """Number of workspaces with a running request."""
        return len(self._counts)

    def enter(self, workspace: str | None) -> bool:
        """Count a request; return False if its workspace has its share.

        :param workspace: None for a request without one, which is always
            counted.
        """
        with self._lock:
            now_s = self._clock.monotonic()
            if workspace != self._latest:
                self._latest, self._changed_s = workspace, now_s
            running = self._counts.get(workspace, 0)
            free = self._tasks - self._total
            alone = now_s - self._changed_s >= _ALONE_S
            if (
                workspace is not None
                and not alone
                and running >= _PER_FREE_TASK * free
            ):
                return False
            self._counts[workspace] = running + 1
            self._total += 1
            return True

    def leave(self, workspace: str | None) -> None:
        """Count the end of a request."""
        with self._lock:
            self._total -= 1
            running = self._counts[workspace] - 1
            if running:
                self._counts[workspace] = running
            else:
                del self._counts[workspace]
