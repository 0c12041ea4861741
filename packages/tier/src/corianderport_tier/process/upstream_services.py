"""corianderport_tier.process.upstream_services

Services that this host sends requests to, and their connections.
"""

import collections.abc
import concurrent.futures
import random
import threading

from corianderport_tier import clocks
from corianderport_tier import closing
from corianderport_tier.connection import pool
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import selection
from corianderport_tier.process import service_budgets
from corianderport_tier.process import upstreams
from corianderport_tier.process import warming_hosts
from corianderport_tier.version import configuration

__all__ = ['SearcherFilter', 'UpstreamService', 'UpstreamServices']

_DIAL_TIMEOUT_S = 1.0

SearcherFilter = collections.abc.Callable[[configuration.Searcher], bool]
UpstreamPool = pool.ConnectionPool[transports.UpstreamTransport]


class UpstreamService:
    """One service: the state of its searchers and their connections."""

    def __init__(
        self,
        service: configuration.Service,
        state: upstreams.ServiceUpstreams,
        dialer: transports.UpstreamDialer,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        hosts: warming_hosts.SharingHosts,
    ) -> None:
        self.service = service
        self.upstreams = state
        self._dialer = dialer
        self._executor = executor
        self._clock = clock
        self._hosts = hosts
        self._lock = threading.Lock()
        self._pools: dict[str, UpstreamPool] = {}
        self._addresses = {s.address for s in service.searchers}

    def pool(self, searcher: configuration.Searcher) -> UpstreamPool:
        """Return the connection pool for a searcher's address.

        :raises NoUpstream: the address is no longer part of the service.
        """
        with self._lock:
            if searcher.address not in self._addresses:
                raise errors.NoUpstream(
                    f'{searcher.name} is no longer configured at this address'
                )
            upstream_pool = self._pools.get(searcher.address)
            if upstream_pool is None:
                upstream_pool = self._new_pool(searcher)
                self._pools[searcher.address] = upstream_pool
            self._limit_connections()
            return upstream_pool

    def update(
        self, service: configuration.Service, in_service: SearcherFilter
    ) -> None:
        """Apply a new version and close the pools of removed addresses."""
        self.upstreams.update(service, in_service)
        with self._lock:
            self._addresses = {s.address for s in service.searchers}
            removed_addresses = [
                a for a in self._pools if a not in self._addresses
            ]
            removed_pools = [self._pools.pop(a) for a in removed_addresses]
        # Set last: it shows unlocked readers that the version has been
        # applied.
        self.service = service
        with self._lock:
            self._limit_connections()
        for removed_pool in removed_pools:
            removed_pool.close()

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            removed_pools = list(self._pools.values())
            self._pools.clear()
        for removed_pool in removed_pools:
            removed_pool.close()

    @property
    def _connections(self) -> int:
        """This host's share of the connections that a searcher accepts."""
        return max(1, self.service.limits.connections // self._hosts.count)

    def _limit_connections(self) -> None:
        """Apply this host's share to all pools, also to those not in use."""
        connections = self._connections
        for upstream_pool in self._pools.values():
            upstream_pool.limit_connections(connections)

    def _new_pool(self, searcher: configuration.Searcher) -> UpstreamPool:
        return pool.ConnectionPool(
            lambda: self._dialer.dial(searcher, _DIAL_TIMEOUT_S),
            self._executor,
            self._clock,
            pool.PoolLimits(self._connections),
        )


class UpstreamServices(closing.Closing):
    """All services that this host has sent requests to."""

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        dialer: transports.UpstreamDialer,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        policy: selection.SelectionPolicy,
        rng: random.Random,
        hosts: warming_hosts.SharingHosts | None = None,
    ) -> None:
        self._hosts = warming_hosts.SingleHost() if hosts is None else hosts
        self._extra = service_budgets.host_budget()
        self._store = store
        self._dialer = dialer
        self._executor = executor
        self._clock = clock
        self._policy = policy
        self._rng = rng
        self._lock = threading.Lock()
        self._services: dict[str, UpstreamService] = {}

    def close(self) -> None:
        """Close the connections of all services."""
        with self._lock:
            services = list(self._services.values())
            self._services.clear()
        for service in services:
            service.close()

    def get(self, name: str) -> UpstreamService:
        """Return a service, updated to the current configuration version.

        :raises UnknownService: the configuration has no such service.
        """
        service = self._services.get(name)
        if service is not None and service.service is self._configured(name):
            return service
        with self._lock:
            # Read under the lock, so that no older version is applied after
            # a newer one.
            configured = self._configured(name)
            service = self._services.get(name)
            if service is None:
                service = self._new_service(configured)
                self._services[name] = service
            elif service.service is not configured:
                service.update(configured, self._store.current().is_in_service)
            return service

    def allowed(self) -> SearcherFilter:
        """Return the filter for searchers in service, as configured now."""
        return self._store.current().is_in_service

    def states(self) -> dict[str, list[upstreams.Upstream]]:
        """Return the state of each searcher, by service."""
        with self._lock:
            services = dict(self._services)
        return {
            name: service.upstreams.states()
            for name, service in services.items()
        }

    def _configured(self, name: str) -> configuration.Service:
        service = self._store.current().services.get(name)
        if service is None:
            raise errors.UnknownService(f'unknown service {name!r}')
        return service

    def _new_service(self, service: configuration.Service) -> UpstreamService:
        state = upstreams.ServiceUpstreams(
            service,
            self._policy,
            self._rng,
            self._clock,
            self._extra,
            self._hosts,
        )
        return UpstreamService(
            service,
            state,
            self._dialer,
            self._executor,
            self._clock,
            self._hosts,
        )
