"""corianderport_tier.process.ownership

The owners of all services in the present view, kept until it changes.
"""

import threading

import attrs

from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import membership
from corianderport_tier.process import owners
from corianderport_tier.process import ownership_types
from corianderport_tier.version import configuration

__all__ = ['OWNERS', 'OwnershipTable']

OWNERS = 2

_DEFAULT_DEADLINE_S = 1.0

_Key = tuple[int, int, bool]


@attrs.define(eq=False)
class _Cached:
    """Owners of services in one view of one version."""

    accepted: configuration.Configuration
    epoch: int
    owners: dict[str, tuple[membership.Member, ...]] = attrs.Factory(dict)


class OwnershipTable:
    """Computes owners from the configuration and the view in force."""

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        members: membership.Membership,
    ) -> None:
        self._store = store
        self._members = members
        self._lock = threading.Lock()
        self._cached: _Cached | None = None
        self._ownership: tuple[_Key, ownership_types.Ownership] | None = None

    def region_of(self, data_centre: str) -> str | None:
        """Return the region of a data centre, None when unknown."""
        return region_of(self._store, data_centre)

    def owners(self, service: str) -> tuple[membership.Member, ...]:
        """Return the first and the second owner of a service.

        :raises NotReady: there is no configuration yet.
        :raises UnknownService: the configuration has no such service.
        """
        accepted = self._store.current()
        known = accepted.services.get(service)
        if known is None:
            raise errors.UnknownService(f'unknown service {service!r}')
        return self._owners(accepted, known)

    def ownership(self) -> ownership_types.Ownership:
        """Return the owners of all services of the own region."""
        try:
            accepted = self._store.current()
        except errors.NotReady:
            return ownership_types.Ownership({}, majority=False)
        view = self._members.view
        region = self.region_of(self._members.own.data_centre)
        near = [
            m
            for m in view.members
            if self.region_of(m.data_centre) == region
            and view.standings[m.name] is not membership.Standing.GONE
        ]
        starting = self._members.list_known and self._members.starting(near)
        key = (accepted.version, view.epoch, starting)
        if self._ownership is None or self._ownership[0] != key:
            found = {
                service.name: self._owners(accepted, service)
                for service in accepted.services.values()
                if service.region == region
            }
            alive = sum(
                view.standings[m.name] <= membership.Standing.SUSPECT
                for m in near
            )
            made = ownership_types.Ownership(
                owners=found,
                majority=2 * alive > len(near),
                starting=starting,
                maximum_deadline_s=_maximum_deadline_s(accepted),
            )
            self._ownership = (key, made)
        return self._ownership[1]

    def _owners(
        self,
        accepted: configuration.Configuration,
        service: configuration.Service,
    ) -> tuple[membership.Member, ...]:
        view = self._members.view
        with self._lock:
            cached = self._cached
            if (
                cached is None
                or cached.accepted is not accepted
                or cached.epoch != view.epoch
            ):
                cached = _Cached(accepted, view.epoch)
                self._cached = cached
        found = cached.owners.get(service.name)
        if found is None:
            able = owners.candidates(accepted, service, view.live)
            found = tuple(owners.rank(service.name, able)[:OWNERS])
            cached.owners[service.name] = found
        return found


def region_of(
    store: configuration_store.ConfigurationStore, data_centre: str
) -> str | None:
    """Return the region of a data centre, None when unknown."""
    try:
        centre = store.current().data_centres.get(data_centre)
    except errors.NotReady:
        return None
    return None if centre is None else centre.region


def _maximum_deadline_s(accepted: configuration.Configuration) -> float:
    deadlines_ms = [
        *(search.deadline_ms for search in accepted.searches.values()),
        *(action.deadline_ms for action in accepted.actions.values()),
    ]
    return max(deadlines_ms, default=_DEFAULT_DEADLINE_S * 1e3) / 1e3
