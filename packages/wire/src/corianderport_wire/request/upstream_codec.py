"""corianderport_wire.request.upstream_codec

JSON bodies of the calls between a host and a searcher.
"""

import typing

import cattrs
import cattrs.preconf.orjson
import orjson

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages

__all__ = [
    'decode_action',
    'decode_action_reply',
    'decode_refusal',
    'decode_search',
    'decode_search_reply',
    'encode_action',
    'encode_action_reply',
    'encode_refusal',
    'encode_search',
    'encode_search_reply',
]

_CONVERTER = cattrs.preconf.orjson.make_converter()

T = typing.TypeVar('T')
Json = dict[str, typing.Any]


def _decode(body: bytes, message_class: type[T]) -> T:
    try:
        return _CONVERTER.structure(orjson.loads(body), message_class)
    except (
        orjson.JSONDecodeError,
        cattrs.BaseValidationError,
        TypeError,
        ValueError,
    ) as error:
        raise errors.ConnectionBroken(
            f'malformed {message_class.__name__}: {error}'
        ) from error


def _encode_with_deadline(message: object, clock: clocks.Clock) -> bytes:
    """Encode a message; its deadline becomes the remaining milliseconds."""
    fields: Json = _CONVERTER.unstructure(message)
    deadline = deadlines.Deadline(fields.pop('deadline')['at_s'])
    fields['deadline_ms'] = deadline.remaining(clock) * 1e3
    return orjson.dumps(fields)


def _decode_with_deadline(
    body: bytes, message_class: type[T], clock: clocks.Clock
) -> T:
    """Decode a message whose deadline is given in remaining milliseconds."""
    try:
        fields: Json = orjson.loads(body)
        remaining_s = float(fields.pop('deadline_ms')) / 1e3
        fields['deadline'] = {'at_s': clock.monotonic() + remaining_s}
        return _CONVERTER.structure(fields, message_class)
    except (
        orjson.JSONDecodeError,
        cattrs.BaseValidationError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise errors.MalformedRequest(
            f'malformed {message_class.__name__}: {error}'
        ) from error


def encode_search(call: messages.UpstreamSearch, clock: clocks.Clock) -> bytes:
    """Encode the request body of ``POST /search``."""
    return _encode_with_deadline(call, clock)


def decode_search(body: bytes, clock: clocks.Clock) -> messages.UpstreamSearch:
    """Decode the request body of ``POST /search``.

    :raises MalformedRequest: the body is malformed.
    """
    return _decode_with_deadline(body, messages.UpstreamSearch, clock)


def encode_search_reply(reply: messages.UpstreamSearchReply) -> bytes:
    """Encode the response body of ``POST /search``."""
    return orjson.dumps(_CONVERTER.unstructure(reply))


def decode_search_reply(body: bytes) -> messages.UpstreamSearchReply:
    """Decode the response body of ``POST /search``.

    :raises ConnectionBroken: the body is malformed.
    """
    return _decode(body, messages.UpstreamSearchReply)


def encode_action(call: messages.UpstreamAction, clock: clocks.Clock) -> bytes:
    """Encode the request body of ``POST /act``."""
    return _encode_with_deadline(call, clock)


def decode_action(body: bytes, clock: clocks.Clock) -> messages.UpstreamAction:
    """Decode the request body of ``POST /act``.

    :raises MalformedRequest: the body is malformed.
    """
    return _decode_with_deadline(body, messages.UpstreamAction, clock)


def encode_action_reply(reply: messages.UpstreamActionReply) -> bytes:
    """Encode the response body of ``POST /act``."""
    return orjson.dumps(_CONVERTER.unstructure(reply))


def decode_action_reply(body: bytes) -> messages.UpstreamActionReply:
    """Decode the response body of ``POST /act``.

    :raises ConnectionBroken: the body is malformed.
    """
    return _decode(body, messages.UpstreamActionReply)


def encode_refusal(refusal: messages.UpstreamRefusal) -> bytes:
    """Encode the body with which a searcher refuses a request."""
    return orjson.dumps(_CONVERTER.unstructure(refusal))


def decode_refusal(body: bytes) -> messages.UpstreamRefusal:
    """Decode the body with which a searcher refuses a request.

    :raises ConnectionBroken: the body is malformed.
    """
    return _decode(body, messages.UpstreamRefusal)
