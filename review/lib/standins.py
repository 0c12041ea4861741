"""Stand-ins of the platform, of searchers and of requesters for the cases.

They follow the users' pages. Everything listens on loopback addresses. The
programs under test are started with the run command of the deploy file.
"""

import base64
import http.server
import json
import os
import pathlib
import queue
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('west-a', 'west-b', 'west-c')
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._file = open(path, 'w', encoding='utf-8')

    def write(self, *fields):
        now_s = time.monotonic() - self._started_s
        line = f'{now_s:9.4f} ' + ' '.join(str(f) for f in fields)
        with self._lock:
            self._file.write(line + '\n')
            self._file.flush()


class _StoreServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        # A host that was killed leaves broken connections.
        return


class Store:
    """The platform's store: reads and watches, one revision counter."""

    def __init__(self):
        self._condition = threading.Condition()
        self._items = {}
        self._events = []
        self._revision = 100
        # Connections that were opened before are silent: they stay open and
        # carry nothing more, while new ones work.
        self._silent_before_s = float('-inf')
        self._watch_began = False
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def setup(self):
                super().setup()
                self.opened_s = time.monotonic()

            def do_GET(self):
                store._answer(self)

            def log_message(self, *arguments):
                return

        self._server = _StoreServer(('127.0.0.1', 0), Handler)
        self.address = '127.0.0.1:%d' % self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key, value):
        content = json.dumps(value).encode()
        with self._condition:
            self._revision += 1
            item = {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'rev': self._revision,
                'create_rev': self._items.get(key, {}).get(
                    'create_rev', self._revision
                ),
                'lease': 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._condition.notify_all()

    def remove(self, key):
        with self._condition:
            if self._items.pop(key, None) is None:
                return
            self._revision += 1
            self._events.append(
                {'key': key, 'rev': self._revision, 'tombstone': True}
            )
            self._condition.notify_all()

    def await_watch(self):
        """Wait until some host begins a watch of more than two seconds."""
        with self._condition:
            self._watch_began = False
            while not self._watch_began:
                self._condition.wait()

    def silence(self):
        """Let all open connections go silent for good, without a reset."""
        with self._condition:
            self._silent_before_s = time.monotonic()

    def _answer(self, request):
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        prefix = query.get('prefix', '')
        with self._condition:
            if url.path.endswith('/kv-range'):
                keys = sorted(
                    k
                    for k in self._items
                    if k.startswith(prefix) and k > query.get('after', '')
                )
                document = {
                    'items': [self._items[k] for k in keys[:500]],
                    'has_more': len(keys) > 500,
                    'current_rev': self._revision,
                }
            else:
                after = int(query['after'])
                until_s = time.monotonic() + int(query['wait_ms']) / 1e3
                if int(query['wait_ms']) > 2000:
                    self._watch_began = True
                    self._condition.notify_all()
                while True:
                    events = [
                        e
                        for e in self._events
                        if e['rev'] > after and e['key'].startswith(prefix)
                    ]
                    left_s = until_s - time.monotonic()
                    if events or left_s <= 0:
                        break
                    self._condition.wait(left_s)
                document = {'events': events, 'current_rev': self._revision}
        if request.opened_s < self._silent_before_s:
            # The caller gives up before this.
            time.sleep(60)
            return
        body = json.dumps(document).encode()
        request.send_response(200)
        request.send_header('Content-Type', 'application/json')
        request.send_header('Content-Length', str(len(body)))
        request.end_headers()
        request.wfile.write(body)


def config(version, routes, services, **limits):
    """A configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'backends': [
            {
                'name': name,
                'health_path': '/healthz',
                'max_conns': connections,
                'proto': 'h1',
                'tls': False,
                'warmup_s': 3.0,
                'warmup_per_s': 0.0,
            }
            for name, connections in services.items()
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
            **limits,
        },
    }


class Message:
    """A parsed HTTP message: first line, headers in lower case, body."""

    def __init__(self, line, headers, body):
        self.line = line
        self.headers = headers
        self.body = body


class Reader:
    """Reads HTTP messages with Content-Length from a socket."""

    def __init__(self, connection):
        self._connection = connection
        self._buffer = b''

    def message(self):
        """Return the next message, or None at the end of the stream."""
        while b'\r\n\r\n' not in self._buffer:
            if not self._fill():
                return None
        head, _, rest = self._buffer.partition(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        self._buffer = rest
        size = int(headers.get('content-length', 0))
        while len(self._buffer) < size:
            if not self._fill():
                return None
        body, self._buffer = self._buffer[:size], self._buffer[size:]
        return Message(lines[0], headers, body)

    def _fill(self):
        received = self._connection.recv(65536)
        self._buffer += received
        return bool(received)


class Searcher:
    """A searcher: slots, a short queue, a stamp for each request it ran.

    ``work_s`` returns how long a request takes. ``refusal_s`` is the time in
    which a full searcher answers that it is full.
    """

    _numbers = iter(range(1, 1_000_000))
    # Header fields of a full searcher's refusal.
    refusal_headers = ()

    def __init__(
        self,
        name,
        service,
        zone,
        store,
        record,
        *,
        slots=2,
        waiting=0,
        work_s=lambda: 0.05,
        refusal_s=0.0,
        body=b'0123456789abcdef',
        max_connections=96,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.slots = slots
        self.waiting = waiting
        self.work_s = work_s
        self.refusal_s = refusal_s
        self.body = body
        self.max_connections = max_connections
        self.answers = 0
        self.extra_headers = ()
        self._store = store
        self._lock = threading.Condition()
        self._working = 0
        self._queued = 0
        self._connections = set()
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=128)
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        self.born = int(time.time() * 1000)
        threading.Thread(target=self._accept, daemon=True).start()

    def register(self, state='ready', version='v1'):
        self._store.put(
            f'servers/{self.name}',
            {
                'backend': self.service,
                'addr': self.address,
                'zone': self.zone,
                'version': version,
                'capacity': self.slots,
                'state': state,
                'warmup_left_ms': 0,
                'call_seq': 1,
                'born': self.born,
            },
        )

    def stop(self):
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                full = len(self._connections) >= self.max_connections
                if not full:
                    self._connections.add(connection)
            if full:
                connection.close()
                continue
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        reader = Reader(connection)
        try:
            while True:
                request = reader.message()
                if request is None:
                    return
                self.handle(connection, request)
        except OSError:
            return
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()

    def handle(self, connection, request):
        request_id = request.headers.get('x-request-id', '')
        if request.headers.get('x-target-instance', self.name) != self.name:
            self.respond(
                connection, request, '421 Misdirected Request',
                [('X-Instance-Id', self.name), ('X-Not-Executed', '1')],
            )
            return
        if not self._enter(request):
            time.sleep(self.refusal_s)
            self.record.write('refuse', self.name, request_id)
            self.refuse(connection, request)
            return
        try:
            work_s = self.work_s()
            self.record.write(
                'run', self.name, request_id, request.line.split(' ')[0]
            )
            time.sleep(work_s)
        finally:
            with self._lock:
                self._working -= 1
                self._lock.notify_all()
        self.respond(
            connection, request, '200 OK', [('X-Response-Stamp', self.stamp(request_id))],
            self.body,
        )

    def stamp(self, request_id):
        return f'{self.name}.{next(self._numbers):x}.{request_id}'

    def _enter(self, request):
        """Take a slot, after a wait in the queue; return False if full."""
        until_s = time.monotonic() + int(
            float(request.headers.get('x-deadline-ms', 2000))
        ) / 1e3
        with self._lock:
            if self._working >= self.slots:
                if self._queued >= self.waiting:
                    return False
                self._queued += 1
                try:
                    while self._working >= self.slots:
                        left_s = until_s - time.monotonic()
                        if left_s <= 0:
                            return False
                        self._lock.wait(left_s)
                finally:
                    self._queued -= 1
            self._working += 1
            return True

    def refuse(self, connection, request):
        self.respond(
            connection, request, '503 Service Unavailable',
            [('X-Not-Executed', '1'), *self.refusal_headers],
        )

    def respond(self, connection, request, status, headers, body=b''):
        self.answers += 1
        connection.sendall(self.encode(request, status, headers, body))

    def encode(self, request, status, headers, body=b''):
        lines = [f'HTTP/1.1 {status}']
        lines.append(
            f'X-Request-Id: {request.headers.get("x-request-id", "")}'
        )
        lines += [f'{name}: {value}' for name, value in headers]
        lines += [f'{name}: {value}' for name, value in self.extra_headers]
        lines.append(f'Content-Length: {len(body)}')
        return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


_SETTINGS = '''node = "{node}"
role = "entry"
class = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "west"
port_range = [{first_port},{last_port}]
seed_addrs = [{seeds}]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entrypoint = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
west-a = "west"
west-b = "west"
west-c = "west"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cpu_cores = 2
ram_mb = 300
max_fds = 4100
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


def _free_ports(ip, count):
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for listener in sockets:
        listener.close()
    return ports


class Host:
    """One entry host: the process that the deploy file runs."""

    def __init__(self, number, directory, store, seeds, ports):
        self.node = f'edge-{number}'
        self.zone = ZONES[number % len(ZONES)]
        self.ip = f'127.77.{number % len(ZONES)}.{number + 1}'
        self.front, self.ready, self.control, metrics = ports
        self._path = directory / f'{self.node}.toml'
        self._path.write_text(
            _SETTINGS.format(
                node=self.node, ip=self.ip, zone=self.zone, front=self.front,
                ready=self.ready, control=self.control, store=store.address,
                first_port=self.control + 1, last_port=self.control + 16,
                seeds=','.join(f'"{seed}"' for seed in seeds),
            )
        )
        self._log = open(directory / f'{self.node}.log', 'ab')
        deploy = tomllib.loads(
            (REPOSITORY / 'deploy/system.toml').read_text()
        )
        role = deploy['roles']['entry']
        self._command = role['run'].split()
        self._environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        self._environment |= role['env']
        self._environment |= {
            'CORIANDERPORT_METRICS_PORT': str(metrics),
            'CORIANDERPORT_BOOT': str(self._path),
            'PYTHONPATH': str(REPOSITORY / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            self._command, cwd=REPOSITORY, env=self._environment,
            stdin=subprocess.DEVNULL, stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready), 1) as probe:
                probe.sendall(
                    b'GET /corianderport/readyz HTTP/1.1\r\n'
                    b'Host: ready\r\nConnection: close\r\n\r\n'
                )
                return probe.recv(64).startswith(b'HTTP/1.1 200')
        except OSError:
            return False

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Deployment:
    """A store and entry hosts; everything ends with the ``with`` block."""

    def __init__(self, hosts):
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        ports = _free_ports('127.77.0.1', 4)
        seeds = [
            f'127.77.{number % len(ZONES)}.{number + 1}:{ports[2]}'
            for number in range(min(3, hosts))
        ]
        self.hosts = [
            Host(number, self._directory, self.store, seeds, ports)
            for number in range(hosts)
        ]

    def __enter__(self):
        # A script that is stopped ends its processes, too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        for host in self.hosts:
            host.start()
        return self

    def __exit__(self, *exception):
        for host in self.hosts:
            host.end()
        if os.environ.get('KEEP_LOGS'):
            print('logs:', self._directory)
        else:
            shutil.rmtree(self._directory, ignore_errors=True)

    def await_ready(self, seconds=20):
        until_s = time.monotonic() + seconds
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > until_s:
                raise RuntimeError('the hosts did not become ready')
            time.sleep(0.1)


class Requester:
    """One kept connection to an entry host."""

    def __init__(self, host, timeout_s=5.0):
        self._host = host
        self._timeout_s = timeout_s
        self._connection = None
        self._reader = None

    def connect(self):
        self._connection = socket.create_connection(
            (self._host.ip, self._host.front), 1.0
        )
        self._connection.settimeout(self._timeout_s)
        self._connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        self._reader = Reader(self._connection)

    def close(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = self._reader = None

    def send(self, method, name, path, request_id, deadline_ms, body=b'',
             body_after_s=None):
        """Send a request, its body ``body_after_s`` later if that is set."""
        if self._connection is None:
            self.connect()
        lines = [
            f'{method} {path} HTTP/1.1', f'Host: {name}',
            f'X-Request-Id: {request_id}', f'X-Deadline-Ms: {deadline_ms}',
        ]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        head = ('\r\n'.join(lines) + '\r\n\r\n').encode()
        if body_after_s is None:
            self._connection.sendall(head + body)
        else:
            self._connection.sendall(head)
            time.sleep(body_after_s)
            self._connection.sendall(body)

    def answer(self):
        """Return (status, headers, body), or None if none came whole."""
        try:
            message = self._reader.message()
        except TimeoutError:
            self.close()
            return 'timeout'
        except OSError:
            message = None
        if message is None:
            self.close()
            return None
        status = int(message.line.split(' ')[1])
        if message.headers.get('connection', '').lower() == 'close':
            self.close()
        return status, message.headers, message.body
