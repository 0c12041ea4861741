"""corianderport_daemon.process.registry_connection

Connection to the host from which this one reads registry changes.
"""

from corianderport_tier import closing
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import membership
from corianderport_tier.version import registrations

__all__ = ['RegistryConnection']

_DIAL_TIMEOUT_S = 0.5


class RegistryConnection(closing.Closing):
    """Implements ``registry_source.RegistryPeer``; used by one task."""

    def __init__(self, dialer: transports.PeerDialer) -> None:
        self._dialer = dialer
        self._address = ''
        self._transport: transports.PeerTransport | None = None

    def registry_changes(
        self,
        member: membership.Member,
        after: registrations.Revision,
        wait_s: float,
        timeout_s: float,
    ) -> registrations.StoredEntries:
        """Wait for changes of the registry, connecting if necessary.

        A transport error closes the connection.
        """
        transport = self._connect(member)
        try:
            return transport.registry_changes(after, wait_s, timeout_s)
        except errors.TransportError:
            self.close()
            raise

    def registry_entries(
        self, member: membership.Member, timeout_s: float
    ) -> registrations.StoredEntries:
        """Return all entries that another host knows.

        A transport error closes the connection.
        """
        transport = self._connect(member)
        try:
            return transport.registry_entries(timeout_s)
        except errors.TransportError:
            self.close()
            raise

    def _connect(self, member: membership.Member) -> transports.PeerTransport:
        if self._transport is None or self._address != member.peer_address:
            self.close()
            self._transport = self._dialer.dial(member, _DIAL_TIMEOUT_S)
            self._address = member.peer_address
        return self._transport

    def close(self) -> None:
        """Close the connection."""
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.close()
