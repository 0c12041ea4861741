"""corianderport_tier.process.peers

Connection pools to the other hosts.
"""

import concurrent.futures
import threading

from corianderport_tier import clocks
from corianderport_tier import closing
from corianderport_tier.connection import pool
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import membership

__all__ = ['Peers']

_CONNECTIONS_PER_PEER = 32
_DIAL_TIMEOUT_S = 1.0

PeerPool = pool.ConnectionPool[transports.PeerTransport]


class Peers(closing.Closing):
    """One connection pool for each address of another host."""

    def __init__(
        self,
        dialer: transports.PeerDialer,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
    ) -> None:
        self._dialer = dialer
        self._executor = executor
        self._clock = clock
        self._lock = threading.Lock()
        self._pools: dict[str, PeerPool] = {}

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            pools = list(self._pools.values())
            self._pools.clear()
        for peer_pool in pools:
            peer_pool.close()

    def dial(
        self, member: membership.Member, timeout_s: float
    ) -> transports.PeerTransport:
        """Open an unpooled connection, which the caller closes.

        :raises ConnectFailed: not connected within the timeout.
        """
        limit_s = min(_DIAL_TIMEOUT_S, timeout_s)
        if limit_s <= 0:
            raise errors.ConnectFailed('no time left to connect')
        return self._dialer.dial(member, limit_s)

    def pool(self, member: membership.Member) -> PeerPool:
        """Return the connection pool for a host's current address."""
        with self._lock:
            peer_pool = self._pools.get(member.peer_address)
            if peer_pool is None:
                peer_pool = pool.ConnectionPool(
                    lambda: self._dialer.dial(member, _DIAL_TIMEOUT_S),
                    self._executor,
                    self._clock,
                    pool.PoolLimits(_CONNECTIONS_PER_PEER),
                )
                self._pools[member.peer_address] = peer_pool
            return peer_pool
