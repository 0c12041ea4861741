"""corianderport_wire.connection.gather_codec

Thrift structures of the gathers that hosts give to each other.
"""

import math
import typing

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import deadlines
from corianderport_tier.request import forward_messages
from corianderport_tier.request import gather_messages
from corianderport_tier import result_codes
from corianderport_wire.connection import peer_codec

__all__ = [
    'answer_from_thrift',
    'answer_to_thrift',
    'availability_from_thrift',
    'availability_to_thrift',
    'call_from_thrift',
    'call_to_thrift',
]

_PEER = peer_codec.PEER
# Longest time until a deadline or a goal that a message may contain.
_MAX_MS = 3_600_000.0

Failure = forward_messages.Failure
Gathered = forward_messages.Gathered


def availability_to_thrift(
    availability: gather_messages.GatherAvailability,
) -> typing.Any:
    """Encode whether a host takes gathers."""
    return _PEER.GatherAvailability(
        version=availability.version, accepts=availability.accepts
    )


def availability_from_thrift(
    fields: typing.Any,
) -> gather_messages.GatherAvailability:
    """Decode whether a host takes gathers."""
    return gather_messages.GatherAvailability(
        fields.version or 0, bool(fields.accepts)
    )


def call_to_thrift(
    call: gather_messages.GatherCall, clock: clocks.Clock
) -> typing.Any:
    """Encode a gather; times become the remaining milliseconds."""
    request = call.request
    return _PEER.GatherCall(
        sender=call.sender,
        version=call.version,
        request_id=request.request_id,
        host=request.host,
        path=request.path,
        method=request.payload.method,
        target=request.payload.target,
        headers=[
            _PEER.HeaderField(name=name, value=value)
            for name, value in request.payload.headers
        ],
        body=request.payload.body,
        remaining_ms=request.deadline.remaining(clock) * 1e3,
        goal_ms=call.goal.remaining(clock) * 1e3,
    )


def call_from_thrift(
    fields: typing.Any, clock: clocks.Clock
) -> gather_messages.GatherCall:
    """Decode a gather; its times are relative to the local clock.

    :raises MalformedRequest: a field is missing or out of range.
    """
    texts = (fields.sender, fields.request_id, fields.host, fields.path)
    parts = (fields.method, fields.target, fields.body)
    if not all(isinstance(text, str) for text in texts) or None in parts:
        raise errors.MalformedRequest('incomplete gather')
    if fields.version is None or not _is_time(fields.remaining_ms):
        raise errors.MalformedRequest('gather without version or deadline')
    if not _is_time(fields.goal_ms):
        raise errors.MalformedRequest('gather without goal')
    headers = tuple(
        (_octets(field.name), _octets(field.value))
        for field in fields.headers or ()
    )
    return gather_messages.GatherCall(
        sender=fields.sender,
        version=fields.version,
        request=forward_messages.ForwardRequest(
            request_id=fields.request_id,
            host=fields.host,
            path=fields.path,
            payload=forward_messages.Payload(
                _octets(fields.method),
                _octets(fields.target),
                headers,
                _octets(fields.body),
            ),
            deadline=deadlines.Deadline.after(
                clock, fields.remaining_ms / 1e3
            ),
            received_s=clock.monotonic(),
        ),
        goal=deadlines.Deadline.after(clock, fields.goal_ms / 1e3),
    )


def answer_to_thrift(answer: forward_messages.ForwardAnswer) -> typing.Any:
    """Encode the answer to a gather.

    :raises CorianderportError: it is a single searcher's response.
    """
    if isinstance(answer, Gathered):
        return _PEER.GatherAnswer(
            execution_proofs=list(answer.execution_proofs),
            missing=answer.missing,
            body=answer.body,
        )
    if not isinstance(answer, Failure):
        raise errors.CorianderportError('the answer is not gathered')
    retry_after_ms = None
    if answer.retry_after_s is not None:
        retry_after_ms = answer.retry_after_s * 1e3
    return _PEER.GatherAnswer(
        code=int(answer.code),
        detail=answer.detail,
        retry_after_ms=retry_after_ms,
    )


def answer_from_thrift(fields: typing.Any) -> forward_messages.ForwardAnswer:
    """Decode the answer to a gather.

    :raises ConnectionBroken: a field is missing or out of range.
    """
    if fields.code is not None:
        try:
            code = result_codes.ResultCode(fields.code)
        except ValueError:
            # A later version may have more codes.
            code = result_codes.ResultCode.OUTCOME_UNKNOWN
        retry_after_s = None
        if fields.retry_after_ms is not None:
            if not _is_time(fields.retry_after_ms):
                raise errors.ConnectionBroken('invalid retry delay')
            retry_after_s = fields.retry_after_ms / 1e3
        return Failure(code, fields.detail or '', retry_after_s)
    proofs = fields.execution_proofs
    if not proofs or fields.body is None or fields.missing is None:
        raise errors.ConnectionBroken('incomplete answer to a gather')
    if fields.missing < 0 or len(set(proofs)) != len(proofs):
        raise errors.ConnectionBroken('invalid answer to a gather')
    return Gathered(tuple(proofs), fields.missing, _octets(fields.body))


def _octets(value: bytes | str) -> bytes:
    """Return a binary field, which thriftpy2 decodes if it is UTF-8."""
    return value.encode() if isinstance(value, str) else value


def _is_time(value: float | None) -> bool:
    return (
        value is not None
        and math.isfinite(value)
        and -_MAX_MS <= value <= _MAX_MS
    )
