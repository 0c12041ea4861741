"""corianderport_wire.connection.action_codec

Thrift structures of action requests, answers and ticket hand-overs.
"""

import typing

from corianderport_tier import clocks
from corianderport_tier.process import handed_over
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier import result_codes
from corianderport_wire.connection import peer_codec

__all__ = [
    'answer_from_thrift',
    'answer_to_thrift',
    'hand_over_from_thrift',
    'hand_over_to_thrift',
    'request_from_thrift',
    'request_to_thrift',
]

_PEER = peer_codec.PEER


def request_to_thrift(
    request: messages.ActionRequest, clock: clocks.Clock
) -> typing.Any:
    """Encode a request; its deadline becomes the remaining milliseconds.

    Deadlines are points on the local monotonic clock, which other hosts do
    not share.
    """
    return _PEER.ActionRequest(
        request_id=request.request_id,
        action=request.action,
        payload=request.payload,
        remaining_ms=request.deadline.remaining(clock) * 1e3,
        customer=request.customer,
        ticket=request.ticket,
    )


def request_from_thrift(
    fields: typing.Any, clock: clocks.Clock
) -> messages.ActionRequest:
    """Decode a request; its deadline is relative to the local clock."""
    return messages.ActionRequest(
        request_id=fields.request_id,
        action=fields.action,
        payload=fields.payload,
        deadline=deadlines.Deadline.after(clock, fields.remaining_ms / 1e3),
        customer=fields.customer,
        ticket=fields.ticket,
    )


def answer_to_thrift(answer: messages.ActionAnswer) -> typing.Any:
    """Encode an answer."""
    return _PEER.ActionAnswer(
        code=int(answer.code),
        request_id=answer.request_id,
        outcome=answer.outcome,
        detail=answer.detail,
    )


def answer_from_thrift(fields: typing.Any) -> messages.ActionAnswer:
    """Decode an answer.

    A result code that this version does not know becomes
    ``OUTCOME_UNKNOWN``.
    """
    try:
        code = result_codes.ResultCode(fields.code)
    except ValueError:
        code = result_codes.ResultCode.OUTCOME_UNKNOWN
    return messages.ActionAnswer(
        code, fields.request_id, fields.outcome, fields.detail
    )


def hand_over_to_thrift(
    part: handed_over.HandOver, clock: clocks.Clock
) -> typing.Any:
    """Encode one part of a hand-over.

    The time until which outcomes are kept becomes remaining milliseconds.
    """
    return _PEER.HandOver(
        host=part.host,
        incarnation=part.incarnation,
        series=part.series,
        part=part.part,
        parts=part.parts,
        forgotten_until_ms=part.forgotten_until_ms,
        keep_ms=part.keep_until.remaining(clock) * 1e3,
        outcomes=[
            _PEER.TicketOutcome(
                nonce=outcome.nonce,
                digest=outcome.digest,
                answer=answer_to_thrift(outcome.answer),
            )
            for outcome in part.outcomes
        ],
    )


def hand_over_from_thrift(
    fields: typing.Any, clock: clocks.Clock
) -> handed_over.HandOver:
    """Decode one part of a hand-over."""
    return handed_over.HandOver(
        host=fields.host,
        incarnation=fields.incarnation,
        series=fields.series,
        part=fields.part,
        parts=fields.parts,
        forgotten_until_ms=fields.forgotten_until_ms,
        keep_until=deadlines.Deadline.after(clock, fields.keep_ms / 1e3),
        outcomes=tuple(
            handed_over.TicketOutcome(
                outcome.nonce,
                outcome.digest,
                answer_from_thrift(outcome.answer),
            )
            for outcome in fields.outcomes
        ),
    )
