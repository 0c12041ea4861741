"""corianderport_wire.connection.platform_client

HTTP client of the platform's configuration service and host list.
"""

import collections.abc

import cattrs
import cattrs.preconf.orjson
import orjson

from corianderport_tier import errors
from corianderport_tier.process import membership
from corianderport_wire.connection import curl_client

__all__ = ['PlatformClient']

_CONNECT_TIMEOUT_S = 1.0
_WATCH_MARGIN_S = 2.0
_OK = 200
_NOT_MODIFIED = 304

_CONVERTER = cattrs.preconf.orjson.make_converter()


class PlatformClient:
    """A connection to the platform, used by one task."""

    def __init__(self, address: str) -> None:
        self._client = curl_client.CurlClient(address, _CONNECT_TIMEOUT_S)

    def watch_configuration(
        self, after: int, timeout_s: float
    ) -> bytes | None:
        """Wait for a version after ``after``; return None on timeout.

        :raises TransportError: the call failed.
        """
        reply = self._client.get(
            f'/configuration/watch?after={after}&timeout_ms='
            f'{int(timeout_s * 1e3)}',
            timeout_s + _WATCH_MARGIN_S,
        )
        if reply.status == _NOT_MODIFIED:
            return None
        return _body(reply)

    def hosts(
        self, timeout_s: float
    ) -> collections.abc.Sequence[membership.Member]:
        """Return the host list.

        :raises TransportError: the call failed.
        """
        body = _body(self._client.get('/hosts', timeout_s))
        try:
            return _CONVERTER.structure(
                orjson.loads(body), list[membership.Member]
            )
        except (
            cattrs.BaseValidationError,
            orjson.JSONDecodeError,
            TypeError,
        ) as error:
            raise errors.ConnectionBroken(
                f'malformed host list: {error}'
            ) from error


def _body(reply: curl_client.HttpReply) -> bytes:
    if reply.status != _OK:
        raise errors.ConnectionBroken(f'platform: status {reply.status}')
    return reply.body
