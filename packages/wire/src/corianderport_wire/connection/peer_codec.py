"""corianderport_wire.connection.peer_codec

Thrift structures of the messages between hosts.
"""

import pathlib
import typing

import thriftpy2

from corianderport_tier import clocks
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages

__all__ = [
    'FRAME_BYTES',
    'PEER',
    'batch_from_thrift',
    'batch_to_thrift',
    'answer_from_thrift',
    'answer_to_thrift',
]

_IDL = pathlib.Path(__file__).parent.parent / 'peer.thrift'

# A document of 1 MB and room for the largest answer.
FRAME_BYTES = 4_194_304

PEER: typing.Any = thriftpy2.load(str(_IDL), module_name='peer_thrift')


def batch_to_thrift(
    batch: messages.SubQueryBatch, clock: clocks.Clock
) -> typing.Any:
    """Return the structure of a batch, its deadline as remaining ms."""
    return PEER.SubQueryBatch(
        request_id=batch.request_id,
        index=batch.index,
        snapshot=batch.snapshot,
        query=batch.query,
        limit=batch.limit,
        remaining_ms=batch.deadline.remaining(clock) * 1e3,
        sub_queries=[
            PEER.SubQuery(service_name=s.service, shards=list(s.shards))
            for s in batch.sub_queries
        ],
    )


def batch_from_thrift(
    fields: typing.Any, clock: clocks.Clock
) -> messages.SubQueryBatch:
    """Return the batch of a structure."""
    return messages.SubQueryBatch(
        request_id=fields.request_id,
        index=fields.index,
        snapshot=fields.snapshot,
        query=fields.query,
        limit=fields.limit,
        deadline=deadlines.Deadline.after(clock, fields.remaining_ms / 1e3),
        sub_queries=tuple(
            messages.SubQuery(s.service_name, tuple(s.shards))
            for s in fields.sub_queries
        ),
    )


def answer_to_thrift(answer: messages.BatchAnswer) -> typing.Any:
    """Return the structure of a batch answer."""
    return PEER.BatchAnswer(
        request_id=answer.request_id,
        snapshot=answer.snapshot,
        answers=[
            PEER.ShardAnswer(
                shard=shard.shard,
                complete=shard.complete,
                hits=[
                    PEER.Hit(h.document, h.score, h.title) for h in shard.hits
                ],
            )
            for shard in answer.answers
        ],
        refused=list(answer.refused),
        snapshot_gone=answer.snapshot_gone,
        held=list(answer.held),
        sub_requests=answer.sub_requests,
        not_owned=list(answer.not_owned) or None,
    )


def answer_from_thrift(fields: typing.Any) -> messages.BatchAnswer:
    """Return the batch answer of a structure."""
    return messages.BatchAnswer(
        request_id=fields.request_id,
        snapshot=fields.snapshot,
        answers=tuple(
            messages.ShardAnswer(
                shard.shard,
                shard.complete,
                tuple(
                    messages.Hit(h.document, h.score, h.title)
                    for h in shard.hits
                ),
            )
            for shard in fields.answers
        ),
        refused=tuple(fields.refused or ()),
        snapshot_gone=bool(fields.snapshot_gone),
        held=tuple(fields.held or ()),
        sub_requests=fields.sub_requests or 0,
        not_owned=tuple(fields.not_owned or ()),
    )
