"""corianderport_tier.process.warming_hosts

Assigns cold searchers to hosts and counts the hosts that share searchers.
"""

import threading
import typing

from corianderport_tier.process import membership
from corianderport_tier.process import rendezvous
from corianderport_tier.version import configuration

__all__ = ['SharingHosts', 'SingleHost', 'WarmingHosts']


class SharingHosts(typing.Protocol):
    """The hosts that send requests to the same searchers."""

    @property
    def count(self) -> int:
        """Number of hosts that may send requests, including this one."""

    def should_warm_up(self, searcher: configuration.Searcher) -> bool:
        """Whether this host is assigned to warm up a cold searcher."""


class SingleHost:
    """Implements ``SharingHosts`` for a single host."""

    count = 1

    def should_warm_up(self, searcher: configuration.Searcher) -> bool:
        """Return True: a single host warms up every searcher."""
        return True


class WarmingHosts:
    """Assigns each searcher to the first live host in rendezvous order.

    Hosts in the searcher's region are preferred: hosts in other regions are
    still considered live while a network partition separates them.
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
        # Whether this host is assigned to a searcher, by its name, in _view.
        self._assigned: dict[str, bool] = {}

    @property
    def count(self) -> int:
        """Number of hosts considered live, including this one."""
        return len(self._members.live())

    def should_warm_up(self, searcher: configuration.Searcher) -> bool:
        """Whether this host ranks first for the searcher in the view."""
        view = self._members.view
        with self._lock:
            if self._view is not view:
                self._view = view
                self._assigned = {}
            assigned = self._assigned.get(searcher.name)
            if assigned is None:
                assigned = self._is_first(searcher, view)
                self._assigned[searcher.name] = assigned
            return assigned

    def _is_first(
        self, searcher: configuration.Searcher, view: membership.View
    ) -> bool:
        region = self._region_of(searcher.data_centre)
        local_hosts = [
            m for m in view.live if self._region_of(m.data_centre) == region
        ]
        ranked = rendezvous.rank(searcher.name, local_hosts or view.live)
        return bool(ranked) and ranked[0].name == self._members.own.name
