"""Memory of a host before its first caller, by cause.

``python -m tests.adapter.rest_memory`` prints Markdown tables, and with
``--total`` only the resident memory of a host process, for comparisons of two
versions.
"""

import collections
import collections.abc
import contextlib
import json
import pathlib
import re
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
import typing

import attrs

from corianderport_testkit import tables
from corianderport_tier.process import membership

from . import limited_host
from . import store_double

__all__ = ['main']

_RUNS = 5
_SIZES = (8, 75, 195)
_MACHINE = limited_host.Machine(ram_mb=200, max_fds=4_100)
# The first heartbeats and calls to the store have taken place by then.
_SETTLE_S = 2.0
_READY_S = 20.0
_POLL_INTERVAL_S = 0.02
# Stacks have the size that entry_main sets, and no other mapping has it.
_STACK_BYTES = 512 * 1024
_PACKAGES = (
    'attrs',
    'logging',
    'hashlib',
    'orjson',
    'xxhash',
    'h11',
    'httptools',
    'pycurl',
    'ijson',
    'thriftpy2.transport',
    'aioprometheus',
    'quantile',
    'corianderport_tier.request.forwarding',
    'corianderport_wire.connection.caller_listener',
)
_BARE = """
for line in open('/proc/self/status'):
    if line.startswith('VmRSS:'):
        print(line.split()[1])
"""
_MAPPING = re.compile(
    r'(?P<start>[0-9a-f]+)-(?P<end>[0-9a-f]+) (?P<mode>\S+)'
    r' \S+ \S+ \S+\s*(?P<name>.*)'
)


@attrs.frozen
class _Mapping:
    """A mapping of a process; ``name`` is empty for anonymous memory."""

    name: str
    size_bytes: int
    resident_kb: int

    @property
    def kind(self) -> str:
        """What the mapping holds."""
        if not self.name:
            if self.size_bytes == _STACK_BYTES:
                return 'stacks of threads'
            return 'objects: arenas of pymalloc and of malloc for threads'
        if self.name == '[heap]':
            return 'heap: malloc of the main thread'
        if self.name.startswith('['):
            return 'stack of the main thread, vdso'
        return _library(pathlib.PurePath(self.name))


def _library(path: pathlib.PurePath) -> str:
    parts = path.parts
    if 'site-packages' in parts:
        package = parts[parts.index('site-packages') + 1]
        return f'libraries of {package.removesuffix(".libs")}'
    if path.name.startswith(('libcrypto', 'libssl', '_ssl', '_hashlib')):
        return 'libraries of OpenSSL'
    return 'libraries of the interpreter and the system'


def _mappings(pid: int) -> collections.abc.Iterator[_Mapping]:
    name, size_bytes = '', 0
    for line in pathlib.Path(f'/proc/{pid}/smaps').read_text().splitlines():
        found = _MAPPING.match(line)
        if found is not None:
            name = found['name']
            size_bytes = int(found['end'], 16) - int(found['start'], 16)
        elif line.startswith('Rss:'):
            yield _Mapping(name, size_bytes, int(line.split()[1]))


def _searcher_document(number: int) -> dict[str, typing.Any]:
    return {
        'backend': f'service-{number % 4}',
        'addr': f'127.9.{number // 250}.{number % 250 + 1}:9',
        'zone': 'west-a',
        'version': 'v1',
        'capacity': 25,
        'state': 'ready',
        'warmup_left_ms': 0,
        'call_seq': 1,
        'born': 1,
    }


def _routing() -> dict[str, typing.Any]:
    return {
        'version': 7,
        'backends': [],
        'routes': [
            {
                'name': f'route-{number}',
                'host': 'a.example',
                'prefix': f'/{number}/',
                'kind': 'idempotent',
                'timeout_ms': 8_000,
                'goal_ms': 1_000,
                'priority': 0,
                'backend': f'service-{number}',
                'attempts': 2,
            }
            for number in range(4)
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 1_048_576,
            'header_timeout_ms': 3_000,
            'idle_timeout_ms': 15_000,
        },
    }


@contextlib.contextmanager
def _resting_host(
    searchers: int,
) -> collections.abc.Iterator[limited_host.LimitedHost]:
    """Start a host that knows searchers, to which it does not connect."""
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        store = store_double.Store()
        stack.callback(store.close)
        for number in range(searchers):
            store.put(f'servers/i-{number}', _searcher_document(number))
        store.put('op/config', _routing())
        host = limited_host.LimitedHost(
            pathlib.Path(directory) / 'boot.toml', store.address, _MACHINE
        )
        stack.callback(host.close)
        deadline_s = time.monotonic() + _READY_S
        while not host.is_ready():
            if not host.alive or time.monotonic() > deadline_s:
                raise RuntimeError(''.join(host.lines))
            time.sleep(_POLL_INTERVAL_S)
        time.sleep(_SETTLE_S)
        yield host


def _bare_kb() -> int:
    return int(subprocess.check_output([sys.executable, '-c', _BARE]))


def _probe(modules: collections.abc.Sequence[str]) -> dict[str, typing.Any]:
    """Return the report of ``rest_probe``, with what pymalloc has free."""
    done = subprocess.run(
        [sys.executable, '-m', 'tests.adapter.rest_probe', *modules],
        check=True,
        capture_output=True,
        text=True,
    )
    report: dict[str, typing.Any] = json.loads(done.stdout)
    report['pymalloc_free_bytes'] = sum(
        int(number.replace(',', ''))
        for number in re.findall(
            r'(?:available blocks|unused pools.*bytes) += +([\d,]+)',
            done.stderr,
        )
    )
    return report


def _mb(kilobytes: collections.abc.Iterable[float]) -> str:
    return f'{statistics.median(kilobytes) / 1024:.2f}'


def _import_rows() -> collections.abc.Iterator[tuple[str, str, str]]:
    """Yield the growth by each package alone, and in one process in order."""
    bare_kb = [_bare_kb() for _ in range(_RUNS)]
    yield 'interpreter, `python3 -c`', _mb(bare_kb), _mb(bare_kb)
    loaded = set(_probe(())['loaded'])
    needed = [name for name in _PACKAGES if name in loaded]
    in_order = [_probe(needed) for _ in range(_RUNS)]
    starts = [report['resident_kb'][0] for report in in_order]
    yield (
        'start as a module, `-m`',
        '',
        _mb(start - bare for start, bare in zip(starts, bare_kb, strict=True)),
    )
    for name in _PACKAGES:
        alone = [_probe((name,))['resident_kb'] for _ in range(_RUNS)]
        growth = 'not loaded'
        if name in needed:
            position = needed.index(name)
            growth = _mb(_growth(in_order, position))
        yield name, _mb(kb[1] - kb[0] for kb in alone), growth
    rest = _mb(_growth(in_order, len(needed)))
    yield 'the other modules of the host', '', rest
    yield 'all imports', '', _mb(r['resident_kb'][-1] for r in in_order)
    for name in ('pymalloc_free_bytes', 'malloc_free_bytes'):
        free = _mb(report[name] / 1024 for report in in_order)
        yield f'of this {name.removesuffix("_free_bytes")}, free', '', free


def _growth(
    reports: collections.abc.Iterable[dict[str, typing.Any]], position: int
) -> list[int]:
    return [
        report['resident_kb'][position + 1] - report['resident_kb'][position]
        for report in reports
    ]


def _host_rows() -> collections.abc.Iterator[tuple[str, str, str]]:
    """Yield the mappings of a host process by kind."""
    with _resting_host(_SIZES[0]) as host:
        resident_kb: collections.Counter[str] = collections.Counter()
        counts: collections.Counter[str] = collections.Counter()
        for mapping in _mappings(host.process.pid):
            resident_kb[mapping.kind] += mapping.resident_kb
            counts[mapping.kind] += 1
        usage = host.usage
    for kind, kilobytes in resident_kb.most_common():
        yield kind, _mb([kilobytes]), str(counts[kind])
    yield 'all', _mb([sum(resident_kb.values())]), str(counts.total())
    yield 'threads', '', str(usage.threads)


def _member_bytes(count: int) -> float:
    """Return the bytes that the membership holds for other hosts."""
    own = membership.Member('host-own', 'west-a', '10.9.9.9:9000')
    tracemalloc.start()
    try:
        members = membership.Membership(own)
        before = tracemalloc.get_traced_memory()[0]
        for number in range(count):
            other = membership.Member(
                f'host-{number:04}',
                'west-a',
                f'10.9.{number // 250}.{number % 250}:9000',
                incarnation=f'{number:032x}',
            )
            members.apply(membership.Rumour(other))
        assert len(members.view.members) == count + 1
        return tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


def _resident_mb(searchers: int) -> float:
    with _resting_host(searchers) as host:
        return host.usage.resident_mb


def _size_rows() -> collections.abc.Iterator[tuple[str, str, str]]:
    for size in _SIZES:
        resident = [_resident_mb(size) for _ in range(_RUNS)]
        yield (
            str(size),
            tables.format_median_and_range(resident),
            f'{_member_bytes(size) / 1024:.1f}',
        )


def _write(header: tuple[str, ...], rows: typing.Any) -> None:
    sys.stdout.write(tables.format_markdown(header, rows) + '\n\n')
    sys.stdout.flush()


def main() -> None:
    """Print the tables, or only the total."""
    if '--total' in sys.argv[1:]:
        sys.stdout.write(f'{_resident_mb(_SIZES[0]):.2f}\n')
        return
    _write(('cause', 'alone, MB', 'in order, MB'), _import_rows())
    _write(('memory of a host process', 'MB', 'mappings'), _host_rows())
    _write(
        (
            'searchers or other hosts',
            'resident with the searchers, MB',
            'membership of the hosts, KB',
        ),
        _size_rows(),
    )


if __name__ == '__main__':
    main()
