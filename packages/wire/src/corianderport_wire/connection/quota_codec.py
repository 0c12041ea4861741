"""corianderport_wire.connection.quota_codec

Thrift structures of the calls for tokens of a quota.
"""

import math
import typing

from corianderport_tier import errors
from corianderport_tier.process import quota_messages
from corianderport_wire.connection import peer_codec

__all__ = [
    'grant_from_thrift',
    'grant_to_thrift',
    'request_from_thrift',
    'request_to_thrift',
]

_PEER = peer_codec.PEER
# Largest number of tokens and longest time that a message may contain.
_MAX_TOKENS = 1_000_000
_MAX_MS = 3_600_000.0


def request_to_thrift(request: quota_messages.QuotaRequest) -> typing.Any:
    """Encode a request for tokens."""
    return _PEER.QuotaRequest(
        workspace=request.workspace, tokens=request.tokens, rank=request.rank
    )


def request_from_thrift(fields: typing.Any) -> quota_messages.QuotaRequest:
    """Decode a request for tokens.

    :raises MalformedRequest: a field is missing or out of range.
    """
    if not isinstance(fields.workspace, str) or fields.rank is None:
        raise errors.MalformedRequest('incomplete request for tokens')
    if not _within(fields.tokens, _MAX_TOKENS):
        raise errors.MalformedRequest('number of tokens is out of range')
    return quota_messages.QuotaRequest(
        fields.workspace, fields.tokens, fields.rank
    )


def grant_to_thrift(grant: quota_messages.QuotaGrant) -> typing.Any:
    """Encode granted tokens."""
    return _PEER.QuotaGrant(
        granted=grant.granted,
        retry_after_ms=grant.retry_after_s * 1e3,
        valid_ms=grant.valid_s * 1e3,
    )


def grant_from_thrift(fields: typing.Any) -> quota_messages.QuotaGrant:
    """Decode granted tokens.

    :raises ConnectionBroken: a field is missing or out of range.
    """
    if (
        not _within(fields.granted, _MAX_TOKENS)
        or not _within(fields.retry_after_ms, _MAX_MS)
        or not _within(fields.valid_ms, _MAX_MS)
    ):
        raise errors.ConnectionBroken('invalid grant of tokens')
    return quota_messages.QuotaGrant(
        fields.granted, fields.retry_after_ms / 1e3, fields.valid_ms / 1e3
    )


def _within(value: float | None, most: float) -> bool:
    return value is not None and math.isfinite(value) and 0 <= value <= most
