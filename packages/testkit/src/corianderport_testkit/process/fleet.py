"""corianderport_testkit.process.fleet

A deployment for tests: a platform, and searchers and daemons as processes.
"""

import collections.abc
import contextlib
import json
import os
import signal
import subprocess
import sys
import typing

import attrs
import orjson

from corianderport_testkit.process import platform
from corianderport_testkit.version import deployments
from corianderport_tier import errors
from corianderport_tier.process import membership
from corianderport_wire.connection import curl_client
from corianderport_wire.version import document

__all__ = ['Fleet', 'Host', 'Reply']

NAIVE_MODULE = 'corianderport_testkit.process.naive_tier'
_CONNECT_TIMEOUT_S = 2.0
_TIMEOUT_S = 10.0
_EXIT_TIMEOUT_S = 15.0
_HTTP_OK = 200
_SHARED_KEYS = 'shared key of the test fleet'

Json = dict[str, typing.Any]


@attrs.frozen
class Reply:
    """Status and decoded body of a call."""

    status: int
    body: Json


@attrs.frozen
class Host:
    """A running daemon and the addresses that it listens on."""

    name: str
    data_centre: str
    process: subprocess.Popen[str]
    caller_address: str
    peer_address: str
    admin_address: str


def _spawn(module: str, arguments: list[str]) -> subprocess.Popen[str]:
    environment = dict(
        os.environ,
        PYTHONPATH=os.pathsep.join(sys.path),
        CORIANDERPORT_SHARED_KEYS=_SHARED_KEYS,
        CORIANDERPORT_DRAIN_LAG_S='0',
        CORIANDERPORT_DRAIN_LIMIT_S='1',
    )
    return subprocess.Popen(
        [sys.executable, '-m', module, *arguments],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=None if os.environ.get('FLEET_LOGS') else subprocess.DEVNULL,
        text=True,
    )


def _read_startup_line(process: subprocess.Popen[str]) -> Json:
    assert process.stdout is not None
    line = process.stdout.readline()
    if not line:
        raise RuntimeError(f'{process.args!r} exited during startup')
    return typing.cast(Json, json.loads(line))


class Fleet:
    """A whole deployment; a context manager that stops its processes."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        hosts: int = 6,
        flags: collections.abc.Sequence[str] = (),
    ) -> None:
        self.deployment = deployment
        self.platform = platform.Platform()
        self.hosts: dict[str, Host] = {}
        self.addresses: dict[str, str] = {}
        self.version = 0
        self._host_count = hosts
        self._flags = flags
        self._processes: list[subprocess.Popen[str]] = []
        self._searchers: dict[str, subprocess.Popen[str]] = {}
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> typing.Self:
        with self._stack:
            self._stack.enter_context(self.platform)
            self._stack.callback(self._stop_processes)
            self._start_searchers()
            self.publish()
            self.start_hosts([f'host-{n}' for n in range(self._host_count)])
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stack.close()

    def publish(
        self, out_of_service: collections.abc.Container[str] = ()
    ) -> int:
        """Publish the next version and return its number."""
        self.version += 1
        config = self.deployment.build(
            self.version, self.addresses, out_of_service
        )
        encoded = document.DocumentCodec().encode(config)
        self.platform.publish(self.version, encoded)
        return self.version

    def start_hosts(
        self,
        names: collections.abc.Sequence[str],
        flags: collections.abc.Sequence[str] = (),
        module: str = 'corianderport_daemon.main',
    ) -> None:
        """Start daemons and add them to the host list once they listen."""
        started = []
        for name in names:
            number = int(name.rpartition('-')[2])
            centre = deployments.DATA_CENTRES[
                number % len(deployments.DATA_CENTRES)
            ]
            arguments = [
                f'--host={name}',
                f'--data_centre={centre}',
                f'--platform={self.platform.address}',
                *self._flags,
                *flags,
            ]
            process = _spawn(module, arguments)
            self._processes.append(process)
            started.append((name, centre, process))
        for name, centre, process in started:
            self._register_host(name, centre, process)

    def kill(self, name: str) -> None:
        """Kill a daemon with SIGKILL; it stays on the host list."""
        host = self.hosts.pop(name)
        host.process.send_signal(signal.SIGKILL)
        host.process.wait()

    def kill_searchers(self, data_centre: str) -> None:
        """Kill all searchers of a data centre with SIGKILL."""
        process = self._searchers.pop(data_centre)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def pause(self, name: str) -> None:
        """Stop a daemon's process with SIGSTOP until ``resume``."""
        self.hosts[name].process.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a stopped daemon with SIGCONT."""
        self.hosts[name].process.send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> Host:
        """Start a daemon's graceful shutdown; it stays on the host list."""
        host = self.hosts.pop(name)
        host.process.terminate()
        return host

    def is_ready(self, address: str) -> bool:
        """Whether a daemon reports that it is ready."""
        client = curl_client.CurlClient(address, _CONNECT_TIMEOUT_S)
        try:
            return client.get('/ready', _TIMEOUT_S).status == _HTTP_OK
        except errors.TransportError:
            return False
        finally:
            client.close()

    def search(
        self,
        host: str,
        query: str,
        deadline_ms: float = 500.0,
        limit: int = 10,
    ) -> Reply:
        """Send one search to a host over a new connection."""
        return self.post(
            self.hosts[host].caller_address,
            '/v1/search/stock',
            {'query': query, 'deadline_ms': deadline_ms, 'limit': limit},
        )

    def set_behaviour(self, searcher: str, **behaviour: typing.Any) -> None:
        """Change a searcher's behaviour."""
        self.post(self.addresses[searcher], '/control', behaviour)

    def record(self, searcher: str) -> Json:
        """Return the counters of a searcher."""
        return self.post(self.addresses[searcher], '/record', {}).body

    def cpu_s(self, host: str) -> float:
        """Return the CPU time that a daemon has used, in seconds."""
        return self._usage(host)[0]

    def memory_bytes(self, host: str) -> int:
        """Return the resident set size of a daemon."""
        return self._usage(host)[1]

    def post(self, address: str, path: str, fields: Json) -> Reply:
        """Send a JSON body and decode the JSON reply."""
        client = curl_client.CurlClient(address, _CONNECT_TIMEOUT_S)
        try:
            reply = client.post(path, orjson.dumps(fields), _TIMEOUT_S)
        finally:
            client.close()
        return Reply(reply.status, orjson.loads(reply.body))

    def _usage(self, host: str) -> tuple[float, int]:
        """Return the CPU time and the resident set size of a daemon."""
        pid = self.hosts[host].process.pid
        with open(f'/proc/{pid}/stat') as status:
            fields = status.read().rpartition(')')[2].split()
        # utime, stime and rss of proc(5); fields[0] is its third field.
        ticks = int(fields[11]) + int(fields[12])
        pages = int(fields[21])
        return (
            ticks / os.sysconf('SC_CLK_TCK'),
            pages * os.sysconf('SC_PAGE_SIZE'),
        )

    def _start_searchers(self) -> None:
        encoded = json.dumps(attrs.asdict(self.deployment))
        for centre in deployments.DATA_CENTRES:
            process = _spawn(
                'corianderport_testkit.process.searchers',
                [f'--data_centre={centre}', '--deployment', repr(encoded)],
            )
            self._processes.append(process)
            self._searchers[centre] = process
        for process in list(self._processes):
            self.addresses.update(_read_startup_line(process))

    def start_naive_hosts(
        self, names: collections.abc.Sequence[str], hosts: int
    ) -> None:
        """Start hosts of the naive tier, each with a fixed share.

        :param hosts: number of hosts that share the slots of a service.
        """
        self.start_hosts(names, [f'--hosts={hosts}'], NAIVE_MODULE)

    def _register_host(
        self, name: str, centre: str, process: subprocess.Popen[str]
    ) -> None:
        addresses = _read_startup_line(process)
        host = Host(
            name,
            centre,
            process,
            addresses['caller_address'],
            addresses['peer_address'],
            addresses.get('admin_address', ''),
        )
        self.hosts[name] = host
        if not host.peer_address:
            # A host of the naive tier has no peers and isn't listed.
            return
        self.platform.set_host(
            membership.Member(name, centre, host.peer_address)
        )

    def _stop_processes(self) -> None:
        for process in self._processes:
            process.terminate()
            # A stopped process handles SIGTERM only after SIGCONT.
            process.send_signal(signal.SIGCONT)
        for process in self._processes:
            try:
                process.wait(_EXIT_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            if process.stdout is not None:
                process.stdout.close()
