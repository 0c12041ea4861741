"""corianderport_wire.connection.caller_messages

Requests and responses as a listener exchanges them with its handler.
"""

import attrs
import h11

from corianderport_wire.connection import http_exchange

__all__ = [
    'HttpResponse',
    'ReceivedRequest',
    'RequestRejected',
    'response_head',
]


@attrs.frozen
class ReceivedRequest(http_exchange.HttpRequest):
    """A caller's request.

    ``received_s`` is the time at which its first bytes were read, in seconds
    of the host's monotonic clock.
    """

    received_s: float


@attrs.frozen
class HttpResponse:
    """A response; its Content-Length is added when it is sent."""

    status: int
    headers: http_exchange.Headers
    body: bytes


@attrs.frozen
class RequestRejected(Exception):
    """A request is not served; its connection closes after the response."""

    status: int


def response_head(response: HttpResponse, closing: bool) -> h11.Response:
    """Return the head of a response.

    :raises LocalProtocolError: HTTP does not permit the status or a header.
    """
    headers = [
        *response.headers,
        (b'content-length', str(len(response.body)).encode()),
    ]
    if closing:
        headers.append((b'connection', b'close'))
    return h11.Response(status_code=response.status, headers=headers)
