"""Hosts under crowds of clients, or of searchers, that misbehave.

Each test runs one process with lowered limits. A crowd may be refused or
disconnected, but the process must live within its memory and descriptors and
serve an ordinary request while the connections of the crowd are open.
"""

import collections.abc
import contextlib
import http.client
import pathlib
import socket

import pytest

from . import crowd_behaviours as behaviours
from . import crowd_caller
from . import crowd_rows
from . import crowds
from . import limited_host
from . import raw_searcher

# More connections than the process has descriptors.
_MORE_THAN_DESCRIPTORS = 300
_FEW = 100
_CHUNK_BYTES = 8_192

_BODY = bytes(crowd_caller.BODY_BYTES)
_CHUNKED = 'Transfer-Encoding: chunked'


def _length(count: int) -> str:
    return f'Content-Length: {count}'


_BODY_IN_CHUNKS = crowd_caller.chunks(_BODY, _CHUNK_BYTES)


def _check_limits(host: limited_host.LimitedHost) -> None:
    """Check the process and its memory and descriptors, highest so far."""
    assert host.alive, ''.join(host.lines)
    assert host.usage.peak_mb < limited_host.TEST_MACHINE.ram_mb
    assert host.max_descriptors < limited_host.TEST_MACHINE.max_fds


@contextlib.contextmanager
def _figures(
    host: limited_host.LimitedHost, name: str, connections: int
) -> collections.abc.Iterator[None]:
    """Print the usage before and after; -s shows it."""
    before = host.usage
    try:
        yield
    finally:
        if host.alive:
            after = host.usage
            print(
                f'\nFIGURES {name} connections {connections} '
                f'MB before {before.resident_mb:.1f} '
                f'after {after.resident_mb:.1f} peak {after.peak_mb:.1f} '
                f'descriptors {host.max_descriptors}'
            )


@pytest.mark.parametrize(
    ('row', 'target'),
    [
        pytest.param(row, target, id=f'{row.name}-{target.name}')
        for row in crowd_rows.ROWS
        for target in row.targets
    ],
)
def test_crowd_of_callers(
    tmp_path: pathlib.Path, row: crowd_rows.Row, target: crowds.Target
) -> None:
    """Guards against clients that exhaust a host.

    The process ends, exceeds its memory or descriptors, or no longer serves
    an ordinary caller while the crowd is connected.
    """
    with limited_host.started_host(tmp_path) as host:
        assert limited_host.answer_to_ordinary_request(host)[-1] == 200
        with (
            _figures(host, f'{row.name}-{target.name}', row.connections),
            crowds.Crowd(
                target.port_of(host),
                target.path,
                row.behaviours,
                row.connections,
                row.receive_bytes,
            ) as crowd,
        ):
            crowd.await_effect(host)
            # Without a crowd, the other checks would prove nothing.
            assert crowd.connected > row.connections / 2
            _check_limits(host)
            assert limited_host.answer_to_ordinary_request(host)[-1] == 200
            _check_limits(host)


@pytest.mark.parametrize(
    'connections',
    [pytest.param(None, id='one'), pytest.param(25, id='many')],
)
@pytest.mark.parametrize(
    'answer',
    [
        pytest.param(raw_searcher.EndlessBody(), id='body'),
        pytest.param(raw_searcher.EndlessChunks(), id='chunks'),
        pytest.param(raw_searcher.EndlessHead(), id='head'),
    ],
)
def test_crowd_of_searchers(
    tmp_path: pathlib.Path,
    answer: raw_searcher.Answer,
    connections: int | None,
) -> None:
    """Guards against searchers' answers without an end that exhaust a host.

    Many requests wait for such answers at the same time, on one connection
    to each searcher or on many.
    """
    with limited_host.started_host(
        tmp_path, answer, endless_connections=connections
    ) as host:
        assert limited_host.answer_to_ordinary_request(host)[-1] == 200
        with (
            _figures(host, f'searchers-{connections}', _FEW),
            crowds.Crowd(
                host.front,
                crowd_rows.ENDLESS.path,
                (behaviours.ordinary,),
                _FEW,
            ) as crowd,
        ):
            crowd.await_effect(host)
            _check_limits(host)
            assert limited_host.answer_to_ordinary_request(host)[-1] == 200
            _check_limits(host)


def test_readiness_is_answered_beside_a_crowd_at_the_front(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against probes that wait behind the connections of callers.

    The load balancer would take such a host out of service.
    """
    with limited_host.started_host(tmp_path) as host:
        with crowds.Crowd(
            host.front,
            crowd_rows.SERVED.path,
            (behaviours.silent,),
            _MORE_THAN_DESCRIPTORS,
        ) as crowd:
            crowd.await_effect(host)
            assert any(host.is_ready() for _ in range(10))


def _statuses(
    host: limited_host.LimitedHost, content: bytes, count: int
) -> list[object]:
    """Send bytes on one connection; return statuses and request ids."""
    results: list[object] = []
    with socket.create_connection(('127.0.0.1', host.front), 60) as connection:
        connection.sendall(content)
        reader = connection.makefile('rb')
        for _ in range(count):
            status = int(reader.readline().split()[1])
            fields = http.client.parse_headers(reader)
            reader.read(int(fields['content-length']))
            results.append((status, fields['x-request-id']))
    return results


def _calm_head(number: int, *fields: str) -> bytes:
    return crowd_caller.request_head('/calm/x', *fields, number=number)


def test_legal_requests_in_calm(tmp_path: pathlib.Path) -> None:
    """Guards against refusing requests that are within the limits.

    A body that arrives with its head counted as head, and was refused.
    """
    whole = _calm_head(1, _length(len(_BODY))) + _BODY
    chunked = _calm_head(2, _CHUNKED) + _BODY_IN_CHUNKS + b'0\r\n\r\n'
    small_chunks = (
        _calm_head(3, _CHUNKED) + crowd_caller.chunks(_BODY, 64) + b'0\r\n\r\n'
    )
    fields = crowd_caller.short_fields_head('/calm/x', _length(0))
    assert len(fields) == crowd_caller.HEAD_BYTES
    pipelined = [_calm_head(number, _length(0)) for number in range(20)]
    with_bodies = [
        _calm_head(number, _length(10_000)) + bytes(10_000)
        for number in range(20)
    ]
    in_order = [(200, f'q{number}') for number in range(20)]
    with limited_host.started_host(tmp_path) as host:
        assert _statuses(host, whole, 1) == [(200, 'q1')]
        assert _statuses(host, chunked, 1) == [(200, 'q2')]
        assert _statuses(host, small_chunks, 1) == [(200, 'q3')]
        assert _statuses(host, fields, 1) == [(200, 'q0')]
        assert _statuses(host, b''.join(pipelined), 20) == in_order
        assert _statuses(host, b''.join(with_bodies), 20) == in_order
        _check_limits(host)
