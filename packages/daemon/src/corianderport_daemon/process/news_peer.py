"""corianderport_daemon.process.news_peer

Keeps one connection to the host that reads the store for this one.
"""

import types
import typing

from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import membership
from corianderport_tier.version import registrations

__all__ = ['NewsConnection']

_DIAL_TIMEOUT_S = 0.5


class NewsConnection:
    """Implements ``registry_source.NewsPeer``; used by one task."""

    def __init__(self, dialer: transports.PeerDialer) -> None:
        self._dialer = dialer
        self._address = ''
        self._transport: transports.PeerTransport | None = None

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._drop()

    def news(
        self,
        member: membership.Member,
        after: registrations.Revision,
        wait_s: float,
        timeout_s: float,
    ) -> registrations.StoredEntries:
        """Wait for changes; a failure closes the connection."""
        if self._transport is None or self._address != member.peer_address:
            self._drop()
            self._transport = self._dialer.dial(member, _DIAL_TIMEOUT_S)
            self._address = member.peer_address
        try:
            return self._transport.news(after, wait_s, timeout_s)
        except errors.TransportError:
            self._drop()
            raise

    def _drop(self) -> None:
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.close()
