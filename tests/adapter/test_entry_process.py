"""The entry host as a process, with a fake store and fake searchers."""

import collections.abc
import contextlib
import http.client
import io
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
import typing

import pytest

from corianderport_operator import main

from . import fakes
from . import test_documents
from . import test_settings

_LONG_S = 20.0
_POLL_INTERVAL_S = 0.02


class _Host:
    """An entry host process and its addresses."""

    def __init__(self, path: pathlib.Path, store: str) -> None:
        self._reserved = [fakes.reserved_port() for _ in range(4)]
        self.front, self.ready, self.control, self.metrics = (
            int(reserved.getsockname()[1]) for reserved in self._reserved
        )
        text = test_settings.TEXT.replace('127.0.0.1:8229', store)
        for name in ('front', 'ready', 'control'):
            port = getattr(self, name)
            text = text.replace(
                f'{name} = "127.0.0.1:0"', f'{name} = "127.0.0.1:{port}"'
            )
        path.write_text(text)
        self.path = path
        environment = {
            'CORIANDERPORT_METRICS_PORT': str(self.metrics),
            **os.environ,
            'CORIANDERPORT_BOOT': str(path),
            'CORIANDERPORT_SHARED_KEYS': 'test-key',
            'PYTHONPATH': os.pathsep.join(p for p in sys.path if p),
        }
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'corianderport_platform'],
            env=environment,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.lines: list[str] = []
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self) -> None:
        assert self.process.stdout is not None
        self.lines.extend(self.process.stdout)

    def is_ready(self) -> bool:
        try:
            client = http.client.HTTPConnection(
                '127.0.0.1', self.ready, timeout=_LONG_S
            )
            client.request('GET', '/corianderport/readyz')
            status = client.getresponse().status
            client.close()
        except OSError:
            return False
        return status == 200

    def wait_until(
        self, condition: collections.abc.Callable[[], bool]
    ) -> None:
        deadline_s = time.monotonic() + _LONG_S
        while not condition():
            assert time.monotonic() < deadline_s
            time.sleep(_POLL_INTERVAL_S)

    def client(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(
            '127.0.0.1', self.front, timeout=_LONG_S
        )

    def close(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(_LONG_S)
        self._reader.join(_LONG_S)
        # Shown if the test fails.
        print('exit status', self.process.returncode)
        print(''.join(self.lines))
        for reserved in self._reserved:
            reserved.close()

    def reloads(self) -> int:
        return sum('read anew' in line for line in self.lines)

    def events(self) -> list[dict[str, typing.Any]]:
        return [json.loads(line) for line in self.lines]


_RECORD = b'0123456789abcdef'


def _register(
    store: fakes.Store, searcher: fakes.Searcher, service: str, born: int = 1
) -> None:
    store.put(
        f'servers/{searcher.name}',
        {
            'backend': service,
            'addr': searcher.address,
            'zone': 'west-a',
            'version': 'v1',
            'capacity': 2,
            'state': 'ready',
            'warmup_left_ms': 0,
            'call_seq': 1,
            'born': born,
        },
    )


@contextlib.contextmanager
def _host_and_store(
    tmp_path: pathlib.Path,
    may_answer: threading.Event | None = None,
) -> collections.abc.Iterator[tuple[_Host, fakes.Store]]:
    with contextlib.ExitStack() as stack:
        store = fakes.Store()
        stack.callback(store.close)
        for service in ('stock-1', 'stock-2', 'desk', 'desk-2'):
            searcher = fakes.Searcher(f'i-{service}', _RECORD)
            stack.callback(searcher.close)
            if may_answer is not None:
                searcher.may_answer = may_answer
            _register(store, searcher, service)
        host = _Host(tmp_path / 'boot.toml', store.address)
        stack.callback(host.close)
        yield host, store


def _send_request(
    client: http.client.HTTPConnection, method: str, path: str, number: int
) -> http.client.HTTPResponse:
    client.request(
        method,
        path,
        headers={
            'Host': 'a.example',
            'X-Request-Id': f'q{number}',
            'X-Deadline-Ms': '5000',
        },
    )
    return client.getresponse()


def _metrics(host: _Host) -> str:
    client = http.client.HTTPConnection(
        '127.0.0.1', host.metrics, timeout=_LONG_S
    )
    client.request('GET', '/metrics')
    text = client.getresponse().read().decode()
    client.close()
    return text


def _where(host: _Host, url: str, *headers: str) -> str:
    """Return what ``corianderport explain where`` prints."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        main.main(
            [
                'explain', 'where', 'GET', url,
                '--host', f'127.0.0.1:{host.metrics}',
                '--header', 'content-length:5', '--header', 'accept:*/*',
                *(f'--header={header}' for header in headers),
            ]
        )  # fmt: skip
    return output.getvalue()


@pytest.fixture
def host_and_store(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[tuple[_Host, fakes.Store]]:
    with _host_and_store(tmp_path) as started:
        yield started


def test_a_calm_day(host_and_store: tuple[_Host, fakes.Store]) -> None:
    """Guards against components of a host that are wired wrongly.

    The host starts, serves requests, reloads its settings and stops. Every
    request gets its answer, also one that is sent during the shutdown.
    """
    host, store = host_and_store
    host.wait_until(lambda: any('started' in line for line in host.lines))
    assert not host.is_ready()
    store.put('op/config', test_documents.ROUTING)
    host.wait_until(host.is_ready)

    client = host.client()
    answer = _send_request(client, 'GET', '/all/x', 1)
    assert answer.status == 200
    assert answer.read() == 2 * _RECORD
    stamps = answer.getheader('x-part-stamps') or ''
    assert stamps.count('q1') == 2
    answer = _send_request(client, 'POST', '/one/x', 2)
    assert answer.status == 200
    assert (answer.getheader('x-response-stamp') or '').endswith('.q2')
    answer.read()
    answer = _send_request(client, 'GET', '/none/x', 3)
    assert answer.status == 404
    answer.read()

    text = _metrics(host)
    assert 'corianderport_results_total{' in text
    assert 'request="r1"' in text
    assert 'corianderport_sub_requests_total 3' in text

    where = _where(host, 'http://a.example/all/x')
    assert 'route r1' in where
    assert ' s old' in where
    assert 'key:' not in where
    assert where.count(' chosen ') == 2
    assert 'corianderport_sub_requests_total 3' in _metrics(host)

    host.process.send_signal(signal.SIGHUP)
    host.wait_until(lambda: host.reloads() == 1)
    host.path.write_text(host.path.read_text() + '# changed\n')
    host.wait_until(lambda: host.reloads() == 2)
    host.process.send_signal(signal.SIGTERM)
    host.wait_until(lambda: not host.is_ready())
    answer = _send_request(client, 'GET', '/all/x', 4)
    assert answer.status == 200
    assert answer.getheader('connection') == 'close'
    answer.read()
    assert host.process.wait(_LONG_S) == 0
    host.close()
    events = host.events()
    answers = {
        e['request_id']: e['choice']
        for e in events
        if e.get('kind') == 'answer'
    }
    assert answers == {
        'q1': 'gathered',
        'q2': 'relayed',
        'q3': 'UNKNOWN_SERVICE',
        'q4': 'gathered',
    }
    assert any(e['event'].startswith('stopped') for e in events)


def _head(number: int) -> bytes:
    return (
        b'POST /one/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q%d\r\n'
        b'X-Deadline-Ms: 30000\r\nContent-Length: 0\r\n\r\n' % number
    )


def _status(connection: socket.socket) -> int:
    """Read a response; 0 if the connection ends without one."""
    response = http.client.HTTPResponse(connection)
    try:
        response.begin()
    except (http.client.BadStatusLine, ConnectionError):
        return 0
    return response.status


def test_request_late_in_a_shutdown_is_answered_and_not_cut(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests that end with the process and without answer.

    One still runs at the end of the grace period; of the other one the end
    of the head arrives when no time is left to run it.
    """
    may_answer = threading.Event()
    config = {
        **test_documents.ROUTING,
        'routes': [
            {**route, 'timeout_ms': 30_000, 'goal_ms': 1_000}
            for route in test_documents.ROUTING['routes']
        ],
    }
    with _host_and_store(tmp_path, may_answer) as (host, store):
        store.put('op/config', config)
        host.wait_until(host.is_ready)
        with contextlib.ExitStack() as stack:
            stack.callback(may_answer.set)
            running, late = (
                stack.enter_context(
                    socket.create_connection(
                        ('127.0.0.1', host.front), _LONG_S
                    )
                )
                for _ in range(2)
            )
            host.process.send_signal(signal.SIGTERM)
            host.wait_until(lambda: not host.is_ready())
            running.sendall(_head(1))
            # Idle connections are closed 2.8 s after the signal, and a head
            # has to arrive within three seconds.
            time.sleep(1.7)
            late.sendall(_head(2)[:20])
            time.sleep(2.0)
            late.sendall(_head(2)[20:])
            assert _status(late) == 503
            assert _status(running) == 504
        assert host.process.wait(_LONG_S) == 0


def test_statements_of_searchers(
    host_and_store: tuple[_Host, fakes.Store],
) -> None:
    """Guards against requests to a searcher that leaves or wants a pause.

    The store lists both searchers as ready all the time.
    """
    host, store = host_and_store
    routing = {
        **test_documents.ROUTING,
        'routes': [
            {
                **test_documents.ROUTING['routes'][1],
                'kind': 'idempotent',
                'split': [{'backend': 'pair', 'weight': 1}],
            }
        ],
    }
    with contextlib.ExitStack() as stack:
        pair = [fakes.Searcher(f'i-pair-{n}', _RECORD) for n in range(2)]
        for searcher in pair:
            stack.callback(searcher.close)
            _register(store, searcher, 'pair')
        store.put('op/config', routing)
        host.wait_until(host.is_ready)
        client = host.client()
        numbers = iter(range(1_000))

        def statuses(count: int) -> set[int]:
            results = set()
            for _ in range(count):
                answer = _send_request(client, 'GET', '/one/x', next(numbers))
                answer.read()
                results.add(answer.status)
            return results

        leaving, other = pair
        leaving.headers = {'Server-Leaving': '1'}
        host.wait_until(lambda: statuses(1) == {200} and bool(leaving.seen))
        seen = len(leaving.seen)
        assert statuses(20) == {200}
        assert len(leaving.seen) == seen

        other.status = 503
        other.headers = {'Retry-After': '60', 'X-Not-Executed': '1'}
        assert statuses(1) == {503}
        seen = len(other.seen)
        assert statuses(20) == {503}
        assert len(other.seen) == seen
        # A new lifetime serves again at once.
        leaving.headers = {}
        _register(store, leaving, 'pair', born=2)
        host.wait_until(lambda: statuses(1) == {200})


_NESTED = b'[' * 100_000 + b']' * 100_000
_ODD_FIELDS: list[dict[str, object]] = [
    {'addr': '10.1.0.9:99999'},
    {'addr': '10.1.0.9:\uff18\uff10'},
    {'addr': 'a' * 300 + ':80'},
    {'capacity': 10**30},
    {'born': 1e308},
    {'zone': 'z' * 100_000},
    {'state': 'x' * 100_000},
    {'backend': ['stock-1']},
]


def test_odd_entries_among_the_searchers(
    host_and_store: tuple[_Host, fakes.Store],
) -> None:
    """Guards against odd entries that end the process or its reading.

    Another program writes them among the searchers, before the first read
    and while the host watches; the others are served, and changes arrive.
    """
    host, store = host_and_store
    good = {
        'backend': 'desk',
        'addr': '127.0.0.1:9',
        'zone': 'west-a',
        'capacity': 2,
        'state': 'ready',
        'warmup_left_ms': 0,
        'born': 1,
    }

    def put_odd(prefix: str) -> int:
        contents: list[object] = [{**good, **f} for f in _ODD_FIELDS]
        contents += [_NESTED, b'\xff', b'', b'9' * 10_000]
        for number, content in enumerate(contents):
            store.put(f'servers/{prefix}-{number}', content)
        store.put(f'servers/{prefix}\r\nX-Request-Id: q', good)
        return len(contents) + 1

    count = put_odd('early')
    store.put('op/config', test_documents.ROUTING)
    host.wait_until(host.is_ready)
    count += put_odd('late')
    # A new version arrives although odd entries came before it.
    routing = json.loads(json.dumps(test_documents.ROUTING))
    routing['version'] += 1
    routing['routes'][0]['prefix'] = '/moved/'
    store.put('op/config', routing)
    client = host.client()

    def moved() -> bool:
        answer = _send_request(client, 'GET', '/moved/x', 1)
        answer.read()
        return answer.status == 200

    host.wait_until(moved)
    answer = _send_request(client, 'POST', '/one/x', 2)
    assert answer.status == 200
    answer.read()
    assert host.process.poll() is None
    host.process.terminate()
    assert host.process.wait(_LONG_S) == 0
    host.close()
    odd = [e for e in host.events() if e.get('kind') == 'unreadable']
    assert len(odd) == count
    assert max(map(len, host.lines)) < 2_000


def test_invalid_settings_exit_with_a_log_line(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a host that exits without naming the invalid setting.

    The settings file lacks a required field.
    """
    path = tmp_path / 'boot.toml'
    path.write_text(test_settings.TEXT.replace('node =', 'name ='))
    ended = subprocess.run(
        [sys.executable, '-m', 'corianderport_platform'],
        env={
            **os.environ,
            'CORIANDERPORT_BOOT': str(path),
            'PYTHONPATH': os.pathsep.join(p for p in sys.path if p),
        },
        capture_output=True,
        text=True,
        timeout=_LONG_S,
    )
    assert ended.returncode == 2
    assert 'node: missing' in ended.stdout


_TENANTS = [
    {'name': 'alpha', 'api_keys': ['secret-a1', 'secret-a2'], 'priority': 0},
    {'name': 'beta', 'api_keys': ['secret-b1']},
]


def _strict(host: _Host) -> None:
    """Enable strict mode; the host reads the file by itself.

    Knowledge is too old after 2.5 s.
    """
    text = host.path.read_text().replace(
        '[bounds]', '[bounds]\nstrict_revoke = true\nrevoke_ms = 3000'
    )
    host.path.write_text(text)
    host.wait_until(lambda: host.reloads() == 1)


def _config(version: int, tenants: object) -> dict[str, typing.Any]:
    gathered, single = test_documents.ROUTING['routes']
    return {
        **test_documents.ROUTING,
        'version': version,
        'tenants': tenants,
        'routes': [{**gathered, 'public': True}, single],
    }


def _status_with_key(
    host: _Host, key: str | None, path: str = '/one/x', method: str = 'POST'
) -> int:
    client = host.client()
    fields = {'Host': 'a.example', 'X-Request-Id': 'q', 'X-Tenant': 'evil'}
    if key is not None:
        fields['Authorization'] = f'Bearer {key}'
    client.request(method, path, headers=fields)
    response = client.getresponse()
    response.read()
    if response.status == 503:
        assert float(response.getheader('retry-after') or '0') > 0
    client.close()
    return response.status


def test_keys_of_workspaces(tmp_path: pathlib.Path) -> None:
    """Guards against components of authorization that are wired wrongly.

    Keys are demanded, taken away and confirmed by a running store; the key
    reaches neither a searcher nor the log nor the metrics.
    """
    with contextlib.ExitStack() as stack:
        store = fakes.Store()
        stack.callback(store.close)
        searchers = []
        for service in ('stock-1', 'stock-2', 'desk', 'desk-2'):
            searcher = fakes.Searcher(f'i-{service}', _RECORD)
            stack.callback(searcher.close)
            _register(store, searcher, service)
            searchers.append(searcher)
        host = _Host(tmp_path / 'boot.toml', store.address)
        stack.callback(host.close)
        host.wait_until(lambda: any('started' in line for line in host.lines))
        # Without a configuration, no key is judged.
        assert _status_with_key(host, None) == 503
        _strict(host)
        store.put('op/config', _config(8, _TENANTS))
        host.wait_until(host.is_ready)

        assert _status_with_key(host, 'secret-a2') == 200
        where = _where(
            host,
            'http://a.example/one/x',
            'Authorization: Bearer secret-a2',
        )
        assert 'key: accepted, workspace alpha' in where
        assert 'secret' not in where
        with pytest.raises(SystemExit):
            _where(
                host,
                'http://a.example/one/x',
                'Authorization: Bearer secret-unknown',
            )
        assert _status_with_key(host, 'unknown') == 401
        assert _status_with_key(host, None) == 401
        assert _status_with_key(host, None, '/none/x') == 404
        assert _status_with_key(host, None, '/all/x', 'GET') == 200
        assert _status_with_key(host, 'secret-b1', '/all/x', 'GET') == 200
        seen = [headers for s in searchers for headers in s.seen]
        assert all('authorization' not in headers for headers in seen)
        assert sorted(str(h.get('x-tenant')) for h in seen) == [
            'None', 'None', 'alpha', 'beta', 'beta'
        ]  # fmt: skip

        store.put('op/config', _config(9, _TENANTS[1:]))
        host.wait_until(lambda: _status_with_key(host, 'secret-a2') == 401)
        assert _status_with_key(host, 'secret-b1') == 200

        # Knowledge becomes too old without the store.
        store.status = 503
        host.wait_until(lambda: _status_with_key(host, 'secret-b1') == 503)
        assert not host.is_ready()
        assert _status_with_key(host, None) == 401
        assert _status_with_key(host, None, '/all/x', 'GET') == 200
        store.status = None
        host.wait_until(host.is_ready)
        assert _status_with_key(host, 'secret-b1') == 200

        # A process that was frozen refuses until it has read the store. The
        # key is taken away meanwhile, and the store then does not answer.
        host.process.send_signal(signal.SIGSTOP)
        store.put('op/config', _config(10, _TENANTS[:1]))
        store.status = 503
        time.sleep(3.0)
        host.process.send_signal(signal.SIGCONT)
        assert _status_with_key(host, 'secret-b1') == 503
        store.status = None
        host.wait_until(lambda: _status_with_key(host, 'secret-b1') == 401)
        assert _status_with_key(host, 'secret-a1') == 200

        text = _metrics(host)
        assert 'corianderport_store_age_seconds' in text
        assert 'kind="keys-refused"' in text
        host.process.send_signal(signal.SIGTERM)
        assert host.process.wait(_LONG_S) == 0
        host.close()
        kinds = [e.get('kind') for e in host.events()]
        assert kinds.count('keys-refused') == kinds.count('keys-accepted') > 0
        assert 'secret' not in ''.join(host.lines) + text
