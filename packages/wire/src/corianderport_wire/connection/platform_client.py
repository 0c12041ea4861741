"""corianderport_wire.connection.platform_client

HTTP client of the platform's configuration service and host list.
"""

import collections.abc
import logging
import typing

import cattrs
import cattrs.preconf.orjson
import orjson

from corianderport_tier import errors
from corianderport_tier.process import membership
from corianderport_tier.version import addresses
from corianderport_wire.connection import curl_client

__all__ = ['PlatformClient']

_CONNECT_TIMEOUT_S = 1.0
_WATCH_MARGIN_S = 2.0
_OK = 200
_NOT_MODIFIED = 304

_LOG = logging.getLogger(__name__)

_CONVERTER = cattrs.preconf.orjson.make_converter()


class PlatformClient:
    """A connection to the platform, used by one task."""

    def __init__(self, address: str) -> None:
        self._client = curl_client.CurlClient(address, _CONNECT_TIMEOUT_S)
        # Descriptions of the entries that the last host list had to ignore.
        self._ignored: set[str] = set()

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
        """Return the host list without its malformed entries.

        :raises TransportError: the call failed.
        """
        body = _body(self._client.get('/hosts', timeout_s))
        try:
            listed = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise errors.ConnectionBroken(
                f'malformed host list: {error}'
            ) from error
        if not isinstance(listed, list):
            raise errors.ConnectionBroken('the host list is not a list')
        members = []
        ignored = set()
        for entry in listed:
            try:
                members.append(_member(entry))
            except (cattrs.BaseValidationError, TypeError, ValueError):
                ignored.add(f'{entry!r:.200}')
        # Each entry is logged once, not at each read.
        for description in ignored - self._ignored:
            _LOG.warning('ignoring an entry of the host list: %s', description)
        self._ignored = ignored
        return members


def _member(entry: typing.Any) -> membership.Member:
    member = _CONVERTER.structure(entry, membership.Member)
    if not addresses.is_address(member.peer_address):
        raise ValueError('invalid address')
    return member


def _body(reply: curl_client.HttpReply) -> bytes:
    if reply.status != _OK:
        raise errors.ConnectionBroken(f'platform: status {reply.status}')
    return reply.body
