"""corianderport_tier.process.gather_roles

Which hosts have links wide enough to gather for other hosts.
"""

import collections.abc
import statistics

import attrs

from corianderport_tier.process import membership

__all__ = ['GatherRoles']

# A host gathers for others if its link has at least this multiple of the
# median capacity. Below it, the detour gains less than it costs.
_MIN_LINK_RATIO = 3.0


@attrs.frozen
class _Roles:
    """The hosts of one view that gather for others, and their names."""

    members: tuple[membership.Member, ...] = ()
    names: frozenset[str] = frozenset()


class GatherRoles:
    """Derives the roles of the hosts from the links that they state.

    All hosts that know the same links derive the same roles. Hosts with equal
    links have none.

    :param view: returns the current view of the membership.
    """

    def __init__(
        self, view: collections.abc.Callable[[], membership.View]
    ) -> None:
        self._view = view
        self._derived: tuple[membership.View | None, _Roles]
        self._derived = (None, _Roles())

    @property
    def names(self) -> frozenset[str]:
        """Names of the hosts that gather for others."""
        return self._current().names

    @property
    def members(self) -> tuple[membership.Member, ...]:
        """The live hosts that gather for others."""
        return self._current().members

    def _current(self) -> _Roles:
        view = self._view()
        derived_from, roles = self._derived
        if derived_from is not view:
            roles = _derive(view)
            self._derived = (view, roles)
        return roles


def _derive(view: membership.View) -> _Roles:
    links = [m.link_bytes_s for m in view.members if m.link_bytes_s > 0]
    if not links:
        return _Roles()
    least = _MIN_LINK_RATIO * statistics.median(links)
    # The names include hosts that are not live, so that the shares of the
    # others do not change with each suspicion.
    return _Roles(
        tuple(m for m in view.live if m.link_bytes_s >= least),
        frozenset(m.name for m in view.members if m.link_bytes_s >= least),
    )
