"""corianderport_tier.request.actions

Handles one action request on the entry host.
"""

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import aggregator
from corianderport_tier.request import messages
from corianderport_tier.version import configuration

__all__ = ['ActionTask']

# Time reserved for returning the response to the caller.
_ANSWER_MARGIN_S = 0.006


@attrs.frozen
class ActionTask:
    """Runs one action on the task of the caller's connection."""

    request: messages.ActionRequest
    accepted: configuration.Configuration
    sender: aggregator.Aggregator
    clock: clocks.Clock

    def run(self) -> messages.ActionAnswer:
        """Run the action and return its outcome.

        :raises Refusal: the action did not run and never will.
        :raises OutcomeUnknown: the action may have run or may still run.
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
