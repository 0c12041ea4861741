"""corianderport_tier.process.directory

Directory of the routing and the searchers that the platform publishes.

An entry whose revision is not newer than the known one is ignored,
whether the entry comes from the store or from another host.
"""

import collections
import collections.abc
import logging
import threading
import types

from corianderport_tier import clocks
from corianderport_tier.process import decision_log
from corianderport_tier.process import send_order
from corianderport_tier.process import service_searchers
from corianderport_tier.version import registrations
from corianderport_tier.version import routes
from corianderport_tier.version import workspaces as workspaces_module

__all__ = ['Directory', 'ServiceFactory']

_LOG = logging.getLogger(__name__)

# Searchers whose entries expired while the platform was unavailable
# register again within this time after it is available.
_REREGISTRATION_S = 2.0
# Maximum time for which a routing version with a new service waits for the
# service's searchers to register. Versions have to be in force within three
# seconds.
_SEARCHER_WAIT_S = 1.5

ServiceFactory = collections.abc.Callable[
    [str], service_searchers.ServiceSearchers
]
Entry = registrations.Entry
_NO_SERVICES: collections.abc.Mapping[str, service_searchers.ServiceSearchers]
_NO_SERVICES = types.MappingProxyType({})


class Directory:
    """Holds the newest entries and keeps the services up to date.

    :param create_service: creates the state of a new service.
    :param order: order of the sends that wait for capacity; a changed value
        takes effect with the next ``refresh``.
    """

    def __init__(
        self,
        create_service: ServiceFactory,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
        order: send_order.OrderSetting | None = None,
    ) -> None:
        self._create_service = create_service
        self._order = order or send_order.OrderSetting()
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._entries: dict[str, Entry] = {}
        self._removed: dict[str, registrations.Revision] = {}
        # Entries that were missing when the platform became available
        # again, with the time until which their searchers are still used.
        self._lapsed: dict[str, float] = {}
        self._services = _NO_SERVICES
        self._routing: routes.RoutingVersion | None = None
        # A newer version that waits for its searchers to register, and the
        # time at which it is activated without them.
        self._next_routing: routes.RoutingVersion | None = None
        self._next_routing_due_s = 0.0
        self._workspaces: workspaces_module.Workspaces | None = None
        self._out_of_service: frozenset[str] = frozenset()
        self._searcher_seen = False

    @property
    def routing(self) -> routes.RoutingVersion | None:
        """The routing in force, None before one has been read."""
        return self._routing

    @property
    def workspaces(self) -> workspaces_module.Workspaces | None:
        """The workspaces of the newest version known.

        They apply at once, also while the version waits for searchers. None
        if requests need no key.
        """
        return self._workspaces

    @property
    def complete(self) -> bool:
        """Whether routing and searchers have been read."""
        return self._routing is not None and self._searcher_seen

    def service(self, name: str) -> service_searchers.ServiceSearchers | None:
        """Return the state of a service, None if it is unknown."""
        return self._services.get(name)

    def replace(
        self, prefix: str, listing: registrations.Listing, returned: bool
    ) -> None:
        """Replace all entries below a prefix.

        :param returned: whether the platform was unavailable before, so
            that missing searchers may be about to register again.
        """
        listed = {entry.key for entry in listing.entries}
        with self._lock:
            removed = [
                Entry(key, listing.revision, None)
                for key, entry in self._entries.items()
                if key.startswith(prefix)
                and key not in listed
                and entry.revision <= listing.revision
            ]
            changed = [*listing.entries, *removed]
            self._apply(changed, self._lapse_until_s(returned))

    def apply(
        self,
        changes: collections.abc.Iterable[Entry],
        returned: bool = False,
    ) -> None:
        """Apply changes of single entries in order."""
        with self._lock:
            self._apply(changes, self._lapse_until_s(returned))

    def close_expired_connections(self) -> None:
        """Close connections that have been idle for too long."""
        for service in self._services.values():
            service.close_expired()

    def expire(self) -> None:
        """Remove lapsed searchers and activate a version that is due."""
        now_s = self._clock.monotonic()
        with self._lock:
            if self._next_routing and self._next_routing_due_s <= now_s:
                self._activate_next_routing(
                    'not all its services had searchers in time'
                )
                self._refresh(frozenset())
            due_keys = [
                k for k, until_s in self._lapsed.items() if until_s <= now_s
            ]
            for key in due_keys:
                del self._lapsed[key]
                entry = self._entries.pop(key)
                self._log_entry(
                    'lapsed', entry, 'the searcher did not register again'
                )
            if due_keys:
                self._refresh(frozenset())

    def refresh(self) -> None:
        """Update the services after the number of hosts has changed."""
        with self._lock:
            self._refresh(frozenset())

    def close(self) -> None:
        """Close the connections of all services."""
        with self._lock:
            services, self._services = self._services, _NO_SERVICES
        for service in services.values():
            service.close()

    def _lapse_until_s(self, returned: bool) -> float | None:
        return (
            self._clock.monotonic() + _REREGISTRATION_S if returned else None
        )

    def _apply(
        self,
        changes: collections.abc.Iterable[Entry],
        lapse_until_s: float | None,
    ) -> None:
        out_of_service_before = self._out_of_service
        changed_any = False
        for entry in changes:
            changed_any = (
                self._apply_entry(entry, lapse_until_s) or changed_any
            )
        if self._next_routing and not self._services_without_searchers(
            self._next_routing
        ):
            self._activate_next_routing('all its services have searchers')
        if changed_any:
            self._refresh(out_of_service_before - self._out_of_service)

    def _apply_entry(self, entry: Entry, lapse_until_s: float | None) -> bool:
        previous = self._entries.get(entry.key)
        if previous is not None and previous.revision >= entry.revision:
            if entry.value is not None:
                return self._lapsed.pop(entry.key, None) is not None
            return False
        if self._removed.get(entry.key, -1) >= entry.revision:
            return False
        if entry.value is None:
            return self._remove(entry, previous, lapse_until_s)
        self._lapsed.pop(entry.key, None)
        if isinstance(entry.value, registrations.Unreadable):
            self._log_entry('unreadable', entry, entry.value.reason)
        if isinstance(entry.value, routes.RoutingVersion):
            self._apply_routing(entry, entry.value)
        elif isinstance(entry.value, registrations.OutOfService):
            self._out_of_service |= {entry.value.data_centre}
            self._log_entry('out-of-service', entry, entry.value.data_centre)
        elif isinstance(entry.value, registrations.Registration):
            self._log_registration(entry, previous)
        self._entries[entry.key] = entry
        return True

    def _remove(
        self, entry: Entry, previous: Entry | None, lapse_until_s: float | None
    ) -> bool:
        if previous is None:
            return False
        value = previous.value
        if isinstance(value, routes.RoutingVersion):
            # The routing stays in force until a newer version replaces it.
            self._log_entry('routing-kept', entry, 'the entry was removed')
            return False
        is_searcher = isinstance(value, registrations.Registration)
        if is_searcher and lapse_until_s is not None:
            if entry.key not in self._lapsed:
                self._lapsed[entry.key] = lapse_until_s
                self._log_entry(
                    'lapsing',
                    entry,
                    'the entry is missing after the platform outage',
                )
            return False
        self._lapsed.pop(entry.key, None)
        del self._entries[entry.key]
        self._removed[entry.key] = entry.revision
        if isinstance(value, registrations.OutOfService):
            self._out_of_service -= {value.data_centre}
            self._log_entry('in-service', entry, value.data_centre)
        else:
            self._log_entry('removed', entry, 'the entry was removed')
        return True

    def _apply_routing(
        self, entry: Entry, routing: routes.RoutingVersion
    ) -> None:
        newest_routing = self._next_routing or self._routing
        if (
            newest_routing is not None
            and routing.version <= newest_routing.version
        ):
            return
        if self._next_routing is None:
            self._next_routing_due_s = (
                self._clock.monotonic() + _SEARCHER_WAIT_S
            )
        self._next_routing = routing
        # Set before the routing, so that no request is served by a version
        # without its keys.
        self._workspaces = routing.workspaces
        missing = self._services_without_searchers(routing)
        if self._routing is None or not missing:
            self._activate_next_routing('newer')
        else:
            self._log_entry('routing-waits', entry, ', '.join(sorted(missing)))

    def _activate_next_routing(self, reason: str) -> None:
        assert self._next_routing is not None
        self._routing, self._next_routing = self._next_routing, None
        self._log.record(
            decision_log.Decision(
                'routing', '', f'version {self._routing.version}', reason
            )
        )

    def _services_without_searchers(
        self, routing: routes.RoutingVersion
    ) -> frozenset[str]:
        """Return the new services of a version that have no searcher."""
        routed_services = (
            self._routing.named_services if self._routing else frozenset()
        )
        return (
            routing.named_services
            - routed_services
            - self._registered_services()
        )

    def _registered_services(self) -> set[str]:
        return {
            e.value.service
            for e in self._entries.values()
            if isinstance(e.value, registrations.Registration)
        }

    def _log_registration(self, entry: Entry, previous: Entry | None) -> None:
        value = entry.value
        assert isinstance(value, registrations.Registration)
        self._searcher_seen = True
        if previous is None:
            self._log_entry('registered', entry, value.service)
        elif value.draining:
            self._log_entry('draining', entry, value.service)

    def _log_entry(self, kind: str, entry: Entry, reason: str) -> None:
        self._log.record(
            decision_log.Decision(
                kind=kind,
                request_id='',
                choice=entry.key,
                reason=reason,
                inputs={'revision': entry.revision},
            )
        )

    def _refresh(self, cold: frozenset[str]) -> None:
        """Update the parameters and searchers of each service.

        :param cold: data centres that have just been put back in service.
        """
        usable: dict[str, list[registrations.Registration]]
        usable = collections.defaultdict(list)
        for entry in self._entries.values():
            value = entry.value
            if not isinstance(value, registrations.Registration):
                continue
            if (
                not value.draining
                and value.data_centre not in self._out_of_service
            ):
                usable[value.service].append(value)
        parameters = self._routing.services if self._routing else {}
        mixed_ranks: frozenset[str] = (
            self._routing.mixed_rank_services if self._routing else frozenset()
        )
        by_urgency: frozenset[str] = (
            self._order.services_by_urgency(self._routing)
            if self._routing
            else frozenset()
        )
        names = usable.keys() | parameters.keys()
        services = dict(self._services)
        for name in services.keys() - names:
            services[name].update(None, ())
        for name in names:
            if name not in services:
                services[name] = self._create_service(name)
            services[name].update(
                parameters.get(name),
                usable[name],
                cold,
                name in mixed_ranks,
                name in by_urgency,
            )
        self._services = services
