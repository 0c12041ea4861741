"""corianderport_tier.process.directory

What the platform has published: the routing in force and the searchers.

Revisions never go back: news that is older than what is known of a key is
ignored, whatever path it took.
"""

import collections
import collections.abc
import logging
import threading
import types

from corianderport_tier import clocks
from corianderport_tier.process import decision_log
from corianderport_tier.process import service_searchers
from corianderport_tier.version import registrations
from corianderport_tier.version import routes

__all__ = ['Directory', 'OpenService']

_LOG = logging.getLogger(__name__)

# Searchers whose entries lapsed while the platform was away write them
# again within this time of its return.
_RETURN_S = 2.0
# A version that names a new service waits for the service's searchers to
# register, at most this long. Versions are due within three seconds.
_WAIT_FOR_SEARCHERS_S = 1.5

OpenService = collections.abc.Callable[
    [str], service_searchers.ServiceSearchers
]
Entry = registrations.Entry
_EMPTY: collections.abc.Mapping[str, service_searchers.ServiceSearchers]
_EMPTY = types.MappingProxyType({})


class Directory:
    """Holds the newest entries and keeps the services up to date.

    :param open_service: makes the state of a service that is new.
    """

    def __init__(
        self,
        open_service: OpenService,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
    ) -> None:
        self._open_service = open_service
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._entries: dict[str, Entry] = {}
        self._removed: dict[str, registrations.Revision] = {}
        # Entries that were gone when the platform came back, with the time
        # until which their searchers are still used.
        self._lapsed: dict[str, float] = {}
        self._services = _EMPTY
        self._routing: routes.RoutingVersion | None = None
        # A newer version whose searchers are not known yet, and the time
        # at which it is taken over all the same.
        self._next_routing: routes.RoutingVersion | None = None
        self._next_routing_s = 0.0
        self._out: frozenset[str] = frozenset()
        self._any_searcher = False

    @property
    def routing(self) -> routes.RoutingVersion | None:
        """The newest version, None before one has been read."""
        return self._routing

    @property
    def complete(self) -> bool:
        """Whether routing and searchers have been read."""
        return self._routing is not None and self._any_searcher

    def service(self, name: str) -> service_searchers.ServiceSearchers | None:
        """Return the state of a service, None when nothing names it."""
        return self._services.get(name)

    def replace(
        self, prefix: str, listing: registrations.Listing, returned: bool
    ) -> None:
        """Take over all entries below a prefix.

        :param returned: the platform was away before, so that missing
            searchers may be about to register again.
        """
        listed = {entry.key for entry in listing.entries}
        with self._lock:
            gone = [
                Entry(key, listing.revision, None)
                for key, entry in self._entries.items()
                if key.startswith(prefix)
                and key not in listed
                and entry.revision <= listing.revision
            ]
            changed = [*listing.entries, *gone]
            self._take(changed, self._lapse_until(returned))

    def apply(
        self,
        changes: collections.abc.Iterable[Entry],
        returned: bool = False,
    ) -> None:
        """Take over changes of single entries, in their order."""
        with self._lock:
            self._take(changes, self._lapse_until(returned))

    def expire(self) -> None:
        """Do what is due: drop lapsed searchers, take over a version."""
        now_s = self._clock.monotonic()
        with self._lock:
            if self._next_routing and self._next_routing_s <= now_s:
                self._take_next('its searchers have not registered')
                self._refresh(frozenset())
            due = [
                k for k, until_s in self._lapsed.items() if until_s <= now_s
            ]
            for key in due:
                del self._lapsed[key]
                entry = self._entries.pop(key)
                self._note('lapsed', entry, 'not registered again')
            if due:
                self._refresh(frozenset())

    def refresh(self) -> None:
        """Bring the services up to date, after the fleet has changed."""
        with self._lock:
            self._refresh(frozenset())

    def close(self) -> None:
        """Close the connections of all services."""
        with self._lock:
            services, self._services = self._services, _EMPTY
        for service in services.values():
            service.close()

    def _lapse_until(self, returned: bool) -> float | None:
        return self._clock.monotonic() + _RETURN_S if returned else None

    def _take(
        self,
        changes: collections.abc.Iterable[Entry],
        lapse_until_s: float | None,
    ) -> None:
        out_before = self._out
        news = False
        for entry in changes:
            news = self._take_one(entry, lapse_until_s) or news
        if self._next_routing and not self._lacking(self._next_routing):
            self._take_next('its searchers are known')
        if news:
            self._refresh(out_before - self._out)

    def _take_one(self, entry: Entry, lapse_until_s: float | None) -> bool:
        known = self._entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            if entry.value is not None:
                return self._lapsed.pop(entry.key, None) is not None
            return False
        if self._removed.get(entry.key, -1) >= entry.revision:
            return False
        if entry.value is None:
            return self._remove(entry, known, lapse_until_s)
        self._lapsed.pop(entry.key, None)
        if isinstance(entry.value, registrations.Unreadable):
            self._note('unreadable', entry, entry.value.reason)
        if isinstance(entry.value, routes.RoutingVersion):
            self._take_routing(entry, entry.value)
        elif isinstance(entry.value, registrations.OutOfService):
            self._out |= {entry.value.data_centre}
            self._note('out-of-service', entry, entry.value.data_centre)
        elif isinstance(entry.value, registrations.Registration):
            self._note_registration(entry, known)
        self._entries[entry.key] = entry
        return True

    def _remove(
        self, entry: Entry, known: Entry | None, lapse_until_s: float | None
    ) -> bool:
        if known is None:
            return False
        value = known.value
        if isinstance(value, routes.RoutingVersion):
            # Routing stays in force until there is a newer version.
            self._note('routing-kept', entry, 'the entry was removed')
            return False
        is_searcher = isinstance(value, registrations.Registration)
        if is_searcher and lapse_until_s is not None:
            if entry.key not in self._lapsed:
                self._lapsed[entry.key] = lapse_until_s
                self._note('lapsing', entry, 'gone when the platform returned')
            return False
        self._lapsed.pop(entry.key, None)
        del self._entries[entry.key]
        self._removed[entry.key] = entry.revision
        if isinstance(value, registrations.OutOfService):
            self._out -= {value.data_centre}
            self._note('in-service', entry, value.data_centre)
        else:
            self._note('removed', entry, 'the entry was removed')
        return True

    def _take_routing(
        self, entry: Entry, routing: routes.RoutingVersion
    ) -> None:
        newest = self._next_routing or self._routing
        if newest is not None and routing.version <= newest.version:
            return
        if self._next_routing is None:
            self._next_routing_s = (
                self._clock.monotonic() + _WAIT_FOR_SEARCHERS_S
            )
        self._next_routing = routing
        lacking = self._lacking(routing)
        if self._routing is None or not lacking:
            self._take_next('newer')
        else:
            self._note('routing-waits', entry, ', '.join(sorted(lacking)))

    def _take_next(self, reason: str) -> None:
        assert self._next_routing is not None
        self._routing, self._next_routing = self._next_routing, None
        self._log.record(
            decision_log.Decision(
                'routing', '', f'version {self._routing.version}', reason
            )
        )

    def _lacking(self, routing: routes.RoutingVersion) -> frozenset[str]:
        """Return services that are new in a version and have no searcher."""
        present = (
            self._routing.named_services if self._routing else frozenset()
        )
        return routing.named_services - present - self._registered()

    def _registered(self) -> set[str]:
        return {
            e.value.service
            for e in self._entries.values()
            if isinstance(e.value, registrations.Registration)
        }

    def _note_registration(self, entry: Entry, known: Entry | None) -> None:
        value = entry.value
        assert isinstance(value, registrations.Registration)
        self._any_searcher = True
        if known is None:
            self._note('registered', entry, value.service)
        elif value.draining:
            self._note('draining', entry, value.service)

    def _note(self, kind: str, entry: Entry, reason: str) -> None:
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
        """Rebuild what each service may use.

        :param cold: data centres that have just come back.
        """
        present: dict[str, list[registrations.Registration]]
        present = collections.defaultdict(list)
        for entry in self._entries.values():
            value = entry.value
            if not isinstance(value, registrations.Registration):
                continue
            if not value.draining and value.data_centre not in self._out:
                present[value.service].append(value)
        parameters = self._routing.services if self._routing else {}
        names = present.keys() | parameters.keys()
        services = dict(self._services)
        for name in services.keys() - names:
            services[name].update(None, ())
        for name in names:
            if name not in services:
                services[name] = self._open_service(name)
            services[name].update(parameters.get(name), present[name], cold)
        self._services = services
