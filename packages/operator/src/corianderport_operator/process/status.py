"""corianderport_operator.process.status

Reads the state of all hosts through their administration interfaces.
"""

import collections
import collections.abc
import concurrent.futures
import ipaddress

import attrs

from corianderport_operator.connection import admin_client
from corianderport_tier import errors
from corianderport_tier.process import administration
from corianderport_wire.connection import platform_client

__all__ = ['FleetStatus', 'HostStatus', 'admin_addresses', 'read_hosts']

_MAX_WORKERS = 16
_HOST_LIST_TIMEOUT_S = 5.0


@attrs.frozen
class HostStatus:
    """State of one host.

    ``problem`` is empty when the host serves callers. ``refused`` lists the
    faults of the configuration document that the host refused, if any.
    """

    address: str
    problem: str = ''
    host: str = ''
    data_centre: str = ''
    version: int = 0
    refused: str = ''
    upstreams: tuple[administration.UpstreamView, ...] = ()
    refusals: collections.abc.Mapping[str, int] = attrs.field(factory=dict)

    @property
    def upstream_states(self) -> dict[str, int]:
        """Number of searchers in each state."""
        counts = collections.Counter(view.state for view in self.upstreams)
        return dict(sorted(counts.items()))


@attrs.frozen
class FleetStatus:
    """State of all hosts that were queried."""

    hosts: tuple[HostStatus, ...]

    @property
    def versions(self) -> tuple[int, ...]:
        """Distinct versions in force on the hosts that answered, sorted."""
        return tuple(sorted({h.version for h in self.hosts if h.host}))

    @property
    def problems(self) -> tuple[str, ...]:
        """Problems that need an operator's attention, one line each."""
        problems = [
            f'{host.host}: {host.problem}' if host.host else host.problem
            for host in self.hosts
            if host.problem
        ]
        problems.extend(
            f'{host.host}: refused a configuration: {host.refused}'
            for host in self.hosts
            if host.refused
        )
        if len(self.versions) > 1:
            numbers = ', '.join(map(str, self.versions))
            problems.append(
                f'hosts have different versions in force: {numbers}'
            )
        return tuple(problems)


def read_hosts(addresses: collections.abc.Sequence[str]) -> FleetStatus:
    """Query all hosts in parallel; results are in the given order."""
    with concurrent.futures.ThreadPoolExecutor(_MAX_WORKERS) as executor:
        return FleetStatus(tuple(executor.map(_read_host, addresses)))


def admin_addresses(platform: str, port: int) -> tuple[str, ...]:
    """Return the ``admin_address`` of each host on the host list.

    :param platform: address of the service that has the host list.
    :param port: port of ``admin_address``, which is the same on all hosts.
    :raises TransportError: the host list cannot be read.
    """
    members = platform_client.PlatformClient(platform).hosts(
        _HOST_LIST_TIMEOUT_S
    )
    hosts = {member.peer_address.rpartition(':')[0] for member in members}
    return tuple(
        f'{host}:{port}' for host in sorted(hosts, key=_address_sort_key)
    )


def _address_sort_key(host: str) -> tuple[int, int]:
    address = ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    return address.version, int(address)


def _read_host(address: str) -> HostStatus:
    status = HostStatus(address)
    try:
        with admin_client.AdminClient(address) as host:
            version = host.version()
            # These fields are kept if one of the later calls fails.
            status = attrs.evolve(
                status,
                host=version.host,
                data_centre=version.data_centre,
                version=version.version,
                refused=version.refused,
                refusals=host.refusals(),
            )
            ready = host.ready()
            return attrs.evolve(
                status,
                problem='' if ready.ready else ready.reason,
                upstreams=tuple(host.upstreams()),
            )
    except errors.CorianderportError as error:
        return attrs.evolve(status, problem=str(error))
