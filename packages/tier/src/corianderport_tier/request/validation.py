"""corianderport_tier.request.validation

Validates a searcher's reply against the request.
"""

from corianderport_tier.request import messages

__all__ = ['usable_answers']


def usable_answers(
    call: messages.UpstreamSearch, reply: messages.UpstreamSearchReply
) -> tuple[messages.ShardAnswer, ...]:
    """Return the valid shard answers of a reply.

    All answers of a reply to another attempt or from another snapshot are
    invalid, and so are those of shards that were not requested or that
    appear more than once.
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
