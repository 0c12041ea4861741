"""corianderport_wire.connection.caller_messages

Requests and responses as a listener exchanges them with its handler.
"""

import collections.abc

import attrs
import h11

from corianderport_wire.connection import http_exchange

__all__ = [
    'Arrival',
    'HttpResponse',
    'ReceivedRequest',
    'RequestHead',
    'RequestRejected',
    'WantsBody',
    'has_body',
    'response_head',
]

_HEAD = b'HEAD'
_CONTENT_LENGTH = b'content-length'
# Statuses of responses that have no body.
_BODILESS = frozenset({204, 304})


@attrs.frozen
class RequestHead:
    """The request line and the header fields of a request."""

    method: bytes
    target: bytes
    headers: http_exchange.Headers


@attrs.frozen
class Arrival:
    """When and how a request reached this host.

    ``received_s`` is the time at which its first bytes were noticed, in
    seconds of the host's monotonic clock. ``path_s`` is the time that the
    request and its response spend on the network as the caller counts it,
    with the opening of the connection; None if it is unknown.
    """

    received_s: float
    path_s: float | None = None


@attrs.frozen
class ReceivedRequest(http_exchange.HttpRequest):
    """A caller's request.

    ``received_s`` and ``path_s`` are those of its ``Arrival``.
    ``body_dropped`` says that the request had a body that was not stored.
    """

    received_s: float
    body_dropped: bool = False
    path_s: float | None = None


@attrs.frozen
class HttpResponse:
    """A response; its Content-Length is added when it is sent.

    Only the relayed response to HEAD and 304 have that of the searcher.
    """

    status: int
    headers: http_exchange.Headers
    body: bytes


@attrs.frozen
class RequestRejected(Exception):
    """A request is not served; its connection closes after the response."""

    status: int
    retry_after_s: float | None = None

    @property
    def response(self) -> HttpResponse:
        """The response to the request."""
        if self.retry_after_s is None:
            return HttpResponse(self.status, (), b'')
        retry_after = f'{self.retry_after_s:.3f}'.encode()
        return HttpResponse(self.status, ((b'retry-after', retry_after),), b'')


# Whether the body of a request is needed, asked with an empty body.
WantsBody = collections.abc.Callable[[ReceivedRequest], bool]


def has_body(response: HttpResponse, method: bytes) -> bool:
    """Whether the body of a response is sent.

    :param method: of the request; empty if it is unknown.
    """
    return (
        bool(response.body)
        and method != _HEAD
        and response.status not in _BODILESS
    )


def response_head(
    response: HttpResponse, closing: bool, method: bytes = b''
) -> h11.Response:
    """Return the head of a response.

    The length of a body that is not sent is stated only if the response has
    it: the body of a relayed one is unknown.

    :param method: of the request; empty if it is unknown.
    :raises LocalProtocolError: HTTP does not permit the status or a header.
    """
    headers = list(response.headers)
    if response.body or not (method == _HEAD or response.status in _BODILESS):
        headers.append((_CONTENT_LENGTH, str(len(response.body)).encode()))
    if closing:
        headers.append((b'connection', b'close'))
    return h11.Response(status_code=response.status, headers=headers)
