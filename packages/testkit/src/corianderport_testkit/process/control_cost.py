"""corianderport_testkit.process.control_cost

Measures the control plane of several hosts in one process.
"""

import contextlib
import json
import resource
import statistics
import subprocess
import sys
import time
import typing

import attrs
import fire

from corianderport_daemon.process import control_plane
from corianderport_daemon.process import settings
from corianderport_testkit.process import control_peers
from corianderport_testkit.process import platform
from corianderport_testkit.version import deployments
from corianderport_tier import clocks
from corianderport_tier.process import configuration_store
from corianderport_tier.process import membership
from corianderport_wire.connection import peer_authentication
from corianderport_wire.version import document

__all__ = ['Cost', 'main', 'measure']

_HOST_COUNTS = (6, 12, 24, 48)
_APPLY_LIMIT_S = 60.0
_APPLY_POLL_S = 0.005
_SETTLE_S = 4.0
_MAX_WORKERS = 64


@attrs.define(eq=False)
class _Traffic:
    """Bytes that the hosts of this process have received from peers."""

    received: int = 0


_TRAFFIC = _Traffic()


class _CountingFrames(peer_authentication.FrameLimiter):
    """Counts the bytes read; over all hosts, as many were sent."""

    def read(self, size: int) -> bytes:
        received = super().read(size)
        _TRAFFIC.received += len(received)
        return received


@attrs.frozen
class Cost:
    """Medians of all runs for one number of hosts.

    ``in_force_s`` is the time from the publication of a version until all
    hosts have applied it. ``contacts`` is the number of peers to which a host
    sends heartbeats. ``bytes_per_s`` counts what a host sends and receives,
    without the headers of TCP and IP. CPU is in percent of a core and
    includes that of the simulated platform.
    """

    hosts: int
    runs: int
    in_force_s: float
    in_force_worst_s: float
    cpu_percent: float
    cpu_percent_worst: float
    bytes_per_s: float
    bytes_per_s_worst: float
    memory_mb: float
    contacts: float
    configuration_calls_per_s: float


class _Fleet:
    """Hosts without searchers, and the simulated platform."""

    def __init__(self, hosts: int, stack: contextlib.ExitStack) -> None:
        self._deployment = deployments.Deployment(services=25, shards=1)
        self._addresses = {
            name: f'127.0.0.1:{number + 1}'
            for number, name in enumerate(
                name
                for centre in deployments.DATA_CENTRES
                for name in self._deployment.searcher_names(centre)
            )
        }
        self._version = 0
        self.platform = stack.enter_context(platform.Platform())
        self.publish()
        self.stores: list[configuration_store.ConfigurationStore] = []
        self.planes: list[control_plane.ControlPlane] = []
        for number in range(hosts):
            self._start(number, stack)

    def publish(self) -> None:
        """Publish the next version."""
        self._version += 1
        config = self._deployment.build(self._version, self._addresses)
        self.platform.publish(
            self._version, document.DocumentCodec().encode(config)
        )

    def wait_applied(self) -> float:
        """Wait until all hosts have the newest version; return the seconds."""
        started_s = time.monotonic()
        while any(store.version < self._version for store in self.stores):
            if time.monotonic() - started_s > _APPLY_LIMIT_S:
                raise RuntimeError('not all hosts have the newest version')
            time.sleep(_APPLY_POLL_S)
        return time.monotonic() - started_s

    def _start(self, number: int, stack: contextlib.ExitStack) -> None:
        name = f'host-{number}'
        centre = deployments.DATA_CENTRES[number % 3]
        parsed = settings.load(
            {
                'host': name,
                'data_centre': centre,
                'platform': self.platform.address,
                'shared_keys': 'key-of-the-measurement',
            },
            {},
        )
        clock = clocks.SystemClock()
        store = configuration_store.ConfigurationStore(
            document.DocumentCodec(), clock
        )
        executor = stack.enter_context(
            control_peers.abandoning_executor(_MAX_WORKERS)
        )
        plane = stack.enter_context(
            control_plane.ControlPlane(parsed, store, executor, clock)
        )
        plane.start(control_peers.ControlPeer(store, plane.exchange))
        self.stores.append(store)
        self.planes.append(plane)
        self.platform.set_host(
            membership.Member(name, centre, plane.peer_address)
        )


def measure(hosts: int, runs: int, seconds: float) -> Cost:
    """Run the hosts, measure several times and return the medians."""
    peer_authentication.FrameLimiter = _CountingFrames  # type: ignore[misc]
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    apply_s, cpu, traffic = [], [], []
    with contextlib.ExitStack() as stack:
        fleet = _Fleet(hosts, stack)
        fleet.wait_applied()
        time.sleep(_SETTLE_S)
        calls = fleet.platform.configuration_calls
        started_s = time.monotonic()
        for _ in range(runs):
            used_s, received = time.process_time(), _TRAFFIC.received
            time.sleep(seconds)
            used_s = time.process_time() - used_s
            received = _TRAFFIC.received - received
            cpu.append(100 * used_s / seconds / hosts)
            traffic.append(2 * received / seconds / hosts)
            fleet.publish()
            apply_s.append(fleet.wait_applied())
        calls = fleet.platform.configuration_calls - calls
        elapsed_s = time.monotonic() - started_s
        contacts = [len(plane.control.active) for plane in fleet.planes]
        after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        return Cost(
            hosts=hosts,
            runs=runs,
            in_force_s=statistics.median(apply_s),
            in_force_worst_s=max(apply_s),
            cpu_percent=statistics.median(cpu),
            cpu_percent_worst=max(cpu),
            bytes_per_s=statistics.median(traffic),
            bytes_per_s_worst=max(traffic),
            memory_mb=(after_kb - before_kb) / 1024 / hosts,
            contacts=statistics.median(contacts),
            configuration_calls_per_s=calls / elapsed_s,
        )


def run(hosts: int | None = None, runs: int = 5, seconds: float = 5.0) -> None:
    """Measure one number of hosts, or each of several in a new process."""
    if hosts is not None:
        print(json.dumps(attrs.asdict(measure(hosts, runs, seconds))))
        sys.stdout.flush()
        control_peers.exit_process()
    for host_count in _HOST_COUNTS:
        arguments: list[typing.Any] = [
            f'--hosts={host_count}',
            f'--runs={runs}',
            f'--seconds={seconds}',
        ]
        subprocess.run(
            [sys.executable, '-m', __spec__.name, *arguments], check=True
        )


def main() -> None:
    """Parse the flags and measure."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
