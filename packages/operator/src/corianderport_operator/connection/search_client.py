"""corianderport_operator.connection.search_client

HTTP client that sends a search to a host, as a caller does.
"""

import attrs
import cattrs
import cattrs.preconf.orjson
import orjson

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import messages
from corianderport_wire.connection import curl_client

__all__ = ['SearchCall', 'SearchReply', 'send']

_CONNECT_TIMEOUT_S = 2.0
_TIMEOUT_MARGIN_S = 2.0
_CONVERTER = cattrs.preconf.orjson.make_converter()


@attrs.frozen
class SearchCall:
    """Body of a search request."""

    query: str
    limit: int
    deadline_ms: float
    customer: str


@attrs.frozen
class SearchReply:
    """A host's answer and the time that it took.

    ``snapshot`` is 0 if the search was refused; ``detail`` is then the
    reason.
    """

    code: int
    name: str
    ran: str
    request_id: str = ''
    snapshot: int = 0
    coverage: messages.Coverage = messages.Coverage(0.0, ())
    hits: tuple[messages.Hit, ...] = ()
    detail: str = ''
    elapsed_ms: float = 0.0


def send(
    address: str, search: str, call: SearchCall, clock: clocks.Clock
) -> SearchReply:
    """Send a search on a new connection and return the answer.

    :param address: ``caller_address`` of the host.
    :raises TransportError: the host did not answer, or its answer is
        malformed.
    """
    body = orjson.dumps(_CONVERTER.unstructure(call))
    timeout_s = call.deadline_ms / 1e3 + _TIMEOUT_MARGIN_S
    client = curl_client.CurlClient(address, _CONNECT_TIMEOUT_S)
    started_s = clock.monotonic()
    try:
        reply = client.post(f'/v1/search/{search}', body, timeout_s)
    finally:
        client.close()
    elapsed_ms = (clock.monotonic() - started_s) * 1e3
    try:
        answer = _CONVERTER.structure(orjson.loads(reply.body), SearchReply)
    except (
        cattrs.BaseValidationError,
        orjson.JSONDecodeError,
        TypeError,
    ) as error:
        raise errors.ConnectionBroken(
            f'{address}: malformed answer; is it the caller_address of a host?'
        ) from error
    return attrs.evolve(answer, elapsed_ms=round(elapsed_ms, 2))
