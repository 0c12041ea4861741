"""corianderport_tier.process.connection_kinds

Which tasks send the requests to a service.
"""

import collections.abc
import functools
import typing

from corianderport_tier.connection import direct_connection
from corianderport_tier.connection import pool
from corianderport_tier.connection import pooled_connection
from corianderport_tier.connection import transports
from corianderport_tier.version import routes

__all__ = ['ConnectionKinds']

Transport = transports.SearcherTransport


class ConnectionKinds:
    """Chooses the kind of each new connection to a searcher.

    The task of a request sends on the connections to services that a route of
    the highest priority shares with a route of another one. On the others, the
    task of each connection does: if the request's tasks sent there too, wide
    gathers would take so much from narrow ones of lower priority on a
    deployment of 58 hosts that these earned 0.38 of their worth in place of
    0.56.

    :param routing: returns the routing in force, None before one has been
        read.
    """

    def __init__(
        self,
        routing: collections.abc.Callable[[], routes.RoutingVersion | None],
    ) -> None:
        self._routing = routing

    def for_service(self, service: str) -> pool.OpenConnection[Transport]:
        """Return what opens connections to the searchers of a service."""
        return functools.partial(self._open, service)

    def _open(
        self,
        service: str,
        owner: pooled_connection.Owner[Transport],
        job: pool.Job[typing.Any],
        opened_s: float,
    ) -> pool.PooledConnection[Transport]:
        routing = self._routing()
        if routing is not None and service in routing.mixed_rank_services:
            return direct_connection.DirectConnection(owner, job, opened_s)
        return pool.Connection(owner, job, opened_s)
