"""Tests for the entry service, which receives the requests of callers."""

import typing

import pytest

from corianderport_testkit import clock as manual_clock
from corianderport_testkit.version import deployments
from corianderport_tier.process import action_service
from corianderport_tier.process import aggregator
from corianderport_tier.process import configuration_store
from corianderport_tier.process import entry
from corianderport_tier.process import shutdown
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier import result_codes
from corianderport_tier.version import configuration

_DEPLOYMENT = deployments.Deployment(services=1, deadline_ms=200.0)


class _Decoder:
    """Returns the same valid configuration for any document."""

    def decode(self, document: bytes) -> configuration.Configuration:
        names = [
            name
            for centre in deployments.DATA_CENTRES
            for name in _DEPLOYMENT.searcher_names(centre)
        ]
        return _DEPLOYMENT.build(1, {name: '127.0.0.1:1' for name in names})


class _Actions:
    """Records the actions that it gets."""

    def __init__(self) -> None:
        self.requests: list[messages.ActionRequest] = []

    def act(self, request: messages.ActionRequest) -> messages.ActionAnswer:
        self.requests.append(request)
        return messages.ActionAnswer(
            result_codes.ResultCode.OK, request.request_id, 'done'
        )


class _Aggregator:
    """Records batches and answers all their shards without hits."""

    def __init__(self) -> None:
        self.batches: list[messages.SubQueryBatch] = []

    def run(self, batch: messages.SubQueryBatch) -> messages.BatchAnswer:
        self.batches.append(batch)
        answers = tuple(
            messages.ShardAnswer(shard, True, ())
            for sub_query in batch.sub_queries
            for shard in sub_query.shards
        )
        return messages.BatchAnswer(batch.request_id, batch.snapshot, answers)


def test_search_is_sent_with_the_configured_deadline() -> None:
    """A caller's deadline must not exceed the configured one.

    The caller allows much more time than the configuration.
    """
    clock = manual_clock.ManualClock()
    store = configuration_store.ConfigurationStore(_Decoder(), clock)
    store.offer(b'')
    sender = _Aggregator()
    service = entry.EntryService(
        store,
        typing.cast(aggregator.Aggregator, sender),
        typing.cast(action_service.ActionService, None),
        shutdown.RequestGate(clock),
        clock,
    )
    deadline = deadlines.Deadline.after(clock, 30.0)
    service.search(
        messages.SearchRequest('r', 'stock', 'x', 1, deadline, 'default')
    )
    (batch,) = sender.batches
    assert 0.1 < batch.deadline.remaining(clock) < 0.2


@pytest.mark.parametrize(
    ('configured', 'action', 'expected_s'),
    [(True, 'reserve', 0.2), (True, 'other', 30.0), (False, 'reserve', 30.0)],
)
def test_action_is_forwarded_with_the_configured_deadline(
    configured: bool, action: str, expected_s: float
) -> None:
    """A host must not wait too long for the host that issued the ticket.

    The caller allows much more time than the configuration. Only the
    deadline of an action that is not configured stays unchanged.
    """
    clock = manual_clock.ManualClock()
    store = configuration_store.ConfigurationStore(_Decoder(), clock)
    if configured:
        store.offer(b'')
    actions = _Actions()
    service = entry.EntryService(
        store,
        typing.cast(aggregator.Aggregator, None),
        typing.cast(action_service.ActionService, actions),
        shutdown.RequestGate(clock),
        clock,
    )
    deadline = deadlines.Deadline.after(clock, 30.0)
    service.act(
        messages.ActionRequest('r', action, 'x', deadline, 'default', 'ticket')
    )
    (request,) = actions.requests
    assert request.deadline.remaining(clock) == pytest.approx(expected_s)
