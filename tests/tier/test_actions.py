"""Action requests on the entry host, with a fake aggregator."""

import typing

from corianderport_testkit import clock as manual_clock
from corianderport_testkit.version import deployments
from corianderport_tier.process import aggregator
from corianderport_tier.request import actions
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier import result_codes

_DEPLOYMENT = deployments.Deployment(services=1, deadline_ms=200.0)


class _Aggregator:
    def __init__(self) -> None:
        self.calls: list[messages.ActionCall] = []

    def act(self, call: messages.ActionCall) -> messages.ActionAnswer:
        self.calls.append(call)
        return messages.ActionAnswer(
            result_codes.ResultCode.OK, call.request.request_id, 'done'
        )


def test_deadline_is_at_most_that_of_the_configuration() -> None:
    """Guards against an action that outlives its configured deadline.

    The caller allows 30 s, the configuration only 200 ms.
    """
    sender = _Aggregator()
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
        typing.cast(aggregator.Aggregator, sender),
        clock,
    ).run()
    (call,) = sender.calls
    assert 0.1 < call.request.deadline.remaining(clock) < 0.2
