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

import attrs
import pytest

from . import crowds

# Crowds that hold memory are smaller than the number of descriptors, so that
# a test that fails shows which of the two was exceeded.
_MANY = 200
# More connections than the process has descriptors.
_MORE_THAN_DESCRIPTORS = 300
_FEW = 100
_PIECE_BYTES = 2_048
_CHUNK_BYTES = 8_192
_OVERSIZED_BYTES = 8 * crowds.BODY_BYTES
_PIPELINED = 300
# Smallest buffer that the kernel grants, so that answers stay with the host.
_RECEIVE_BYTES = 2_048

_BODY = bytes(crowds.BODY_BYTES)
_CHUNKED = 'Transfer-Encoding: chunked'
_EXPECT = 'Expect: 100-continue'


def _length(count: int) -> str:
    return f'Content-Length: {count}'


def _chunks(body: bytes, size: int) -> bytes:
    """Encode a body in chunks, without the last (empty) one."""
    pieces = [body[i : i + size] for i in range(0, len(body), size)]
    return b''.join(b'%x\r\n%b\r\n' % (len(p), p) for p in pieces)


_BODY_IN_CHUNKS = _chunks(_BODY, _CHUNK_BYTES)


def _whole_body(caller: crowds.Caller) -> None:
    head = crowds.request_head(caller.path, _length(len(_BODY)))
    caller.send(head + _BODY)
    caller.hold()


def _whole_body_short_of_its_end(caller: crowds.Caller) -> None:
    head = crowds.request_head(caller.path, _length(len(_BODY)))
    caller.send(head + _BODY[:-1])
    caller.hold()


def _body_in_pieces(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path, _length(len(_BODY))))
    caller.send_pieces(_BODY, _PIECE_BYTES)
    caller.hold()


def _body_in_pieces_short_of_its_end(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path, _length(len(_BODY))))
    caller.send_pieces(_BODY[:-1], _PIECE_BYTES)
    caller.hold()


def _body_in_chunks(caller: crowds.Caller) -> None:
    head = crowds.request_head(caller.path, _CHUNKED)
    caller.send(head + _BODY_IN_CHUNKS + b'0\r\n\r\n')
    caller.hold()


def _body_in_chunks_short_of_its_end(caller: crowds.Caller) -> None:
    head = crowds.request_head(caller.path, _CHUNKED)
    caller.send(head + _BODY_IN_CHUNKS + b'0\r\n')
    caller.hold()


def _oversized_body(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path, _length(_OVERSIZED_BYTES)))
    for _ in range(_OVERSIZED_BYTES // len(_BODY)):
        caller.send(_BODY)
    caller.hold()


def _oversized_body_expecting(caller: crowds.Caller) -> None:
    """Send the body without waiting for the answer to the expectation."""
    caller.send(
        crowds.request_head(caller.path, _length(_OVERSIZED_BYTES), _EXPECT)
    )
    for _ in range(_OVERSIZED_BYTES // len(_BODY)):
        caller.send(_BODY)
    caller.hold()


def _oversized_chunks(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path, _CHUNKED))
    for _ in range(_OVERSIZED_BYTES // len(_BODY)):
        caller.send(_BODY_IN_CHUNKS)
    caller.hold()


def _oversized_chunks_expecting(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path, _CHUNKED, _EXPECT))
    for _ in range(_OVERSIZED_BYTES // len(_BODY)):
        caller.send(_BODY_IN_CHUNKS)
    caller.hold()


def _short_fields(caller: crowds.Caller) -> None:
    caller.send(crowds.short_fields_head(caller.path, method='GET'))
    caller.hold()


def _short_fields_short_of_their_end(caller: crowds.Caller) -> None:
    caller.send(crowds.short_fields_head(caller.path, method='GET')[:-1])
    caller.hold()


def _short_fields_and_unfinished_body(caller: crowds.Caller) -> None:
    """Make the host hold the parsed fields until the body ends."""
    caller.send(crowds.short_fields_head(caller.path, _length(2)) + b'x')
    caller.hold()


def _one_byte_chunks(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path, _CHUNKED))
    caller.send(5_000 * b'1\r\nx\r\n')
    caller.hold()


def _long_chunk_extension(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path, _CHUNKED))
    caller.send(b'1;' + (crowds.BODY_BYTES - 4_096) * b'e')
    caller.hold()


def _chunks_with_long_extensions(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path, _CHUNKED))
    caller.send(200 * (b'1;' + 4_096 * b'e' + b'\r\nx\r\n'))
    caller.hold()


def _trailers(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path, _CHUNKED))
    caller.send(b'1\r\nx\r\n0\r\n' + 32_768 * b'a:\r\n' + b'\r\n')
    caller.hold()


def _trailers_short_of_their_end(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path, _CHUNKED))
    caller.send(b'1\r\nx\r\n0\r\n' + 62_500 * b'a:\r\n')
    caller.hold()


def _pipelined(caller: crowds.Caller) -> None:
    caller.send(
        b''.join(
            crowds.request_head(caller.path, method='GET', number=number)
            for number in range(_PIPELINED)
        )
    )
    caller.hold()


def _pipelined_with_bodies(caller: crowds.Caller) -> None:
    head = crowds.request_head(caller.path, _length(len(_BODY)))
    for _ in range(_PIPELINED):
        caller.send(head + _BODY)
    caller.hold()


def _slow_head(caller: crowds.Caller) -> None:
    caller.send_slowly(crowds.short_fields_head(caller.path))


def _slow_body(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path, _length(len(_BODY))))
    caller.send_slowly(_BODY)


def _slow_reader(caller: crowds.Caller) -> None:
    caller.send(20 * crowds.request_head(caller.path, method='GET'))
    caller.read_slowly()


def _half_closed(caller: crowds.Caller) -> None:
    head = crowds.request_head(caller.path, _length(len(_BODY)))
    caller.send(head + _BODY[: len(_BODY) // 2])
    caller.end_sending()
    caller.hold()


def _half_closed_after_request(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path, method='GET'))
    caller.end_sending()
    caller.hold()


def _silent(caller: crowds.Caller) -> None:
    caller.hold()


def _reset(caller: crowds.Caller) -> None:
    head = crowds.request_head(caller.path, _length(len(_BODY)))
    caller.send(head + _BODY[: len(_BODY) // 2])
    caller.reset()


def _endless_head(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path)[:-2])
    for _ in range(1_000):
        caller.send(250 * b'a:b\r\n')
    caller.hold()


def _endless_line(caller: crowds.Caller) -> None:
    caller.send(b'GET /')
    for _ in range(1_000):
        caller.send(1_000 * b'x')
    caller.hold()


_SERVED = crowds.Target('served', 'front', '/crowded/x')
_LARGE = crowds.Target('served-large', 'front', '/large/x')
_UNROUTED = crowds.Target('unrouted', 'front', '/none/x')
_READY = crowds.Target('ready', 'ready', '/corianderport/readyz')
_READY_OTHER = crowds.Target('ready-other-path', 'ready', '/other')
_METRICS = crowds.Target('metrics', 'metrics', '/metrics')
# The bytes of the requests arrive there as they are.
_PEERS = crowds.Target('peers', 'control', '/')

_SERVED_ONLY = (_SERVED,)
_HTTP = (_SERVED, _UNROUTED, _READY, _METRICS)
_ALL = (_SERVED, _UNROUTED, _READY, _READY_OTHER, _METRICS, _PEERS)


@attrs.frozen
class _Row:
    """A crowd and the targets that it is sent to."""

    name: str
    behaviours: tuple[crowds.Behaviour, ...]
    connections: int
    targets: tuple[crowds.Target, ...]
    receive_bytes: int | None = None


# The readiness and metrics addresses and paths without a route share the code
# that receives requests with the served paths. Their rows are those whose
# bytes must not be stored there, and those that take connections. The peers'
# address reads 36 bytes of an unauthenticated client, whatever they are, so
# that only rows that differ in these and in the use of connections are sent
# to it.
_ROWS = (
    _Row('body-whole', (_whole_body,), _MANY, _HTTP),
    _Row(
        'body-whole-short-of-end',
        (_whole_body_short_of_its_end,),
        _MANY,
        _ALL,
    ),
    _Row('body-pieces', (_body_in_pieces,), _MANY, _SERVED_ONLY),
    _Row(
        'body-pieces-short-of-end',
        (_body_in_pieces_short_of_its_end,),
        _MANY,
        _SERVED_ONLY,
    ),
    _Row('body-chunked', (_body_in_chunks,), _MANY, _SERVED_ONLY),
    _Row(
        'body-chunked-short-of-end',
        (_body_in_chunks_short_of_its_end,),
        _MANY,
        _HTTP,
    ),
    _Row('oversized-length', (_oversized_body,), _MANY, _HTTP),
    _Row(
        'oversized-length-expect',
        (_oversized_body_expecting,),
        _MANY,
        _SERVED_ONLY,
    ),
    _Row('oversized-chunked', (_oversized_chunks,), _MANY, _HTTP),
    _Row(
        'oversized-chunked-expect',
        (_oversized_chunks_expecting,),
        _MANY,
        _SERVED_ONLY,
    ),
    _Row('short-fields', (_short_fields,), _MANY, _HTTP),
    _Row(
        'short-fields-short-of-end',
        (_short_fields_short_of_their_end,),
        _MANY,
        _SERVED_ONLY,
    ),
    _Row(
        'short-fields-unfinished-body',
        (_short_fields_and_unfinished_body,),
        _MANY,
        _HTTP,
    ),
    _Row('one-byte-chunks', (_one_byte_chunks,), _FEW, (_SERVED, _UNROUTED)),
    _Row(
        'chunk-extension',
        (_long_chunk_extension,),
        _MANY,
        (_SERVED, _UNROUTED),
    ),
    _Row(
        'chunks-with-extensions',
        (_chunks_with_long_extensions,),
        _MANY,
        (_SERVED, _UNROUTED),
    ),
    _Row('trailers', (_trailers,), _FEW, _SERVED_ONLY),
    _Row(
        'trailers-short-of-end',
        (_trailers_short_of_their_end,),
        _MANY,
        (_SERVED, _UNROUTED),
    ),
    _Row(
        'pipelined',
        (_pipelined,),
        _FEW,
        (_SERVED, _LARGE, _UNROUTED, _READY, _METRICS),
        _RECEIVE_BYTES,
    ),
    _Row(
        'pipelined-bodies',
        (_pipelined_with_bodies,),
        _FEW,
        (_SERVED, _UNROUTED),
        _RECEIVE_BYTES,
    ),
    _Row('slow-head', (_slow_head,), _MORE_THAN_DESCRIPTORS, _ALL),
    _Row('slow-body', (_slow_body,), _MORE_THAN_DESCRIPTORS, _SERVED_ONLY),
    _Row(
        'slow-reader',
        (_slow_reader,),
        _MORE_THAN_DESCRIPTORS,
        (_LARGE, _METRICS),
        _RECEIVE_BYTES,
    ),
    _Row(
        'half-closed',
        (_half_closed, _half_closed_after_request),
        _MORE_THAN_DESCRIPTORS,
        (_SERVED, _PEERS),
    ),
    _Row('silent', (_silent,), _MORE_THAN_DESCRIPTORS, _ALL),
    _Row(
        'reset', (_reset,), _MORE_THAN_DESCRIPTORS, (_SERVED, _READY, _PEERS)
    ),
    _Row(
        'endless-head',
        (_endless_head, _endless_line),
        _MORE_THAN_DESCRIPTORS,
        (_SERVED, _READY),
    ),
    _Row(
        'mix',
        (
            _whole_body,
            _whole_body_short_of_its_end,
            _body_in_chunks_short_of_its_end,
            _short_fields_and_unfinished_body,
            _trailers_short_of_their_end,
            _long_chunk_extension,
            _pipelined,
            _slow_head,
            _slow_reader,
            _silent,
            _reset,
            _endless_head,
        ),
        _MORE_THAN_DESCRIPTORS,
        _ALL,
    ),
)


def _check_limits(host: crowds.Host) -> None:
    """Check the process and its memory and descriptors, highest so far."""
    assert host.alive, ''.join(host.lines)
    assert host.usage.peak_mb < crowds.RAM_MB
    assert host.max_descriptors < crowds.MAX_FDS


@contextlib.contextmanager
def _figures(
    host: crowds.Host, name: str, connections: int
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
        for row in _ROWS
        for target in row.targets
    ],
)
def test_crowd_of_callers(
    tmp_path: pathlib.Path, row: _Row, target: crowds.Target
) -> None:
    """Guards against clients that exhaust a host.

    The process ends, exceeds its memory or descriptors, or no longer serves
    an ordinary caller while the crowd is connected.
    """
    with crowds.started_host(tmp_path) as host:
        assert crowds.answer_to_ordinary_request(host)[-1] == 200
        with (
            _figures(host, f'{row.name}-{target.name}', row.connections),
            crowds.Crowd(
                host,
                target,
                row.behaviours,
                row.connections,
                row.receive_bytes,
            ) as crowd,
        ):
            crowd.await_effect()
            # Without a crowd, the other checks would prove nothing.
            assert crowd.connected > row.connections / 2
            _check_limits(host)
            assert crowds.answer_to_ordinary_request(host)[-1] == 200
            _check_limits(host)


def _ordinary(caller: crowds.Caller) -> None:
    caller.send(crowds.request_head(caller.path, method='GET'))
    caller.hold()


@pytest.mark.parametrize(
    'answer',
    [
        pytest.param(crowds.EndlessBody(), id='body'),
        pytest.param(crowds.EndlessChunks(), id='chunks'),
        pytest.param(crowds.EndlessHead(), id='head'),
    ],
)
def test_crowd_of_searchers(
    tmp_path: pathlib.Path, answer: crowds.Answer
) -> None:
    """Guards against searchers' answers without an end that exhaust a host.

    Many requests wait for such answers at the same time.
    """
    target = crowds.Target('endless', 'front', '/endless/x')
    with crowds.started_host(tmp_path, answer) as host:
        assert crowds.answer_to_ordinary_request(host)[-1] == 200
        with (
            _figures(host, 'searchers', _FEW),
            crowds.Crowd(host, target, (_ordinary,), _FEW) as crowd,
        ):
            crowd.await_effect()
            _check_limits(host)
            assert crowds.answer_to_ordinary_request(host)[-1] == 200
            _check_limits(host)


def test_readiness_is_answered_beside_a_crowd_at_the_front(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against probes that wait behind the connections of callers.

    The load balancer would take such a host out of service.
    """
    with crowds.started_host(tmp_path) as host:
        with crowds.Crowd(
            host, _SERVED, (_silent,), _MORE_THAN_DESCRIPTORS
        ) as crowd:
            crowd.await_effect()
            assert any(host.is_ready() for _ in range(10))


def _statuses(host: crowds.Host, content: bytes, count: int) -> list[object]:
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
    return crowds.request_head('/calm/x', *fields, number=number)


def test_legal_requests_in_calm(tmp_path: pathlib.Path) -> None:
    """Guards against refusing requests that are within the limits.

    A body that arrives with its head counted as head, and was refused.
    """
    whole = _calm_head(1, _length(len(_BODY))) + _BODY
    chunked = _calm_head(2, _CHUNKED) + _BODY_IN_CHUNKS + b'0\r\n\r\n'
    small_chunks = _calm_head(3, _CHUNKED) + _chunks(_BODY, 64) + b'0\r\n\r\n'
    fields = crowds.short_fields_head('/calm/x', _length(0))
    assert len(fields) == crowds.HEAD_BYTES
    pipelined = [_calm_head(number, _length(0)) for number in range(20)]
    with_bodies = [
        _calm_head(number, _length(10_000)) + bytes(10_000)
        for number in range(20)
    ]
    in_order = [(200, f'q{number}') for number in range(20)]
    with crowds.started_host(tmp_path) as host:
        assert _statuses(host, whole, 1) == [(200, 'q1')]
        assert _statuses(host, chunked, 1) == [(200, 'q2')]
        assert _statuses(host, small_chunks, 1) == [(200, 'q3')]
        assert _statuses(host, fields, 1) == [(200, 'q0')]
        assert _statuses(host, b''.join(pipelined), 20) == in_order
        assert _statuses(host, b''.join(with_bodies), 20) == in_order
        _check_limits(host)
