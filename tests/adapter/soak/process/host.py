"""An entry host process that can be killed, frozen, stopped and started."""

import contextlib
import http.client
import os
import pathlib
import resource
import signal
import subprocess
import sys

from ... import limited_host
from ... import store_double
from ..connection import proxy
from ..version import configuration

__all__ = ['MACHINE', 'Host']

_MAIN = pathlib.Path(__file__).with_name('host_main.py')
# Guards against hanging; no verdict depends on a shorter time.
_LONG_S = 20.0
_PROBE_S = 5.0
# The kernel reserves descriptors for accept calls that wait.
_HIDDEN_FDS = 32
MACHINE = {'ram_mb': 128, 'max_fds': 256}

_SETTINGS = """
node = "edge-{number}"
role = "entry"
ip = "127.0.0.1"
zone = "west-a"
seed_addrs = [{seeds}]
[zones]
west-a = "west"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[bounds]
grace_s = 6
contact_ms = {contact_ms:.0f}
retry_ratio = 0.2
retry_slack = 52
retry_window_s = 10
warmup_excess = 1.5
warmup_slack = 5
strict_revoke = true
revoke_ms = {revoke_ms:.0f}
quota_window_s = {quota_window_s}
quota_excess = {quota_excess}
quota_slack = {quota_slack}
[platform]
addr = "{store}"
[limits]
ram_mb = {ram_mb}
max_fds = {max_fds}
link_mbps = 100
"""


class Host:
    """An entry host whose peers reach it through a proxy."""

    def __init__(self, number: int, directory: pathlib.Path) -> None:
        self._number = number
        self._path = directory / f'host-{number}.toml'
        self._log = directory / f'host-{number}.log'
        # Bound all the time, so that a host finds its ports free again.
        self._reserved = [store_double.reserved_port() for _ in range(4)]
        self.front, self.ready, self._control, self._metrics = (
            int(reserved.getsockname()[1]) for reserved in self._reserved
        )
        self.peers = proxy.Proxy(('127.0.0.1', self._control))
        self.process: subprocess.Popen[bytes] | None = None
        # Processes that have ended though nothing has ended them.
        self.failures: list[str] = []
        self._expects_end = False

    def configure(self, seeds: list[str], store: str) -> None:
        """Write the settings."""
        rules = configuration.RULES
        self._path.write_text(
            _SETTINGS.format(
                number=self._number,
                seeds=', '.join(f'"{seed}"' for seed in seeds),
                front=self.front,
                ready=self.ready,
                control=self._control,
                contact_ms=rules.contact_s * 1e3,
                revoke_ms=rules.revoke_s * 1e3,
                quota_window_s=rules.quota_window_s,
                quota_excess=rules.quota_excess,
                quota_slack=rules.quota_slack,
                store=store,
                **MACHINE,
            )
        )

    def start(self) -> None:
        """Start the process; one that is about to end is awaited."""
        self._await_end()
        self._expects_end = False
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-P', str(_MAIN)],
                env={
                    **os.environ,
                    'CORIANDERPORT_METRICS_PORT': str(self._metrics),
                    'CORIANDERPORT_BOOT': str(self._path),
                    'CORIANDERPORT_SHARED_KEYS': 'test-key',
                    'SOAK_PEER_ADDRESS': self.peers.address,
                    'PYTHONPATH': os.pathsep.join(p for p in sys.path if p),
                },
                stdout=log,
                stderr=log,
            )
        soft = MACHINE['max_fds'] + _HIDDEN_FDS
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(
            self.process.pid, resource.RLIMIT_NOFILE, (soft, hard)
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._note_end()
            self._expects_end = True
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Whether the readiness address says that the host is ready."""
        try:
            with contextlib.closing(
                http.client.HTTPConnection(
                    '127.0.0.1', self.ready, timeout=_PROBE_S
                )
            ) as client:
                client.request('GET', '/corianderport/readyz')
                return client.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def describe(self) -> str:
        """Return the state of the process; its log gets the call stacks."""
        if self.process is None or self.process.poll() is not None:
            return 'ended'
        usage = limited_host.Usage.of_process(self.process.pid)
        stat = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        state, *fields = stat.rpartition(')')[2].split()
        self.signal(signal.SIGUSR1)
        return f'state {state}, {fields[10]}+{fields[11]} ticks, {usage}'

    def check_alive(self) -> None:
        """Note a failure if the process has ended by itself."""
        self._note_end()

    def close(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(_LONG_S)
        self.peers.close()
        for reserved in self._reserved:
            reserved.close()

    def _note_end(self) -> None:
        if self.process is None or self._expects_end:
            return
        status = self.process.poll()
        if status is not None:
            self.failures.append(
                f'host {self._number} has ended by itself: {status}'
            )

    def _await_end(self) -> None:
        if self.process is None:
            return
        try:
            status = self.process.wait(_LONG_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(_LONG_S)
            self.failures.append(f'host {self._number} does not stop')
            return
        if status not in (0, -signal.SIGKILL):
            self.failures.append(f'host {self._number} has exited: {status}')
