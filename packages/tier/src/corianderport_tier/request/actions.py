"""corianderport_tier.request.actions

The entry's work for one action: find the owner and send it once.
"""

import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import routing
from corianderport_tier.request import messages
from corianderport_tier.version import configuration

__all__ = ['ActionTask']

# Time kept for the way back to the caller.
_ANSWER_MARGIN_S = 0.003

_OWNER_RETRY_S = 0.05
# Share of the time that must be left for another try. An action that is
# sent shortly before its deadline is likely to end as "outcome unknown".
_LAST_TRY_SHARE = 0.25

# Refusals of one owner that leave the next owner to be tried.
_TRY_NEXT = (
    errors.ConnectFailed,
    errors.PeerUnavailable,
    errors.NotOwner,
    errors.NotReady,
    errors.Unauthenticated,
)


class ActionTask:
    """Runs one action on the task of the caller's connection."""

    def __init__(
        self,
        request: messages.ActionRequest,
        accepted: configuration.Configuration,
        router: routing.Router,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
    ) -> None:
        self._request = request
        self._accepted = accepted
        self._router = router
        self._clock = clock
        self._log = log

    def run(self) -> messages.ActionAnswer:
        """Return the outcome.

        The second owner is tried only when nothing was sent to the first,
        or when the first refused.

        :raises Refusal: the action did not run and will not run.
        :raises OutcomeUnknown: it may run, have run, or never run.
        """
        action = self._accepted.actions.get(self._request.action)
        if action is None:
            raise errors.UnknownService(
                f'unknown action {self._request.action!r}'
            )
        bounded = self._request.deadline.within(
            self._clock, action.deadline_ms
        )
        deadline = bounded.earlier(2 * _ANSWER_MARGIN_S)
        call = messages.ActionCall(
            attrs.evolve(self._request, deadline=deadline), action.service
        )
        reserve_s = _LAST_TRY_SHARE * deadline.remaining(self._clock)
        while True:
            try:
                return self._try_owners(call)
            except errors.NotOwner:
                # Nothing was sent: no host owns the service while it moves
                # from one to another.
                if deadline.remaining(self._clock) < reserve_s:
                    raise
                self._pause()

    def _try_owners(self, call: messages.ActionCall) -> messages.ActionAnswer:
        last: errors.CorianderportError = errors.NoUpstream('no owner')
        for owner in self._router.owners(call.service):
            if call.request.deadline.passed(self._clock):
                raise errors.DeadlinePast('the deadline has passed')
            self._log.record(
                decision_log.Decision(
                    'owner', self._request.request_id, owner.name, 'action'
                )
            )
            try:
                return self._router.aggregator(owner).act(call)
            except _TRY_NEXT as error:
                if not isinstance(last, errors.NotOwner):
                    last = error
            except errors.TransportError as error:
                raise errors.OutcomeUnknown(
                    f'{owner.name}: {error}'
                ) from error
        if isinstance(last, errors.Refusal):
            raise last
        raise errors.NoUpstream(str(last)) from last

    def _pause(self) -> None:
        condition = threading.Condition()
        with condition:
            self._clock.wait(condition, _OWNER_RETRY_S)
