"""The entry's work for one search, with owners made by the test."""

import collections.abc
import typing

import attrs

from corianderport_testkit import clock as manual_clock
from corianderport_testkit.version import deployments
from corianderport_tier import errors
from corianderport_tier.process import aggregator
from corianderport_tier.process import decision_log
from corianderport_tier.process import membership
from corianderport_tier.process import routing
from corianderport_tier.process import snapshot_availability
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier.request import search
from corianderport_tier import result_codes
from corianderport_tier.version import configuration

_DEPLOYMENT = deployments.Deployment(
    services=2, shards=2, documents=40, snapshot_numbers=(1, 2)
)

Answerer = collections.abc.Callable[
    [messages.SubQueryBatch],
    messages.BatchAnswer | errors.CorianderportError | None,
]


def _configuration() -> configuration.Configuration:
    names = [
        name
        for centre in deployments.DATA_CENTRES
        for name in _DEPLOYMENT.searcher_names(centre)
    ]
    return _DEPLOYMENT.build(1, {name: '127.0.0.1:1' for name in names})


@attrs.define
class _Owner:
    """An aggregator whose answers the test decides; None is silence."""

    answer: Answerer
    batches: list[messages.SubQueryBatch] = attrs.Factory(list)

    def submit(
        self,
        batch: messages.SubQueryBatch,
        deliver: aggregator.Deliver,
    ) -> None:
        self.batches.append(batch)
        answer = self.answer(batch)
        if answer is not None:
            deliver(aggregator.BatchResult(batch, answer))


@attrs.frozen
class _Router:
    """Two owners for every service, or none."""

    owners_by_name: dict[str, _Owner]
    removed: frozenset[str] = frozenset()

    def owners(self, service: str) -> list[membership.Member]:
        if service in self.removed:
            raise errors.UnknownService(service)
        return [
            membership.Member(name, 'dc-a', '127.0.0.1:1')
            for name in self.owners_by_name
        ]

    def aggregator(self, member: membership.Member) -> _Owner:
        return self.owners_by_name[member.name]


def _whole(batch: messages.SubQueryBatch) -> messages.BatchAnswer:
    hits = (messages.Hit('d', 1.0, f'edition {batch.snapshot}'),)
    return messages.BatchAnswer(
        request_id=batch.request_id,
        snapshot=batch.snapshot,
        answers=tuple(
            messages.ShardAnswer(name, True, hits)
            for sub_query in batch.sub_queries
            for name in sub_query.shards
        ),
    )


def _run(
    router: _Router, clock: manual_clock.ManualClock | None = None
) -> messages.SearchAnswer:
    clock = clock or manual_clock.ManualClock()
    request = messages.SearchRequest(
        'r', 'stock', 'x', 10, deadlines.Deadline.after(clock, 1.0), 'default'
    )
    return search.SearchTask(
        request,
        _configuration(),
        typing.cast(routing.Router, router),
        snapshot_availability.SnapshotAvailability(clock),
        clock,
        decision_log.DecisionLog(),
    ).run()


def test_whole_request_is_planned_again_when_snapshot_is_gone() -> None:
    """Guards against an answer that mixes two snapshots."""

    def answer(batch: messages.SubQueryBatch) -> messages.BatchAnswer:
        if batch.snapshot == 1:
            return _whole(batch)
        partial = _whole(batch)
        return attrs.evolve(
            partial,
            answers=partial.answers[:2],
            refused=('catalogue-01',),
            snapshot_gone=True,
            held=(1,),
        )

    owner = _Owner(answer)
    result = _run(_Router({'a': owner}))
    assert [b.snapshot for b in owner.batches] == [2, 1]
    assert (result.snapshot, result.whole) == (1, True)
    assert {hit.title for hit in result.hits} == {'edition 1'}


def test_answer_of_another_snapshot_does_not_count() -> None:
    """Guards against hits of a snapshot that was not asked for."""
    owner = _Owner(lambda batch: attrs.evolve(_whole(batch), snapshot=1))
    result = _run(_Router({'a': owner}))
    assert (result.snapshot, result.coverage.fraction) == (2, 0.0)
    assert result.hits == ()


def test_second_owner_is_asked_when_the_first_fails() -> None:
    """Guards against losing coverage when an owner has died."""
    first = _Owner(lambda batch: errors.ConnectFailed('gone'))
    second = _Owner(_whole)
    result = _run(_Router({'a': first, 'b': second}))
    assert result.code is result_codes.ResultCode.OK
    assert len(first.batches) == len(second.batches) == 1


def test_missing_shards_are_named() -> None:
    """Guards against coverage computed from what was asked."""

    def truncated(batch: messages.SubQueryBatch) -> messages.BatchAnswer:
        whole = _whole(batch)
        cut = attrs.evolve(whole.answers[0], complete=False)
        return attrs.evolve(whole, answers=(cut, *whole.answers[1:]))

    result = _run(_Router({'a': _Owner(truncated)}))
    assert result.code is result_codes.ResultCode.PARTIAL
    assert result.coverage == messages.Coverage(0.75, ('shard-000',))


def test_removed_service_is_missing_from_coverage() -> None:
    """Guards against 'not run' after other services were asked."""
    router = _Router({'a': _Owner(_whole)}, frozenset({'catalogue-01'}))
    result = _run(router)
    assert result.coverage.missing == ('shard-002', 'shard-003')


def test_deadline_is_at_most_that_of_the_configuration() -> None:
    """Guards against a request that outlives a change of owners.

    A new owner waits for one maximum deadline before it sends.
    """
    owner = _Owner(_whole)
    clock = manual_clock.ManualClock()
    _run(_Router({'a': owner}), clock)
    (batch,) = owner.batches
    assert 0.4 < batch.deadline.remaining(clock) < 0.5
