"""Search requests on the entry host, with a fake aggregator."""

import collections.abc
import typing

import attrs

from corianderport_testkit import clock as manual_clock
from corianderport_testkit.version import deployments
from corianderport_tier.process import aggregator
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
    messages.BatchAnswer,
]


def _configuration() -> configuration.Configuration:
    names = [
        name
        for centre in deployments.DATA_CENTRES
        for name in _DEPLOYMENT.searcher_names(centre)
    ]
    return _DEPLOYMENT.build(1, {name: '127.0.0.1:1' for name in names})


@attrs.define
class _Aggregator:
    """Fake aggregator that answers with a given function."""

    answer: Answerer
    batches: list[messages.SubQueryBatch] = attrs.Factory(list)

    def run(self, batch: messages.SubQueryBatch) -> messages.BatchAnswer:
        self.batches.append(batch)
        return self.answer(batch)


def _answer_all(batch: messages.SubQueryBatch) -> messages.BatchAnswer:
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
    sender: _Aggregator, clock: manual_clock.ManualClock | None = None
) -> messages.SearchAnswer:
    clock = clock or manual_clock.ManualClock()
    request = messages.SearchRequest(
        'r', 'stock', 'x', 10, deadlines.Deadline.after(clock, 1.0), 'default'
    )
    return search.SearchTask(
        request,
        _configuration(),
        typing.cast(aggregator.Aggregator, sender),
        snapshot_availability.SnapshotAvailability(clock),
        clock,
    ).run()


def test_whole_request_is_planned_again_when_snapshot_is_gone() -> None:
    """Guards against an answer that mixes two snapshots.

    One service answers for the newest snapshot, the other one no longer
    holds it.
    """

    def answer(batch: messages.SubQueryBatch) -> messages.BatchAnswer:
        if batch.snapshot == 1:
            return _answer_all(batch)
        partial = _answer_all(batch)
        return attrs.evolve(
            partial,
            answers=partial.answers[:2],
            refused=('catalogue-01',),
            snapshot_gone=True,
            held=(1,),
        )

    sender = _Aggregator(answer)
    result = _run(sender)
    assert [b.snapshot for b in sender.batches] == [2, 1]
    assert (result.snapshot, result.whole) == (1, True)
    assert {hit.title for hit in result.hits} == {'edition 1'}


def test_missing_shards_are_named() -> None:
    """Guards against counting shards without a complete answer as covered.

    One of four shards is answered, but truncated.
    """

    def truncated(batch: messages.SubQueryBatch) -> messages.BatchAnswer:
        whole = _answer_all(batch)
        cut = attrs.evolve(whole.answers[0], complete=False)
        return attrs.evolve(whole, answers=(cut, *whole.answers[1:]))

    result = _run(_Aggregator(truncated))
    assert result.code is result_codes.ResultCode.PARTIAL
    assert result.coverage == messages.Coverage(0.75, ('shard-000',))


def test_service_without_an_answer_is_missing_from_coverage() -> None:
    """Guards against reporting 'not run' if other services answered.

    One of two services refuses its sub-query.
    """

    def refused(batch: messages.SubQueryBatch) -> messages.BatchAnswer:
        whole = _answer_all(batch)
        return attrs.evolve(
            whole, answers=whole.answers[:2], refused=('catalogue-01',)
        )

    result = _run(_Aggregator(refused))
    assert result.coverage.missing == ('shard-002', 'shard-003')


def test_deadline_is_at_most_that_of_the_configuration() -> None:
    """Guards against a request that outlives its configured deadline.

    The caller allows 1 s, the configuration only half of that.
    """
    sender = _Aggregator(_answer_all)
    clock = manual_clock.ManualClock()
    _run(sender, clock)
    (batch,) = sender.batches
    assert 0.4 < batch.deadline.remaining(clock) < 0.5
