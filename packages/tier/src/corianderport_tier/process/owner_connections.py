"""corianderport_tier.process.owner_connections

Connections to the hosts that own parts of quotas.
"""

import collections.abc
import concurrent.futures
import threading

from corianderport_tier import clocks
from corianderport_tier import closing
from corianderport_tier.connection import owner_connection
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import limit_events
from corianderport_tier.process import membership
from corianderport_tier.process import quota_messages

__all__ = ['OwnerConnections']


class OwnerConnections(closing.Closing):
    """Implements ``QuotaPeers`` with one connection for each owner in use.

    :param view: returns the current view of the membership.
    :param on_refused: called with a host on whose address no process
        listens.
    :param events: counts calls that failed unexpectedly.
    """

    def __init__(
        self,
        dialer: transports.PeerDialer,
        view: collections.abc.Callable[[], membership.View],
        on_refused: collections.abc.Callable[[membership.Member], None],
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        events: limit_events.LimitEvents | None = None,
    ) -> None:
        self._events = events or limit_events.LimitEvents(
            decision_log.DecisionLog(), clock
        )
        self._dialer = dialer
        self._view = view
        self._on_refused = on_refused
        self._executor = executor
        self._clock = clock
        self._lock = threading.Lock()
        self._closed = False
        # By name and address, since a host may restart with another address.
        self._connections: dict[
            tuple[str, str], owner_connection.OwnerConnection
        ] = {}
        self._indexed: tuple[
            membership.View | None, dict[str, membership.Member]
        ]
        self._indexed = (None, {})

    @property
    def size(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def request(
        self,
        host: str,
        request: quota_messages.QuotaRequest,
        timeout_s: float,
    ) -> quota_messages.QuotaGrant:
        """Ask a host for tokens.

        :raises TransportError: the host did not reply.
        :raises Refusal: the host does not grant tokens of the workspace.
        """
        member = self._find(host)
        try:
            return self._connection(member).call(request, timeout_s)
        except errors.ConnectionStale:
            # It was closed as idle at this moment.
            return self._connection(member).call(request, timeout_s)
        except errors.ConnectRefused:
            self._on_refused(member)
            raise

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            self._closed = True
            connections = list(self._connections.values())
        for connection in connections:
            connection.close()

    def _find(self, host: str) -> membership.Member:
        view = self._view()
        indexed, by_name = self._indexed
        if indexed is not view:
            by_name = {member.name: member for member in view.members}
            self._indexed = (view, by_name)
        member = by_name.get(host)
        if member is None:
            raise errors.ConnectFailed(f'the address of {host} is unknown')
        return member

    def _connection(
        self, member: membership.Member
    ) -> owner_connection.OwnerConnection:
        key = (member.name, member.peer_address)
        with self._lock:
            if self._closed:
                raise errors.ConnectFailed('the host is shutting down')
            connection = self._connections.get(key)
            if connection is not None and not connection.closed:
                return connection
            connection = owner_connection.OwnerConnection(
                lambda timeout_s: self._dialer.dial(member, timeout_s),
                self._clock,
                self._events,
            )
            self._connections[key] = connection
        try:
            self._executor.submit(self._run, key, connection)
        except RuntimeError as error:
            self._forget(key, connection)
            raise errors.ConnectFailed(f'no thread: {error}') from error
        return connection

    def _run(
        self,
        key: tuple[str, str],
        connection: owner_connection.OwnerConnection,
    ) -> None:
        try:
            connection.run()
        finally:
            self._forget(key, connection)

    def _forget(
        self,
        key: tuple[str, str],
        connection: owner_connection.OwnerConnection,
    ) -> None:
        connection.close()
        with self._lock:
            if self._connections.get(key) is connection:
                del self._connections[key]
