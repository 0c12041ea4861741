"""corianderport_tier.request.actions

The entry's work for one action.
"""

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import aggregator
from corianderport_tier.request import messages
from corianderport_tier.version import configuration

__all__ = ['ActionTask']

# Time kept for the way back to the caller.
_ANSWER_MARGIN_S = 0.006


@attrs.frozen
class ActionTask:
    """Runs one action on the task of the caller's connection."""

    request: messages.ActionRequest
    accepted: configuration.Configuration
    sender: aggregator.Aggregator
    clock: clocks.Clock

    def run(self) -> messages.ActionAnswer:
        """Return the outcome.

        :raises Refusal: the action did not run and will not run.
        :raises OutcomeUnknown: it may run, have run, or never run.
        """
        action = self.accepted.actions.get(self.request.action)
        if action is None:
            raise errors.UnknownService(
                f'unknown action {self.request.action!r}'
            )
        bounded = self.request.deadline.within(self.clock, action.deadline_ms)
        deadline = bounded.earlier(_ANSWER_MARGIN_S)
        if deadline.passed(self.clock):
            raise errors.DeadlinePast('the deadline has passed')
        request = attrs.evolve(self.request, deadline=deadline)
        return self.sender.act(messages.ActionCall(request, action.service))
