"""corianderport_tier.request.validation

Checks a searcher's reply against what was asked.
"""

from corianderport_tier.request import messages

__all__ = ['usable_answers']


def usable_answers(
    call: messages.UpstreamSearch, reply: messages.UpstreamSearchReply
) -> tuple[messages.ShardAnswer, ...]:
    """Return the shard answers of a reply that may count.

    A reply to another attempt or from another snapshot has none. Shards
    that were not asked for, or were answered more than once, are dropped.
    """
    if (
        reply.request_id != call.request_id
        or reply.attempt_id != call.attempt_id
        or reply.snapshot != call.snapshot
    ):
        return ()
    shards = [a.shard for a in reply.answers]
    return tuple(
        answer
        for answer in reply.answers
        if answer.shard in call.shards and shards.count(answer.shard) == 1
    )
