"""The entry's work for one action, with an owner made by the test."""

import typing

from corianderport_testkit import clock as manual_clock
from corianderport_testkit.version import deployments
from corianderport_tier.process import decision_log
from corianderport_tier.process import membership
from corianderport_tier.process import routing
from corianderport_tier.request import actions
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier import result_codes

_DEPLOYMENT = deployments.Deployment(services=1, deadline_ms=200.0)
_MEMBER = membership.Member('host-0', 'dc-a', '127.0.0.1:1')


class _Owner:
    def __init__(self) -> None:
        self.calls: list[messages.ActionCall] = []

    def act(self, call: messages.ActionCall) -> messages.ActionAnswer:
        self.calls.append(call)
        return messages.ActionAnswer(
            result_codes.ResultCode.OK, call.request.request_id, 'done'
        )


class _Router:
    def __init__(self, owner: _Owner) -> None:
        self._owner = owner

    def owners(self, service: str) -> list[membership.Member]:
        return [_MEMBER]

    def aggregator(self, member: membership.Member) -> _Owner:
        return self._owner


def test_deadline_is_at_most_that_of_the_configuration() -> None:
    """Guards against an action that outlives a change of owners."""
    owner = _Owner()
    clock = manual_clock.ManualClock()
    names = [
        name
        for centre in deployments.DATA_CENTRES
        for name in _DEPLOYMENT.searcher_names(centre)
    ]
    actions.ActionTask(
        messages.ActionRequest(
            'r',
            'reserve',
            'seat 1',
            deadlines.Deadline.after(clock, 30.0),
            'default',
            None,
        ),
        _DEPLOYMENT.build(1, {name: '127.0.0.1:1' for name in names}),
        typing.cast(routing.Router, _Router(owner)),
        clock,
        decision_log.DecisionLog(),
    ).run()
    (call,) = owner.calls
    assert 0.1 < call.request.deadline.remaining(clock) < 0.2
