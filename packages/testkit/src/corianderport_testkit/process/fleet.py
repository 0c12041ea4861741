"""corianderport_testkit.process.fleet

Starts a platform, searchers and daemons as separate processes.
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
from corianderport_tier.process import membership
from corianderport_wire.connection import curl_client
from corianderport_wire.version import document

__all__ = ['Fleet', 'Host', 'Reply']

_CONNECT_S = 2.0
_TIMEOUT_S = 10.0
_EXIT_S = 15.0
_SHARED_KEYS = 'shared key of the test fleet'

Json = dict[str, typing.Any]


@attrs.frozen
class Reply:
    """Status and decoded body of a call."""

    status: int
    body: Json


@attrs.frozen
class Host:
    """A daemon that was started."""

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


def _first_line(process: subprocess.Popen[str]) -> Json:
    assert process.stdout is not None
    line = process.stdout.readline()
    if not line:
        raise RuntimeError(f'{process.args!r} ended before it was ready')
    return typing.cast(Json, json.loads(line))


class Fleet:
    """A whole deployment; a context manager that ends its processes."""

    def __init__(
        self, deployment: deployments.Deployment, hosts: int = 6
    ) -> None:
        self.deployment = deployment
        self.platform = platform.Platform()
        self.hosts: dict[str, Host] = {}
        self.addresses: dict[str, str] = {}
        self.version = 0
        self._host_count = hosts
        self._processes: list[subprocess.Popen[str]] = []
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> typing.Self:
        with self._stack:
            self._stack.enter_context(self.platform)
            self._stack.callback(self._end_processes)
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
        accepted = self.deployment.build(
            self.version, self.addresses, out_of_service
        )
        encoded = document.JsonDocument().encode(accepted)
        self.platform.publish(self.version, encoded)
        return self.version

    def start_hosts(
        self,
        names: collections.abc.Sequence[str],
        flags: collections.abc.Sequence[str] = (),
    ) -> None:
        """Start daemons and list them once they are listening."""
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
                *flags,
            ]
            process = _spawn('corianderport_daemon.main', arguments)
            self._processes.append(process)
            started.append((name, centre, process))
        for name, centre, process in started:
            self._list(name, centre, process)

    def kill(self, name: str) -> None:
        """End a daemon without warning; the host list still has it."""
        host = self.hosts.pop(name)
        host.process.send_signal(signal.SIGKILL)
        host.process.wait()

    def search(
        self,
        host: str,
        query: str,
        deadline_ms: float = 500.0,
        limit: int = 10,
    ) -> Reply:
        """Send one search to a host, on a new connection."""
        return self.post(
            self.hosts[host].caller_address,
            '/v1/search/stock',
            {'query': query, 'deadline_ms': deadline_ms, 'limit': limit},
        )

    def control(self, searcher: str, **behaviour: typing.Any) -> None:
        """Change a searcher's behaviour."""
        self.post(self.addresses[searcher], '/control', behaviour)

    def record(self, searcher: str) -> Json:
        """Return what a searcher saw."""
        return self.post(self.addresses[searcher], '/record', {}).body

    def post(self, address: str, path: str, fields: Json) -> Reply:
        """Send a JSON body and decode the JSON reply."""
        client = curl_client.CurlClient(address, _CONNECT_S)
        try:
            reply = client.post(path, orjson.dumps(fields), _TIMEOUT_S)
        finally:
            client.close()
        return Reply(reply.status, orjson.loads(reply.body))

    def _start_searchers(self) -> None:
        encoded = json.dumps(attrs.asdict(self.deployment))
        for centre in deployments.DATA_CENTRES:
            self._processes.append(
                _spawn(
                    'corianderport_testkit.process.searchers',
                    [f'--data_centre={centre}', '--deployment', repr(encoded)],
                )
            )
        for process in list(self._processes):
            self.addresses.update(_first_line(process))

    def _list(
        self, name: str, centre: str, process: subprocess.Popen[str]
    ) -> None:
        addresses = _first_line(process)
        host = Host(
            name,
            centre,
            process,
            addresses['caller_address'],
            addresses['peer_address'],
            addresses['admin_address'],
        )
        self.hosts[name] = host
        self.platform.list_host(
            membership.Member(name, centre, host.peer_address)
        )

    def _end_processes(self) -> None:
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            try:
                process.wait(_EXIT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            if process.stdout is not None:
                process.stdout.close()
