"""corianderport_operator.connection.admin_client

Reads the administration interface of one host.
"""

import re
import typing

import cattrs
import cattrs.preconf.orjson
import orjson

from corianderport_tier import closing
from corianderport_tier import errors
from corianderport_tier.process import administration
from corianderport_wire.connection import curl_client

__all__ = ['AdminClient']

_CONNECT_S = 2.0
_TIMEOUT_S = 5.0
_OK = 200
_CONVERTER = cattrs.preconf.orjson.make_converter()
_REFUSALS = re.compile(
    r'corianderport_refusals_total\{.*name="(\w+)".*\} (\d+)'
)

T = typing.TypeVar('T')


class AdminClient(closing.Closing):
    """A connection to the ``admin_address`` of a host.

    All methods raise TransportError when the host does not answer, and
    NotReady when it has no configuration yet.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = curl_client.CurlClient(address, _CONNECT_S)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    def ready(self) -> administration.ReadyView:
        """Return whether the host serves callers."""
        reply = self._client.get('/ready', _TIMEOUT_S)
        return self._decode(reply.body, administration.ReadyView)

    def version(self) -> administration.VersionView:
        """Return the version in force."""
        return self._decode(self._get('/version'), administration.VersionView)

    def upstreams(self) -> list[administration.UpstreamView]:
        """Return the searchers that the host sends to."""
        return self._decode(
            self._get('/upstreams'), list[administration.UpstreamView]
        )

    def refusals(self) -> dict[str, int]:
        """Return how many requests were refused, by name of the code."""
        text = self._get('/metrics').decode()
        return {name: int(count) for name, count in _REFUSALS.findall(text)}

    def configuration(self) -> bytes:
        """Return the document in force."""
        return self._get('/configuration')

    def _get(self, path: str) -> bytes:
        reply = self._client.get(path, _TIMEOUT_S)
        if reply.status == _OK:
            return reply.body
        try:
            detail = str(orjson.loads(reply.body)['detail'])
        except (orjson.JSONDecodeError, KeyError, TypeError):
            raise self._not_a_host(f'status {reply.status}') from None
        raise errors.NotReady(f'{self._address}: {detail}')

    def _decode(self, body: bytes, kind: type[T]) -> T:
        try:
            return _CONVERTER.structure(orjson.loads(body), kind)
        except (
            cattrs.BaseValidationError,
            orjson.JSONDecodeError,
            TypeError,
        ) as error:
            raise self._not_a_host('malformed answer') from error

    def _not_a_host(self, detail: str) -> errors.ConnectionBroken:
        return errors.ConnectionBroken(
            f'{self._address}: {detail}; is it the admin_address of a host?'
        )
