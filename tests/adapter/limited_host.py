"""Entry host processes with little memory and few descriptors."""

import collections
import collections.abc
import contextlib
import http.client
import os
import pathlib
import resource
import subprocess
import sys
import threading
import time
import typing

import attrs

from . import crowd_caller
from . import raw_searcher
from . import store_double

__all__ = [
    'LimitedHost',
    'Machine',
    'TEST_MACHINE',
    'Usage',
    'answer_to_ordinary_request',
    'started_host',
    'waiting_connections',
]

# The soft limit of the process is a little higher than its setting: the
# kernel reserves a descriptor for each accept call that waits and doesn't
# list it in /proc, so that a process at its soft limit seems to stay below it.
_HIDDEN_FDS = 32
# Guards against hanging; no verdict depends on a shorter time.
_LONG_S = 20.0
_POLL_INTERVAL_S = 0.02
# A host that grows by less than this is steady.
_GROWTH_MB = 0.5
# State of a listening socket in /proc/net/tcp.
_LISTENING = '0A'
# A process above this is killed, since the rest of the machine needs memory.
_ABORT_MB = 1_024.0
# An ordinary caller gives up after this many tries or this time.
_TRIES = 30
_ORDINARY_S = 60.0
_TRY_S = 10.0
_RETRY_S = 0.5
_FINAL_STATUSES = frozenset({400, 401, 404, 413, 431})

_CALM = 'calm'
_CROWDED = 'crowded'
_LARGE = 'large'
_ENDLESS = 'endless'
_SERVICES = (_CALM, _CROWDED, _LARGE, _ENDLESS)

_SETTINGS = """
node = "edge-a-1"
role = "entry"
ip = "127.0.0.1"
zone = "west-a"
seed_addrs = ["127.0.0.1:7001"]
[zones]
west-a = "west"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[bounds]
grace_s = 6
contact_ms = 4000
retry_ratio = 0.2
retry_slack = 52
retry_window_s = 10
warmup_excess = 1.5
warmup_slack = 5
[platform]
addr = "{store}"
[limits]
ram_mb = {ram_mb}
max_fds = {max_fds}
link_mbps = 100
"""


@attrs.frozen
class Machine:
    """Memory and descriptors that the settings of a host state."""

    ram_mb: int
    max_fds: int


# Low enough for some hundred connections to exceed.
TEST_MACHINE = Machine(ram_mb=96, max_fds=256)


@attrs.frozen
class Usage:
    """Memory, descriptors and threads of a process.

    ``peak_mb`` is the highest resident memory since its start.
    """

    resident_mb: float
    peak_mb: float
    descriptors: int
    threads: int

    @classmethod
    def of_process(cls, pid: int) -> 'Usage':
        """Read the usage from ``/proc``."""
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
        fields = dict(
            line.split(':', 1) for line in status.splitlines() if ':' in line
        )

        def mb(name: str) -> float:
            return int(fields[name].split()[0]) / 1024

        return cls(
            mb('VmRSS'),
            mb('VmHWM'),
            len(os.listdir(f'/proc/{pid}/fd')),
            int(fields['Threads']),
        )


def waiting_connections(port: int) -> int:
    """Return the number of connections that wait to be accepted.

    ``/proc/net/tcp`` shows it as the receive queue of a listening socket.
    """
    lines = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    for fields in map(str.split, lines):
        if fields[1].endswith(f':{port:04X}') and fields[3] == _LISTENING:
            return int(fields[4].split(':')[1], 16)
    return 0


class LimitedHost:
    """An entry host process with lowered limits, and its addresses."""

    def __init__(
        self, path: pathlib.Path, store: str, machine: Machine
    ) -> None:
        self._reserved = [store_double.reserved_port() for _ in range(4)]
        self.front, self.ready, self.control, self.metrics = (
            int(reserved.getsockname()[1]) for reserved in self._reserved
        )
        path.write_text(
            _SETTINGS.format(
                front=self.front,
                ready=self.ready,
                control=self.control,
                store=store,
                ram_mb=machine.ram_mb,
                max_fds=machine.max_fds,
            )
        )
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'corianderport_platform'],
            env={
                **os.environ,
                'CORIANDERPORT_METRICS_PORT': str(self.metrics),
                'CORIANDERPORT_BOOT': str(path),
                'CORIANDERPORT_SHARED_KEYS': 'test-key',
                'PYTHONPATH': os.pathsep.join(p for p in sys.path if p),
            },
            stdout=subprocess.PIPE,
            text=True,
        )
        limits = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(
            self.process.pid,
            resource.RLIMIT_NOFILE,
            (machine.max_fds + _HIDDEN_FDS, limits[1]),
        )
        self.max_descriptors = 0
        # The last lines, for the report of a test that fails.
        self.lines: collections.deque[str] = collections.deque(maxlen=50)
        self._stopped = threading.Event()
        self._tasks = [
            threading.Thread(target=task, daemon=True)
            for task in (self._read_lines, self._sample)
        ]
        for task in self._tasks:
            task.start()

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process.poll() is None

    @property
    def usage(self) -> Usage:
        """Current usage of the process."""
        return Usage.of_process(self.process.pid)

    def grown_since(self, before: Usage) -> bool:
        """Whether the process uses noticeably more than before."""
        try:
            usage = self.usage
        except (OSError, KeyError):
            # The process has ended.
            return False
        return (
            usage.descriptors > before.descriptors
            or usage.resident_mb > before.resident_mb + _GROWTH_MB
        )

    def is_ready(self) -> bool:
        """Whether the readiness address says that the host is ready."""
        try:
            with contextlib.closing(
                http.client.HTTPConnection('127.0.0.1', self.ready, timeout=5)
            ) as client:
                client.request('GET', '/corianderport/readyz')
                return client.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def close(self) -> None:
        """Kill the process."""
        self._stopped.set()
        if self.alive:
            self.process.kill()
        self.process.wait(_LONG_S)
        for task in self._tasks:
            task.join(_LONG_S)
        for reserved in self._reserved:
            reserved.close()

    def _read_lines(self) -> None:
        assert self.process.stdout is not None
        self.lines.extend(self.process.stdout)

    def _sample(self) -> None:
        while not self._stopped.wait(_POLL_INTERVAL_S):
            try:
                usage = self.usage
            except (OSError, KeyError):
                # The process has ended.
                return
            self.max_descriptors = max(self.max_descriptors, usage.descriptors)
            if usage.resident_mb > _ABORT_MB:
                self.process.kill()


def _routing(
    endless_connections: int | None, idle_timeout_ms: int
) -> dict[str, typing.Any]:
    """Return a configuration with one route for each service."""
    backends = [
        {
            'name': _ENDLESS,
            'health_path': '/healthz',
            'max_conns': endless_connections,
            'proto': 'h1',
            'tls': False,
        }
    ]
    return {
        'version': 7,
        'backends': [] if endless_connections is None else backends,
        'routes': [
            {
                'name': service,
                'host': 'a.example',
                'prefix': f'/{service}/',
                'kind': 'idempotent',
                'timeout_ms': 8_000,
                'goal_ms': 1_000,
                'priority': 0 if service == _CALM else 1,
                'backend': service,
                'attempts': 2,
            }
            for service in _SERVICES
        ],
        'limits': {
            'max_header_bytes': crowd_caller.HEAD_BYTES,
            'max_body_bytes': crowd_caller.BODY_BYTES,
            'header_timeout_ms': 3_000,
            'idle_timeout_ms': idle_timeout_ms,
        },
    }


_LARGE_ANSWER = raw_searcher.PlainAnswer(bytes(1_000_000))
_SHORT_ANSWER = raw_searcher.PlainAnswer(b'0123456789abcdef')
_ENDLESS_SEARCHERS = 8
_SLOTS = 25


@contextlib.contextmanager
def started_host(
    directory: pathlib.Path,
    endless: raw_searcher.Answer = _SHORT_ANSWER,
    machine: Machine = TEST_MACHINE,
    endless_connections: int | None = None,
    idle_timeout_ms: int = 15_000,
) -> collections.abc.Iterator[LimitedHost]:
    """Start a host with searchers of its own and wait until it is ready.

    :param endless: answer of the searchers of the route ``/endless/``.
    :param endless_connections: connections that each of these searchers
        accepts; None for one to each.
    """
    with contextlib.ExitStack() as stack:
        store = store_double.Store()
        stack.callback(store.close)
        answers = [
            (_CALM, _SHORT_ANSWER),
            (_CROWDED, _SHORT_ANSWER),
            (_LARGE, _LARGE_ANSWER),
            *[(_ENDLESS, endless)] * _ENDLESS_SEARCHERS,
        ]
        for number, (service, answer) in enumerate(answers):
            searcher = raw_searcher.RawSearcher(answer)
            stack.callback(searcher.close)
            store.put(
                f'servers/i-{number}',
                {
                    'backend': service,
                    'addr': searcher.address,
                    'zone': 'west-a',
                    'version': 'v1',
                    'capacity': _SLOTS,
                    'state': 'ready',
                    'warmup_left_ms': 0,
                    'call_seq': 1,
                    'born': 1,
                },
            )
        store.put('op/config', _routing(endless_connections, idle_timeout_ms))
        host = LimitedHost(directory / 'boot.toml', store.address, machine)
        stack.callback(host.close)
        deadline_s = time.monotonic() + _LONG_S
        while not host.is_ready():
            assert host.alive, ''.join(host.lines)
            assert time.monotonic() < deadline_s, ''.join(host.lines)
            time.sleep(_POLL_INTERVAL_S)
        yield host


def _ordinary_request(
    host: LimitedHost, timeout_s: float
) -> tuple[int, float]:
    """Return a status, 0 without one, and the time to wait before a retry."""
    try:
        with contextlib.closing(
            http.client.HTTPConnection(
                '127.0.0.1', host.front, timeout=timeout_s
            )
        ) as client:
            headers = {
                'Host': 'a.example',
                'X-Request-Id': 'ordinary',
                'X-Deadline-Ms': '10000',
            }
            client.request('POST', f'/{_CALM}/x', b'query', headers)
            response = client.getresponse()
            response.read()
            retry_after = response.getheader('retry-after') or _RETRY_S
            return response.status, float(retry_after)
    except (OSError, http.client.HTTPException):
        return 0, _RETRY_S


def answer_to_ordinary_request(host: LimitedHost) -> list[int]:
    """Send a request of an ordinary caller until it is served.

    Each try uses a new connection.

    :returns: the status of each try; 0 stands for no answer.
    """
    deadline_s = time.monotonic() + _ORDINARY_S
    statuses: list[int] = []
    while len(statuses) < _TRIES:
        left_s = deadline_s - time.monotonic()
        if left_s <= 0:
            break
        status, retry_s = _ordinary_request(host, min(_TRY_S, left_s))
        statuses.append(status)
        if status == 200 or status in _FINAL_STATUSES:
            break
        time.sleep(min(retry_s, _ORDINARY_S / 4))
    return statuses
