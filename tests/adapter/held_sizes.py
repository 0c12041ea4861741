"""Command that measures what a host holds for each caller and searcher.

Processes are measured by their resident memory, objects by ``tracemalloc``,
and socket buffers by what the kernel accounts for a socket. The figures are
those of ``docs/design/memory-held-for-callers.md``.
"""

import collections.abc
import contextlib
import logging
import pathlib
import socket
import struct
import sys
import tempfile
import time
import tracemalloc

import attrs

from corianderport_testkit import tables
from corianderport_tier import clocks
from corianderport_tier.connection import byte_charge
from corianderport_tier.process import byte_budget
from corianderport_tier.process import caller_bounds
from corianderport_tier.process import decision_log
from corianderport_tier.version import routes
from corianderport_wire.connection import acceptor
from corianderport_wire.connection import caller_messages
from corianderport_wire.connection import request_parser
from corianderport_wire.connection import request_reader

from . import crowd_caller
from . import limited_host
from . import raw_searcher

__all__ = ['Size', 'main', 'measure']

# The largest machine, so that no bound takes effect.
_MACHINE = limited_host.Machine(ram_mb=552, max_fds=10_436)
_IDLE_CONNECTIONS = 2_000
_BUSY_CONNECTIONS = 200
# Their charges together have to stay within the budget.
_LARGE_HEADS = 30
# To each of eight searchers, so that 200 requests use 168 connections.
_SEARCHER_CONNECTIONS = 25
_BODY_BYTES = 100_000
_RECORDS = 2_000
_SETTLE_S = 2.0
# A connection of this age has given its task back.
_PARKED_S = 4.0
# SO_MEMINFO returns nine numbers; these are the positions of the memory of
# received bytes and of queued bytes.
_SO_MEMINFO = 55
_RECEIVED, _QUEUED = 0, 5
_RESPONSE_BYTES = 1_000_000

Bytes = collections.abc.Callable[[], bytes]


@attrs.frozen
class Size:
    """Size of one resource in bytes, and how many of it were measured."""

    name: str
    held_bytes: float
    count: int


@contextlib.contextmanager
def _started_host(
    answer: raw_searcher.Answer | None = None,
) -> collections.abc.Iterator[limited_host.LimitedHost]:
    with tempfile.TemporaryDirectory() as directory:
        with limited_host.started_host(
            pathlib.Path(directory),
            answer or raw_searcher.PlainAnswer(b'0123456789abcdef'),
            _MACHINE,
            _SEARCHER_CONNECTIONS,
        ) as host:
            limited_host.answer_to_ordinary_request(host)
            yield host


def _per_connection(
    name: str,
    count: int,
    content: bytes,
    settle_s: float = _SETTLE_S,
    answer: raw_searcher.Answer | None = None,
) -> Size:
    """Measure connections that have sent bytes and read nothing."""
    with _started_host(answer) as host, contextlib.ExitStack() as stack:
        before_mb = host.usage.resident_mb
        for _ in range(count):
            connection = socket.create_connection(('127.0.0.1', host.front))
            stack.enter_context(connection)
            connection.sendall(content)
        time.sleep(settle_s)
        grown_mb = host.usage.resident_mb - before_mb
    return Size(name, grown_mb * 2**20 / count, count)


def _connections() -> collections.abc.Iterator[Size]:
    """Measure connections at the front of a process."""
    start = crowd_caller.request_head('/crowded/x')[:-2]
    with_body = crowd_caller.request_head(
        '/crowded/x', f'Content-Length: {_BODY_BYTES + 1}'
    )
    fields = crowd_caller.short_fields_head('/crowded/x', 'Content-Length: 2')
    served = crowd_caller.request_head('/crowded/x', method='GET')
    large = crowd_caller.request_head('/large/x', method='GET')
    endless = crowd_caller.request_head('/endless/x', method='GET')
    busy = _BUSY_CONNECTIONS
    yield _per_connection('connection, silent', _IDLE_CONNECTIONS, b'')
    yield _per_connection(
        'connection, served once and parked', busy, served, _PARKED_S
    )
    yield _per_connection('connection, incomplete head', busy, start)
    yield _per_connection(
        'connection, largest head of short fields',
        _LARGE_HEADS,
        fields + b'x',
    )
    yield _per_connection(
        f'connection, incomplete body of {_BODY_BYTES} B',
        busy,
        with_body + bytes(_BODY_BYTES),
    )
    yield _per_connection(
        'connection, 300 pipelined requests, responses unread',
        busy,
        300 * served,
    )
    yield _per_connection(
        f'connection, unread response of {_RESPONSE_BYTES} B', 20, large
    )
    yield _per_connection(
        'connection, with a request to a silent searcher',
        busy,
        endless,
        answer=raw_searcher.NoAnswer(),
    )


def _allocated(
    count: int, create: collections.abc.Callable[[], object]
) -> float:
    """Return the bytes of one object, with all that it refers to."""
    create()
    tracemalloc.start()
    try:
        created = [create() for _ in range(count)]
        held_bytes = tracemalloc.get_traced_memory()[0]
        del created
    finally:
        tracemalloc.stop()
    return held_bytes / count


def _reader(content: bytes) -> tuple[object, int]:
    """Return a reader of an incomplete request and the bytes charged."""
    clock = clocks.SystemClock()
    limits = routes.CallerLimits(
        crowd_caller.HEAD_BYTES, crowd_caller.BODY_BYTES, 60.0, 60.0
    )
    budget = byte_budget.ByteBudget(1_000_000_000, clock)
    charge = byte_charge.ByteCharge(budget, lambda: False)
    reader = request_reader.RequestReader(
        request_parser.RequestParser(limits),
        limits,
        charge,
        lambda head: True,
        clock,
        caller_messages.Arrival(0.0),
    )
    pieces = [
        content[start : start + 16_384]
        for start in range(0, len(content), 16_384)
    ]

    def read(*_: object) -> bytes:
        # The end of the connection ends the call; the reader stays.
        return pieces.pop(0) if pieces else b''

    with contextlib.suppress(caller_messages.RequestRejected):
        reader.receive(pieces.pop(0), read)
    return (reader, budget, charge), charge.held


def _requests() -> collections.abc.Iterator[Size]:
    """Measure parsers and buffers of requests beside what is charged."""
    plain = crowd_caller.request_head('/x')[:-2]
    contents = {
        'parser with an incomplete head': plain,
        'largest head of short fields': crowd_caller.short_fields_head(
            '/x', 'Content-Length: 2'
        )
        + b'x',
        f'body of {_BODY_BYTES} B': crowd_caller.request_head(
            '/x', f'Content-Length: {_BODY_BYTES + 1}'
        )
        + bytes(_BODY_BYTES),
    }
    for name, content in contents.items():
        held = _allocated(100, lambda: _reader(content)[0])
        yield Size(f'{name}, objects', held, 100)
        yield Size(f'{name}, charged', float(_reader(content)[1]), 1)


def _log_record() -> object:
    """Return a queued record of the answer to a request."""
    decision = decision_log.Decision(
        'answer',
        f'q{time.monotonic_ns()}',
        'relayed',
        '200',
        inputs={
            'version': 7,
            'elapsed_ms': 12.25,
            'route': 'r1',
            'parts': 1,
            'not_answered': {},
            'sent_ms': [0.5, 0.6, 0.7],
            'arrived_ms': [10.5, 10.6, 10.7],
            'connection_wait_ms': [0.1, 0.2, 6.3],
            'reply_bytes': 84_210,
        },
    )
    logger = logging.getLogger('corianderport.decision')
    return logger.makeRecord(
        logger.name,
        logging.INFO,
        __file__,
        1,
        'decision',
        (),
        None,
        extra={'decision': decision},
    )


def _socket_memory(connection: socket.socket, position: int) -> int:
    numbers = connection.getsockopt(socket.SOL_SOCKET, _SO_MEMINFO, 36)
    return int(struct.unpack('9I', numbers)[position])


def _fill(connection: socket.socket) -> None:
    connection.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            connection.send(bytes(65_536))
            time.sleep(0.001)


def _socket_buffers() -> collections.abc.Iterator[Size]:
    """Measure the full buffers of a connection with the bounds' size."""
    accepted: list[socket.socket] = []
    listener = acceptor.Acceptor(
        '127.0.0.1',
        0,
        8,
        clocks.SystemClock(),
        caller_bounds.CallerBounds().socket_bytes,
    )
    host, _, port = listener.address.rpartition(':')
    with contextlib.closing(socket.socket()) as client:
        client.connect((host, int(port)))

        def accept(connection: socket.socket) -> None:
            accepted.append(connection)
            listener.stop()

        listener.run(accept)
        [served] = accepted
        with served:
            _fill(client)
            _fill(served)
            time.sleep(0.1)
            received = _socket_memory(served, _RECEIVED)
            queued = _socket_memory(served, _QUEUED)
    yield Size('kernel, full receive buffer', float(received), 1)
    yield Size('kernel, full send buffer', float(queued), 1)


def measure() -> list[Size]:
    """Return the sizes of all resources."""
    return [
        *_connections(),
        *_requests(),
        Size('log line, queued', _allocated(_RECORDS, _log_record), _RECORDS),
        *_socket_buffers(),
    ]


def main() -> None:
    """Print the sizes as a table."""
    rows = [
        (size.name, f'{size.held_bytes:,.0f}', str(size.count))
        for size in measure()
    ]
    sys.stdout.write(
        tables.format_markdown(('resource', 'bytes for one', 'measured'), rows)
        + '\n'
    )


if __name__ == '__main__':
    main()
