"""corianderport_operator.process.status

Reads the state of all hosts.
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

_TASKS = 16
_HOST_LIST_TIMEOUT_S = 5.0


@attrs.frozen
class HostStatus:
    """State of one host; ``problem`` is empty when it serves callers.

    ``refused`` lists the faults of a document that the host refused.
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
    """State of all hosts that were asked."""

    hosts: tuple[HostStatus, ...]

    @property
    def versions(self) -> tuple[int, ...]:
        """The versions in force on the hosts that answered."""
        return tuple(sorted({h.version for h in self.hosts if h.host}))

    @property
    def problems(self) -> tuple[str, ...]:
        """What an operator should look at, one line each."""
        found = [
            f'{host.host}: {host.problem}' if host.host else host.problem
            for host in self.hosts
            if host.problem
        ]
        found.extend(
            f'{host.host}: refused a configuration: {host.refused}'
            for host in self.hosts
            if host.refused
        )
        if len(self.versions) > 1:
            numbers = ', '.join(map(str, self.versions))
            found.append(f'hosts have different versions in force: {numbers}')
        return tuple(found)


def read_hosts(addresses: collections.abc.Sequence[str]) -> FleetStatus:
    """Ask all hosts, each on a task of its own."""
    with concurrent.futures.ThreadPoolExecutor(_TASKS) as executor:
        return FleetStatus(tuple(executor.map(_read, addresses)))


def admin_addresses(platform: str, port: int) -> tuple[str, ...]:
    """Return the addresses of all hosts of the platform's host list.

    :param port: the port of ``admin_address``, the same on all hosts.
    :raises TransportError: the host list cannot be read.
    """
    members = platform_client.PlatformClient(platform).hosts(
        _HOST_LIST_TIMEOUT_S
    )
    hosts = {member.peer_address.rpartition(':')[0] for member in members}
    return tuple(f'{host}:{port}' for host in sorted(hosts, key=_by_number))


def _by_number(host: str) -> tuple[int, int]:
    number = ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    return number.version, int(number)


def _read(address: str) -> HostStatus:
    status = HostStatus(address)
    try:
        with admin_client.AdminClient(address) as host:
            version = host.version()
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
