"""corianderport_tier.process.owned_services

The services that this host sends to, with their connections.
"""

import collections.abc
import concurrent.futures
import random
import threading
import types
import typing

from corianderport_tier import clocks
from corianderport_tier.connection import pool
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import ownership_types
from corianderport_tier.process import selection
from corianderport_tier.process import upstreams
from corianderport_tier.version import configuration

__all__ = ['OwnedService', 'OwnedServices', 'SearcherFilter']

# Two owners may hold connections to a searcher while ownership moves, and
# one more host may still close its own.
_OWNERS_AT_ONCE = 3
_DIAL_TIMEOUT_S = 1.0

SearcherFilter = collections.abc.Callable[[configuration.Searcher], bool]
UpstreamPool = pool.ConnectionPool[transports.UpstreamTransport]


class OwnedService:
    """One service: state of its searchers and their connections."""

    def __init__(
        self,
        service: configuration.Service,
        state: upstreams.ServiceUpstreams,
        dialer: transports.UpstreamDialer,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
    ) -> None:
        self.service = service
        self.upstreams = state
        self._dialer = dialer
        self._executor = executor
        self._clock = clock
        self.lock = threading.Lock()
        self.term = 0
        self._lock = threading.Lock()
        self._pools: dict[str, UpstreamPool] = {}
        self._addresses = {s.address for s in service.searchers}

    def pool(self, searcher: configuration.Searcher) -> UpstreamPool:
        """Return the connections to a searcher's address.

        :raises NoUpstream: the service has no such address any more.
        """
        with self._lock:
            if searcher.address not in self._addresses:
                raise errors.NoUpstream(f'{searcher.name} is gone')
            found = self._pools.get(searcher.address)
            if found is None:
                found = self._new_pool(searcher)
                self._pools[searcher.address] = found
            return found

    def update(
        self, service: configuration.Service, in_service: SearcherFilter
    ) -> None:
        """Take over a new version and close pools of gone addresses."""
        self.upstreams.update(service, in_service)
        with self._lock:
            self._addresses = {s.address for s in service.searchers}
            gone = [a for a in self._pools if a not in self._addresses]
            closing = [self._pools.pop(address) for address in gone]
        # Set last: readers without a lock take it as a sign that the
        # version has been taken over.
        self.service = service
        for old in closing:
            old.close()

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            closing = list(self._pools.values())
            self._pools.clear()
        for old in closing:
            old.close()

    def _new_pool(self, searcher: configuration.Searcher) -> UpstreamPool:
        limits = self.service.limits
        return pool.ConnectionPool(
            lambda: self._dialer.dial(searcher, _DIAL_TIMEOUT_S),
            self._executor,
            self._clock,
            pool.PoolLimits(max(1, limits.connections // _OWNERS_AT_ONCE)),
        )


class OwnedServices:
    """All services that this host has sent to."""

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        dialer: transports.UpstreamDialer,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        policy: selection.SelectionPolicy,
        rng: random.Random,
        held: ownership_types.LeaseCheck | None = None,
    ) -> None:
        self._leases = ownership_types.AlwaysFull() if held is None else held
        self._extra = upstreams.extra_budget()
        self._by_searcher: dict[str, OwnedService] = {}
        self._store = store
        self._dialer = dialer
        self._executor = executor
        self._clock = clock
        self._policy = policy
        self._rng = rng
        self._lock = threading.Lock()
        self._services: dict[str, OwnedService] = {}

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        with self._lock:
            services = list(self._services.values())
            self._services.clear()
        for owned in services:
            owned.close()

    def get(self, name: str) -> OwnedService:
        """Return the state of a service, brought to the present version.

        :raises UnknownService: the configuration has no such service.
        """
        owned = self._current(name)
        term = self._leases.term(name)
        with owned.lock:
            if owned.term != term:
                owned.term = term
                owned.upstreams.start_over()
        return owned

    def _current(self, name: str) -> OwnedService:
        owned = self._services.get(name)
        if owned is not None and owned.service is self._configured(name):
            return owned
        with self._lock:
            # Read under the lock, so that no older version is taken over
            # after a newer one.
            service = self._configured(name)
            owned = self._services.get(name)
            if owned is None:
                owned = self._new_service(service)
                self._services[name] = owned
            elif owned.service is not service:
                owned.update(service, self._store.current().may_get_work)
            for searcher in service.searchers:
                self._by_searcher[searcher.name] = owned
            return owned

    def allowed(self, counted: int = 0) -> SearcherFilter:
        """Return the check of the version and the lease at this moment.

        :param counted: 1 for a searcher on which the request in question
            is counted already.
        """
        may_get_work = self._store.current().may_get_work

        def allowed(searcher: configuration.Searcher) -> bool:
            return may_get_work(searcher) and self._lease_allows(
                searcher, counted
            )

        return allowed

    def warm(self, service: str) -> tuple[str, ...]:
        """Return the names of a service's warm searchers."""
        owned = self._services.get(service)
        return () if owned is None else owned.upstreams.warm()

    def idle(self, service: str) -> bool:
        """Whether nothing may be running at a service's searchers."""
        owned = self._services.get(service)
        return owned is None or owned.upstreams.idle()

    def _lease_allows(
        self, searcher: configuration.Searcher, counted: int
    ) -> bool:
        owned = self._by_searcher.get(searcher.name)
        if owned is None:
            return True
        state = self._leases.may_send(owned.service.name)
        if state is ownership_types.LeaseState.RESTRICTED:
            name = searcher.name
            if owned.upstreams.is_warm_and_half_free(name, counted):
                return True
            inherited = self._leases.inherited(owned.service.name)
            return name in inherited and owned.upstreams.is_idle(name, counted)
        return state is ownership_types.LeaseState.FULL

    def states(self) -> dict[str, list[upstreams.Upstream]]:
        """Return the state of each searcher, by service."""
        with self._lock:
            owned = dict(self._services)
        return {
            name: service.upstreams.states() for name, service in owned.items()
        }

    def _configured(self, name: str) -> configuration.Service:
        service = self._store.current().services.get(name)
        if service is None:
            raise errors.UnknownService(f'unknown service {name!r}')
        return service

    def _new_service(self, service: configuration.Service) -> OwnedService:
        state = upstreams.ServiceUpstreams(
            service, self._policy, self._rng, self._clock, self._extra
        )
        return OwnedService(
            service, state, self._dialer, self._executor, self._clock
        )
