"""Stand-ins for the store, searchers and callers, and the hosts of a case.

Everything uses loopback addresses and the real clock. The hosts are the
project's own processes, started with the run command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2
ZONES = ('west-a', 'west-b', 'west-c')
HEAD_END = b'\r\n\r\n'
MIB = 1024 * 1024


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')
        self._begun_s = time.monotonic()

    def note(self, text):
        line = f'{time.monotonic() - self._begun_s:8.3f} s  {text}'
        self._file.write(line + '\n')

    def say(self, text):
        self.note(text)
        print(text, flush=True)

    def close(self):
        self._file.close()


async def read_message(reader):
    """Return start line, headers and body; None if it does not end whole."""
    try:
        head = await reader.readuntil(HEAD_END)
        start, *lines = head[: -len(HEAD_END)].decode('latin-1').split('\r\n')
        headers = {}
        for line in lines:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get('content-length', '0'))
        body = await reader.readexactly(length) if length else b''
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return start, headers, body


class Store:
    """The platform's metadata store, for reading calls."""

    _PAGE = 500

    def __init__(self):
        self._items = {}
        self._events = []
        self._revision = 1
        self._changed = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]

    def put(self, key, value):
        self._revision += 1
        created = self._items.get(key, {}).get('create_rev', self._revision)
        item = {
            'key': key,
            'value': base64.b64encode(json.dumps(value).encode()).decode(),
            'rev': self._revision,
            'create_rev': created,
            'lease': 0,
        }
        self._items[key] = item
        self._publish(item)

    def remove(self, key):
        self._revision += 1
        del self._items[key]
        self._publish(
            {'key': key, 'rev': self._revision, 'tombstone': True}
        )

    def _publish(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                url = urllib.parse.urlsplit(message[0].split()[1])
                query = dict(urllib.parse.parse_qsl(url.query, True))
                if url.path == '/corianderport/kv-range':
                    document = self._range(query)
                else:
                    document = await self._watch(query)
                body = json.dumps(document).encode()
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
                )
                await writer.drain()
        writer.close()

    def _range(self, query):
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query.get('prefix', ''))
            and key > query.get('after', '')
        )
        return {
            'items': [self._items[key] for key in keys[: self._PAGE]],
            'has_more': len(keys) > self._PAGE,
            'current_rev': self._revision,
        }

    async def _watch(self, query):
        after = int(query['after'])
        prefix = query.get('prefix', '')
        until_s = time.monotonic() + int(query['wait_ms']) / 1e3
        while True:
            events = [
                e
                for e in self._events
                if e['rev'] > after and e['key'].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, 'current_rev': self._revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Searcher:
    """A searcher; ``work`` returns status, headers and body of an answer."""

    def __init__(self, name, service, zone, work, capacity=6):
        self.name = name
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self._work = work
        self._born = int(time.time() * 1e3)

    async def start(self):
        server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, backlog=512
        )
        self.address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]

    def entry(self, state='ready'):
        return {
            'backend': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': 'v1',
            'capacity': self.capacity,
            'state': state,
            'warmup_left_ms': 0,
            'call_seq': 1,
            'born': self._born,
        }

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                headers = message[1]
                if headers.get('x-target-instance', self.name) != self.name:
                    answer = (421, {'X-Not-Executed': '1'}, b'')
                else:
                    answer = await self._work(self, message)
                if answer is None:
                    break
                status, more, body = answer
                lines = [f'HTTP/1.1 {status} OK']
                more = {
                    'X-Request-Id': headers.get('x-request-id', ''),
                    'Content-Length': str(len(body)),
                    **more,
                }
                lines += [f'{name}: {value}' for name, value in more.items()]
                head = '\r\n'.join((*lines, '', '')).encode('latin-1')
                writer.write(head + body)
                await writer.drain()
        writer.close()


def receipt(searcher, request_id):
    return {'X-Response-Stamp': f'{searcher.name}.{request_id}'}


def route(name, target, **more):
    return {
        'name': name,
        'host': 'desk.example',
        'prefix': f'/{name}/',
        'kind': 'idempotent',
        'timeout_ms': 2000,
        'goal_ms': 400,
        'priority': 2,
        'attempts': 2,
        **target,
        **more,
    }


def configuration(version, routes, services):
    """Return a configuration; ``services`` maps names to connections."""
    return {
        'version': version,
        'routes': routes,
        'backends': [
            {
                'name': name,
                'max_conns': connections,
                'health_path': '/healthz',
                'warmup_s': 0,
                'warmup_per_s': 0,
            }
            for name, connections in services.items()
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def request(method, path, request_id, deadline_ms, body=None, more=''):
    length = '' if body is None else f'Content-Length: {len(body)}\r\n'
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: desk.example\r\n'
        f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n'
        f'{length}{more}\r\n'
    )
    return head.encode('latin-1') + (body or b'')


_SETTINGS = '''\
node = "{node}"
role = "entry"
class = "edge"
serves = ["edge", "control_plane"]
ip = "127.0.0.1"
zone = "{zone}"
region = "west"
port_range = [7740, 7755]
seed_addrs = [{seeds}]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entrypoint = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", \
"scatter", "places", "platform"]
[zones]
west-a = "west"
west-b = "west"
west-c = "west"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpu_share = 0.537
cpu_cores = 2
ram_mb = {ram_mb}
max_fds = {max_fds}
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_s = 2
contact_ms = 4000
ack_ms = 5000
catchup_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_ms = 3000
rollback_slack_ms = 250
max_skew_ms = 12000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 52
warmup_excess = 1.5
warmup_slack = 5
evac_ms = 5000
recover_s = 12
[platform]
addr = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
'''


def _free_ports(count):
    """Return free ports that no connection gets as its own.

    A host that starts again needs its ports, and a crowd opens thousands of
    connections meanwhile.
    """
    range_text = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
    first = int(range_text.read_text().split()[0])
    ports = []
    for port in random.sample(range(10_000, max(first, 20_000)), 2_000):
        with socket.socket() as opened:
            try:
                opened.bind(('127.0.0.1', port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun('no free ports')


class Host:
    """One entry host process."""

    def __init__(self, folder, number, store, ports, seeds, ram_mb, max_fds):
        self.name = f'edge-{number + 1}'
        self.front, self.ready, self.control, self._metrics = ports
        self.ram_mb = ram_mb
        self._folder = folder
        self.settings = folder / f'{self.name}.toml'
        self.settings.write_text(
            _SETTINGS.format(
                node=self.name,
                zone=ZONES[number % len(ZONES)],
                seeds=', '.join(f'"127.0.0.1:{seed}"' for seed in seeds),
                front=self.front,
                ready=self.ready,
                control=self.control,
                ram_mb=ram_mb,
                max_fds=max_fds,
                store=store,
            )
        )
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        (role,) = deploy['roles'].values()
        kept = ('PATH', 'HOME', 'LANG')
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment.update(role.get('env', {}))
        environment.update(
            CORIANDERPORT_BOOT=str(self.settings),
            CORIANDERPORT_METRICS_PORT=str(self._metrics),
            PYTHONPATH=str(ROOT / 'target/deps'),
        )
        with open(self._folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def await_ready(self, timeout_s=20.0):
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if await self.probe() == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready')

    async def probe(self):
        answer = await call(
            self.ready,
            b'GET /corianderport/readyz HTTP/1.1\r\nHost: probe\r\n'
            b'Connection: close\r\n\r\n',
            1.0,
        )
        return answer[0] if answer else None

    def resident_bytes(self):
        text = pathlib.Path(f'/proc/{self.process.pid}/statm').read_text()
        return int(text.split()[1]) * resource.getpagesize()

    def unread_bytes(self):
        """Bytes received on accepted connections of callers, not yet read."""
        total = 0
        for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
            fields = line.split()
            port = int(fields[1].rpartition(':')[2], 16)
            # A connection that waits to be accepted has no inode.
            if port == self.front and fields[3] != '0A' and fields[9] != '0':
                total += int(fields[4].rpartition(':')[2], 16)
        return total

    def kill_and_restart(self, delay_s):
        """Do what the platform does with a process over its memory."""
        self.process.kill()
        self.process.wait()
        text = self.settings.read_text()
        # True only when the whole system starts for the first time.
        self.settings.write_text(
            text.replace('bootstrap = true', 'bootstrap = false')
        )
        time.sleep(delay_s)
        self.start()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def call(port, content, timeout_s):
    """Send a request on a new connection; return status, headers, body.

    None if no complete answer arrives in time.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(content)
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    start, headers, body = message
    return int(start.split()[1]), headers, body


class Deployment:
    """Store, searchers and hosts of one case."""

    def __init__(self, folder):
        self.folder = folder
        self.store = Store()
        self.hosts = []
        self.searchers = []

    async def start(
        self, searchers, document, hosts=3, ram_mb=300, max_fds=4100
    ):
        _raise_descriptor_limit(max_fds)
        await self.store.start()
        for searcher in searchers:
            await searcher.start()
            self.store.put(f'servers/{searcher.name}', searcher.entry())
        self.searchers = searchers
        self.store.put('op/config', document)
        ports = _free_ports(4 * hosts)
        groups = [ports[4 * n : 4 * n + 4] for n in range(hosts)]
        seeds = [group[2] for group in groups[:3]]
        self.hosts = [
            Host(
                self.folder, n, self.store.address, group, seeds, ram_mb,
                max_fds,
            )
            for n, group in enumerate(groups)
        ]
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await host.await_ready()

    def end(self):
        for host in self.hosts:
            host.end()


def _raise_descriptor_limit(least):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = least + 1000
    if hard != resource.RLIM_INFINITY and hard < wanted:
        raise CannotRun(f'{wanted} descriptors are needed')
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def run(case, file, disrupted):
    """Run ``case(record, deployment)``; exit with its verdict.

    :param disrupted: whether the case has its disruption, for the record.
    """
    record = Record(pathlib.Path(file).resolve().parent)
    folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))

    async def main():
        deployment = Deployment(folder)
        try:
            async with asyncio.timeout(110):
                return await case(record, deployment)
        finally:
            deployment.end()

    try:
        verdict = asyncio.run(main())
    except (CannotRun, TimeoutError, OSError) as error:
        record.say(f'the case could not run: {error!r}')
        verdict = NOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record.say(
        f'disruption {"on" if disrupted else "off"}, exit status {verdict}'
    )
    record.close()
    sys.exit(verdict)
