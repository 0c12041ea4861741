"""corianderport_tier.process.warming_hosts

Which host warms a searcher up, and how many hosts share a searcher.
"""

import threading
import typing

from corianderport_tier.process import membership
from corianderport_tier.process import rendezvous
from corianderport_tier.version import configuration

__all__ = ['OnlyHost', 'SharingHosts', 'WarmingHosts']


class SharingHosts(typing.Protocol):
    """What a host knows of the others that send to the same searchers."""

    @property
    def count(self) -> int:
        """Number of hosts that may be sending, this one included."""

    def warms(self, searcher: configuration.Searcher) -> bool:
        """Whether this host is the one to warm a cold searcher up."""


class OnlyHost:
    """A host that sends alone."""

    count = 1

    def warms(self, searcher: configuration.Searcher) -> bool:
        """Return True."""
        return True


class WarmingHosts:
    """Chooses the first live host in rendezvous order for each searcher.

    Only hosts of the searcher's region are chosen, as long as there are
    any: hosts of other regions are believed live while they are cut off.
    """

    def __init__(
        self,
        members: membership.Membership,
        region_of: membership.RegionOf,
    ) -> None:
        self._members = members
        self._region_of = region_of
        self._lock = threading.Lock()
        self._view: membership.View | None = None
        self._warms: dict[str, bool] = {}

    @property
    def count(self) -> int:
        """Number of hosts that are believed live, this one included."""
        return len(self._members.live())

    def warms(self, searcher: configuration.Searcher) -> bool:
        """Whether this host is the first one of the present view."""
        view = self._members.view
        with self._lock:
            if self._view is not view:
                self._view = view
                self._warms = {}
            found = self._warms.get(searcher.name)
            if found is None:
                found = self._is_first(searcher, view)
                self._warms[searcher.name] = found
            return found

    def _is_first(
        self, searcher: configuration.Searcher, view: membership.View
    ) -> bool:
        region = self._region_of(searcher.data_centre)
        near = [
            m for m in view.live if self._region_of(m.data_centre) == region
        ]
        ranked = rendezvous.rank(searcher.name, near or view.live)
        return bool(ranked) and ranked[0].name == self._members.own.name
