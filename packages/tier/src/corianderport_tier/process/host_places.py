"""corianderport_tier.process.host_places

Finds the data centre of a host by the IP address of its connection.
"""

import collections.abc

from corianderport_tier.process import membership

__all__ = ['HostPlaces']


class HostPlaces:
    """Data centres of the known hosts by IP address.

    The calls of other hosts do not say who sends them, except for
    heartbeats.

    :param view: returns the current view of the membership.
    """

    def __init__(
        self, view: collections.abc.Callable[[], membership.View]
    ) -> None:
        self._view = view
        self._indexed: tuple[membership.View | None, dict[str, str]]
        self._indexed = (None, {})

    def data_centre(self, ip: str) -> str:
        """Return the data centre of the hosts at an IP address.

        It is empty if there are none, or if they are in several.
        """
        view = self._view()
        indexed, by_ip = self._indexed
        if indexed is not view:
            by_ip = _index(view)
            self._indexed = (view, by_ip)
        return by_ip.get(ip, '')


def _index(view: membership.View) -> dict[str, str]:
    by_ip: dict[str, str] = {}
    for member in view.members:
        ip = member.peer_address.rpartition(':')[0]
        if by_ip.setdefault(ip, member.data_centre) != member.data_centre:
            by_ip[ip] = ''
    return by_ip
