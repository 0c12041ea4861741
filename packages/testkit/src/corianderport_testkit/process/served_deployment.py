"""corianderport_testkit.process.served_deployment

Runs a described deployment in processes and publishes its new versions.
"""

import contextlib
import ipaddress
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import typing

import attrs

from corianderport_operator.process import sources
from corianderport_operator.process import status
from corianderport_operator.version import printing
from corianderport_testkit.process import platform
from corianderport_tier import errors
from corianderport_tier.process import membership
from corianderport_tier.version import checks
from corianderport_tier.version import configuration

__all__ = ['ServedDeployment', 'ServedHost']

_EXIT_S = 15.0
_READY_S = 30.0
_READY_POLL_S = 0.25
_HOSTS = 6
_SHARED_KEYS = 'shared key of the demo'
# No load balancer stands in front of the demo's hosts.
_DRAIN_LAG_S = 0.5
_CALLER_PORT = 8700
_PEER_PORT = 8701
_ADMIN_PORT = 8703
_QUIET = subprocess.DEVNULL

Process = subprocess.Popen[str]


@attrs.frozen
class ServedHost:
    """One host; ``network`` is its IP number."""

    name: str
    data_centre: str
    network: str
    process: Process

    def __str__(self) -> str:
        return (
            f'{self.name} in {self.data_centre}: process {self.process.pid}, '
            f'callers {self.network}:{_CALLER_PORT}, administration '
            f'{self.network}:{_ADMIN_PORT}'
        )


class ServedDeployment:
    """Searchers at the document's addresses, and six hosts.

    The hosts listen on ``127.9.0.1`` to ``127.9.0.6``.

    :param source: file with the description, read again by ``refresh``.
    :raises ConfigurationInvalid: an address is not on the loopback network.
    """

    def __init__(self, source: str) -> None:
        self._source = source
        self._first = _load(source)
        _require_loopback(self._first)
        self._published = ''
        self._stack = contextlib.ExitStack()
        self.platform = platform.Platform()
        self.hosts: list[ServedHost] = []
        self._next_number = _HOSTS

    def __enter__(self) -> typing.Self:
        with self._stack:
            self._stack.enter_context(self.platform)
            self.refresh()
            self._start_searchers()
            self._start_hosts()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stack.close()

    def refresh(self) -> int:
        """Publish what the source describes now, when it has changed.

        :return: the version that was published, 0 when none was.
        :raises ConfigurationInvalid: the description has faults.
        """
        described = _load(self._source)
        text = printing.printed(described)
        if text == self._published:
            return 0
        self._published = text
        self.platform.publish(described.version, text.encode())
        return described.version

    def wait_ready(self) -> bool:
        """Wait for a while until all hosts serve callers."""
        until = time.monotonic() + _READY_S
        addresses = [f'{h.network}:{_ADMIN_PORT}' for h in self.hosts]
        while status.read_hosts(addresses).problems:
            if time.monotonic() > until:
                return False
            time.sleep(_READY_POLL_S)
        return True

    def replace_ended(self) -> list[ServedHost]:
        """Start a successor for each host that has ended.

        :return: the successors, which have new names.
        """
        ended = [h for h in self.hosts if h.process.poll() is not None]
        successors = []
        for host in ended:
            self.hosts.remove(host)
            self.platform.remove_host(host.name)
            successor = self._start_host(
                self._next_number, host.network, host.data_centre
            )
            self._next_number += 1
            self._list(successor)
            successors.append(successor)
        return successors

    def _start_searchers(self) -> None:
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / 'document.json'
        path.write_text(printing.printed(self._first))
        started = [
            self._spawn(
                'corianderport_testkit.process.document_searchers',
                [f'--data_centre={centre}', f'--path={path}'],
            )
            for centre in self._first.data_centres
        ]
        for process in started:
            _first_line(process)

    def _start_hosts(self) -> None:
        centres = sorted(self._first.data_centres)
        started = [
            self._start_host(
                number, f'127.9.0.{number + 1}', centres[number % len(centres)]
            )
            for number in range(_HOSTS)
        ]
        for host in started:
            self._list(host)

    def _start_host(
        self, number: int, network: str, data_centre: str
    ) -> ServedHost:
        name = f'host-{number}'
        process = self._spawn(
            'corianderport_daemon.main',
            [
                f'--host={name}',
                f'--data_centre={data_centre}',
                f'--platform={self.platform.address}',
                f'--caller_address={network}:{_CALLER_PORT}',
                f'--peer_address={network}:{_PEER_PORT}',
                f'--admin_address={network}:{_ADMIN_PORT}',
                f'--shared_keys={_SHARED_KEYS}',
                f'--drain_lag_s={_DRAIN_LAG_S}',
            ],
        )
        return ServedHost(name, data_centre, network, process)

    def _list(self, host: ServedHost) -> None:
        _first_line(host.process)
        self.hosts.append(host)
        self.platform.set_host(
            membership.Member(
                host.name, host.data_centre, f'{host.network}:{_PEER_PORT}'
            )
        )

    def _spawn(self, module: str, arguments: list[str]) -> Process:
        environment = dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path))
        process = subprocess.Popen(
            [sys.executable, '-m', module, *arguments],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=None if os.environ.get('FLEET_LOGS') else _QUIET,
            text=True,
        )
        self._stack.callback(_end, process)
        return process


def _load(source: str) -> configuration.Configuration:
    described = sources.load(source)
    checks.require_valid(described)
    return described


def _require_loopback(described: configuration.Configuration) -> None:
    for service in described.services.values():
        for searcher in service.searchers:
            host = searcher.address.rpartition(':')[0]
            if not ipaddress.ip_address(host).is_loopback:
                raise errors.ConfigurationInvalid(
                    f'searcher {searcher.name}: {searcher.address} is not '
                    'on the loopback network 127.0.0.0/8'
                )


def _first_line(process: Process) -> None:
    assert process.stdout is not None
    if not process.stdout.readline():
        raise RuntimeError(f'{process.args!r} ended before it was ready')


def _end(process: Process) -> None:
    process.terminate()
    try:
        process.wait(_EXIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    if process.stdout is not None:
        process.stdout.close()
