"""corianderport_testkit.process.served_deployment

Runs a described deployment as processes and publishes changes to it.
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

_EXIT_TIMEOUT_S = 15.0
_READY_TIMEOUT_S = 30.0
_READY_POLL_S = 0.25
_HOST_COUNT = 6
_SHARED_KEYS = 'shared key of the demo'
# Short, because no load balancer has to notice that a host is draining.
_DRAIN_LAG_S = 0.5
_CALLER_PORT = 8700
_PEER_PORT = 8701
_ADMIN_PORT = 8703
_DISCARD = subprocess.DEVNULL

Process = subprocess.Popen[str]


@attrs.frozen
class ServedHost:
    """An entry host and its process."""

    name: str
    data_centre: str
    ip_address: str
    process: Process

    def __str__(self) -> str:
        return (
            f'{self.name} in {self.data_centre}: process {self.process.pid}, '
            f'callers {self.ip_address}:{_CALLER_PORT}, administration '
            f'{self.ip_address}:{_ADMIN_PORT}'
        )


class ServedDeployment:
    """Runs the searchers at the addresses of the document, and six hosts.

    The hosts listen on ``127.9.0.1`` to ``127.9.0.6``.

    :param source: file with the description; ``refresh`` reads it again.
    :raises ConfigurationInvalid: a searcher address is not on the loopback
        network.
    """

    def __init__(self, source: str) -> None:
        self._source = source
        self._initial = _load(source)
        _require_loopback(self._initial)
        self._published_text = ''
        self._stack = contextlib.ExitStack()
        self.platform = platform.Platform()
        self.hosts: list[ServedHost] = []
        self._next_number = _HOST_COUNT

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
        """Publish the current description if it has changed.

        :return: the published version, or 0 if nothing was published.
        :raises ConfigurationInvalid: the description is invalid.
        """
        config = _load(self._source)
        text = printing.printed(config)
        if text == self._published_text:
            return 0
        self._published_text = text
        self.platform.publish(config.version, text.encode())
        return config.version

    def wait_ready(self) -> bool:
        """Wait until all hosts are ready; return False on a timeout."""
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        addresses = [f'{h.ip_address}:{_ADMIN_PORT}' for h in self.hosts]
        while status.read_hosts(addresses).problems:
            if time.monotonic() > deadline_s:
                return False
            time.sleep(_READY_POLL_S)
        return True

    def replace_exited(self) -> list[ServedHost]:
        """Start a replacement for each host whose process has exited.

        :return: the replacements, which have new names.
        """
        exited = [h for h in self.hosts if h.process.poll() is not None]
        replacements = []
        for host in exited:
            self.hosts.remove(host)
            self.platform.remove_host(host.name)
            replacement = self._start_host(
                self._next_number, host.ip_address, host.data_centre
            )
            self._next_number += 1
            self._register(replacement)
            replacements.append(replacement)
        return replacements

    def _start_searchers(self) -> None:
        directory = self._stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory) / 'document.json'
        path.write_text(printing.printed(self._initial))
        processes = [
            self._spawn(
                'corianderport_testkit.process.document_searchers',
                [f'--data_centre={data_centre}', f'--path={path}'],
            )
            for data_centre in self._initial.data_centres
        ]
        for process in processes:
            _wait_for_first_line(process)

    def _start_hosts(self) -> None:
        data_centres = sorted(self._initial.data_centres)
        hosts = [
            self._start_host(
                number,
                f'127.9.0.{number + 1}',
                data_centres[number % len(data_centres)],
            )
            for number in range(_HOST_COUNT)
        ]
        for host in hosts:
            self._register(host)

    def _start_host(
        self, number: int, ip_address: str, data_centre: str
    ) -> ServedHost:
        name = f'host-{number}'
        process = self._spawn(
            'corianderport_daemon.main',
            [
                f'--host={name}',
                f'--data_centre={data_centre}',
                f'--platform={self.platform.address}',
                f'--caller_address={ip_address}:{_CALLER_PORT}',
                f'--peer_address={ip_address}:{_PEER_PORT}',
                f'--admin_address={ip_address}:{_ADMIN_PORT}',
                f'--shared_keys={_SHARED_KEYS}',
                f'--drain_lag_s={_DRAIN_LAG_S}',
            ],
        )
        return ServedHost(name, data_centre, ip_address, process)

    def _register(self, host: ServedHost) -> None:
        _wait_for_first_line(host.process)
        self.hosts.append(host)
        self.platform.set_host(
            membership.Member(
                host.name, host.data_centre, f'{host.ip_address}:{_PEER_PORT}'
            )
        )

    def _spawn(self, module: str, arguments: list[str]) -> Process:
        environment = dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path))
        process = subprocess.Popen(
            [sys.executable, '-m', module, *arguments],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=None if os.environ.get('FLEET_LOGS') else _DISCARD,
            text=True,
        )
        self._stack.callback(_stop, process)
        return process


def _load(source: str) -> configuration.Configuration:
    config = sources.load(source)
    checks.require_valid(config)
    return config


def _require_loopback(config: configuration.Configuration) -> None:
    for service in config.services.values():
        for searcher in service.searchers:
            host = searcher.address.rpartition(':')[0]
            if not ipaddress.ip_address(host).is_loopback:
                raise errors.ConfigurationInvalid(
                    f'searcher {searcher.name}: {searcher.address} is not '
                    'on the loopback network 127.0.0.0/8'
                )


def _wait_for_first_line(process: Process) -> None:
    """Wait until a process prints a line, which it does once it listens."""
    assert process.stdout is not None
    if not process.stdout.readline():
        raise RuntimeError(f'{process.args!r} exited before it was ready')


def _stop(process: Process) -> None:
    process.terminate()
    try:
        process.wait(_EXIT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    if process.stdout is not None:
        process.stdout.close()
