"""corianderport_operator.connection.admin_client

HTTP client of the administration interface of a host.
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

_CONNECT_TIMEOUT_S = 2.0
_REQUEST_TIMEOUT_S = 5.0
_HTTP_OK = 200
_CONVERTER = cattrs.preconf.orjson.make_converter()
_REFUSALS_METRIC = re.compile(
    r'corianderport_refusals_total\{.*name="(\w+)".*\} (\d+)'
)

T = typing.TypeVar('T')


class AdminClient(closing.Closing):
    """A connection to the ``admin_address`` of a host.

    All methods raise TransportError if the host does not answer, and
    NotReady if it has no configuration yet.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = curl_client.CurlClient(address, _CONNECT_TIMEOUT_S)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    def ready(self) -> administration.ReadyView:
        """Return whether the host serves callers, and the reason if not."""
        reply = self._client.get('/ready', _REQUEST_TIMEOUT_S)
        return self._decode(reply.body, administration.ReadyView)

    def version(self) -> administration.VersionView:
        """Return the version in force and why a later one was refused."""
        return self._decode(self._get('/version'), administration.VersionView)

    def upstreams(self) -> list[administration.UpstreamView]:
        """Return the state of the searchers that the host sends to."""
        return self._decode(
            self._get('/upstreams'), list[administration.UpstreamView]
        )

    def refusals(self) -> dict[str, int]:
        """Return the number of refused requests for each result code name."""
        text = self._get('/metrics').decode()
        return {
            name: int(count) for name, count in _REFUSALS_METRIC.findall(text)
        }

    def configuration(self) -> bytes:
        """Return the configuration document in force."""
        return self._get('/configuration')

    def _get(self, path: str) -> bytes:
        reply = self._client.get(path, _REQUEST_TIMEOUT_S)
        if reply.status == _HTTP_OK:
            return reply.body
        try:
            detail = str(orjson.loads(reply.body)['detail'])
        except (orjson.JSONDecodeError, KeyError, TypeError):
            raise self._unexpected_reply(f'status {reply.status}') from None
        raise errors.NotReady(f'{self._address}: {detail}')

    def _decode(self, body: bytes, expected_type: type[T]) -> T:
        try:
            return _CONVERTER.structure(orjson.loads(body), expected_type)
        except (
            cattrs.BaseValidationError,
            orjson.JSONDecodeError,
            TypeError,
        ) as error:
            raise self._unexpected_reply('malformed answer') from error

    def _unexpected_reply(self, detail: str) -> errors.ConnectionBroken:
        return errors.ConnectionBroken(
            f'{self._address}: {detail}; is it the admin_address of a host?'
        )
