"""corianderport_tier.request.part_waits

What a part of a request waits for before it can be sent.
"""

import collections.abc

from corianderport_tier.process import cost_estimates
from corianderport_tier.process import send_order
from corianderport_tier.process import service_searchers
from corianderport_tier.request import deadlines
from corianderport_tier.request import send_history
from corianderport_tier import result_codes

__all__ = ['LastFailure', 'PartWaits']

# Code and reason of the latest send that failed; None before any.
LastFailure = tuple[result_codes.ResultCode, str] | None


class PartWaits:
    """Waits of one part, for capacity or for the end of a pause.

    :param goal: latest time of a response with full worth.
    """

    def __init__(
        self,
        service: service_searchers.ServiceSearchers,
        request_class: cost_estimates.RequestClass,
        goal: deadlines.Deadline,
        history: send_history.SendHistory,
    ) -> None:
        self._service = service
        self._class = request_class
        self._goal = goal
        self._history = history
        self._waiting: send_order.WaitingSend | None = None
        self._last_failure: LastFailure = None
        # Time at which the pause ends that the part waits for.
        self.resume_at_s: float | None = None

    def wait_for_capacity(
        self,
        rank: int,
        timeout_s: float,
        workspace: str | None,
        notify: collections.abc.Callable[[send_order.WaitingSend], None],
    ) -> None:
        """Wait until a searcher has capacity.

        :param rank: priority of the request.
        :param timeout_s: timeout of the route.
        :param notify: called with the send once it is given capacity.
        """
        self._waiting = send_order.WaitingSend(
            frozenset(self._history.tried),
            self._class,
            send_order.Urgency.of_request(
                rank, self._goal.at_s - self._class.expected_s, timeout_s
            ),
            notify,
            workspace,
        )
        self._service.wait_for_capacity(self._waiting)

    def end(self, send: send_order.WaitingSend) -> bool:
        """End the wait for capacity; return False if it has ended before."""
        if send is not self._waiting:
            return False
        self._waiting = None
        return True

    def wait_for_pause(self, failed: LastFailure, median_s: float) -> bool:
        """Wait for the end of a pause; return False if it ends too late.

        :param median_s: median latency of the route.
        """
        resume_at_s = self._service.available_at_s()
        if resume_at_s is None or resume_at_s > self._goal.at_s - median_s:
            return False
        self.resume_at_s = resume_at_s
        self._last_failure = failed
        return True

    def resume(self) -> LastFailure:
        """End the wait for a pause; return the failure before it."""
        self.resume_at_s = None
        return self._last_failure

    def cancel(self) -> None:
        """Give up the wait for capacity."""
        if self._waiting is not None:
            waiting, self._waiting = self._waiting, None
            self._service.stop_waiting(waiting)
