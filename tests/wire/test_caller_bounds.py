"""CallerListener: bounds on connections, tasks and bytes."""

import collections.abc
import concurrent.futures
import contextlib
import http.client
import socket
import threading
import time

import attrs
import pytest

from corianderport_tier import clocks
from corianderport_tier.process import caller_bounds
from corianderport_tier.request import deadlines
from corianderport_tier.version import routes
from corianderport_wire.connection import caller_listener
from corianderport_wire.connection import disconnect_watcher

_CLOCK = clocks.SystemClock()
_LONG_S = 10.0
_LIMITS = routes.CallerLimits(16_384, 262_144, 3.0, 6.0)
_BOUNDS = caller_bounds.CallerBounds(
    connections=8, tasks=6, budget_bytes=4_000_000, hold_s=0.05
)
_GET = b'GET /%s HTTP/1.1\r\nhost: a\r\n\r\n'


@attrs.define
class _Service:
    """Answers with the size of the body; ``/run`` waits for ``release``.

    The response to ``/large`` has a body.
    """

    body: bytes = bytes(16_000_000)
    running: threading.Semaphore = attrs.Factory(
        lambda: threading.Semaphore(0)
    )
    release: threading.Event = attrs.Factory(threading.Event)
    dropped: list[bool] = attrs.Factory(list)

    def serve(
        self,
        request: caller_listener.ReceivedRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse:
        self.dropped.append(request.body_dropped)
        if request.target == b'/run':
            self.running.release()
            self.release.wait(_LONG_S)
        body = self.body if request.target == b'/large' else b''
        headers = ((b'x-size', str(len(request.body)).encode()),)
        return caller_listener.HttpResponse(200, headers, body)


@contextlib.contextmanager
def _listening(
    service: _Service,
    bounds: caller_bounds.CallerBounds = _BOUNDS,
    limits: routes.CallerLimits = _LIMITS,
) -> collections.abc.Iterator[caller_listener.CallerListener]:
    executor = concurrent.futures.ThreadPoolExecutor(bounds.tasks + 3)
    watcher = disconnect_watcher.DisconnectWatcher()
    listener = caller_listener.CallerListener(
        '127.0.0.1:0',
        service.serve,
        lambda: limits,
        watcher,
        executor,
        _CLOCK,
        bounds,
        lambda request: request.target != b'/unwanted',
    )
    executor.submit(watcher.run)
    executor.submit(listener.run)
    try:
        yield listener
    finally:
        service.release.set()
        listener.stop_accepting()
        listener.close_idle()
        watcher.close()
        executor.shutdown()


def _connect(listener: caller_listener.CallerListener) -> socket.socket:
    host, _, port = listener.address.rpartition(':')
    return socket.create_connection((host, int(port)), _LONG_S)


def _response(connection: socket.socket) -> http.client.HTTPResponse:
    response = http.client.HTTPResponse(connection)
    response.begin()
    response.read()
    return response


def _response_body(connection: socket.socket) -> bytes:
    response = http.client.HTTPResponse(connection)
    response.begin()
    return response.read()


def _post(target: bytes, size: int) -> bytes:
    return b'POST %s HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n' % (
        target,
        size,
    )


def _wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + _LONG_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


def test_idle_connection_has_no_task_and_is_served_again() -> None:
    """Guards against idle callers that hold tasks, and against losing them.

    A connection that never sent anything has no task either.
    """
    with (
        _listening(_Service()) as listener,
        _connect(listener) as silent,
        _connect(listener) as caller,
    ):
        for _ in range(3):
            caller.sendall(_GET % b'x')
            assert _response(caller).status == 200
            _wait_until(lambda: listener._table.tasks == 0)
        assert len(listener._table) == 2
        silent.sendall(_GET % b'x')
        assert _response(silent).status == 200


def test_idle_connection_without_a_task_expires() -> None:
    """Guards against idle connections that stay open for ever."""
    limits = attrs.evolve(_LIMITS, idle_timeout_s=0.2)
    with (
        _listening(_Service(), limits=limits) as listener,
        _connect(listener) as silent,
        _connect(listener) as caller,
    ):
        caller.sendall(_GET % b'x')
        assert _response(caller).status == 200
        assert caller.recv(1) == b''
        assert silent.recv(1) == b''


def test_stop_serves_what_has_arrived_on_an_idle_connection() -> None:
    """Guards against a stop that resets a request it has received.

    Neither connection has a task; the bytes of one arrive with the stop.
    """
    with (
        _listening(_Service()) as listener,
        _connect(listener) as idle,
        _connect(listener) as caller,
    ):
        for connection in (idle, caller):
            connection.sendall(_GET % b'x')
            assert _response(connection).status == 200
        _wait_until(lambda: listener._table.tasks == 0)
        listener.closing = True
        listener.stop_accepting()
        caller.sendall(_GET % b'x')
        listener.close_idle()
        assert idle.recv(1) == b''
        response = _response(caller)
        assert response.status == 200
        assert response.getheader('connection') == 'close'
        deadline = deadlines.Deadline.after(_CLOCK, _LONG_S)
        assert listener.await_closed(deadline)


def _idle_count(listener: caller_listener.CallerListener) -> int:
    table = listener._table
    return len(table._held) + len(table._parked)


def test_longest_idle_connection_is_closed_at_the_bound() -> None:
    """Guards against connections that are accepted and never served."""
    bounds = attrs.evolve(_BOUNDS, connections=2)
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(_listening(_Service(), bounds))
        callers = []
        for number in range(3):
            callers.append(stack.enter_context(_connect(listener)))
            callers[-1].sendall(_GET % b'x')
            assert _response(callers[-1]).status == 200
            # The response may arrive before its task has recorded the end. A
            # connection that does not seem idle yet is not closed.
            idle = min(number + 1, bounds.connections)
            _wait_until(lambda idle=idle: _idle_count(listener) == idle)
        assert callers[0].recv(1) == b''
        callers[1].sendall(_GET % b'x')
        assert _response(callers[1]).status == 200


def test_connection_is_refused_when_all_others_are_busy() -> None:
    """Guards against closing a request's connection for a new caller."""
    service = _Service()
    bounds = attrs.evolve(_BOUNDS, connections=2)
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(_listening(service, bounds))
        callers = [stack.enter_context(_connect(listener)) for _ in range(2)]
        for caller in callers:
            caller.sendall(_GET % b'run')
            assert service.running.acquire(timeout=_LONG_S)
        refused = stack.enter_context(_connect(listener))
        response = _response(refused)
        assert response.status == 503
        assert float(response.getheader('retry-after') or 0) > 0
        service.release.set()
        for caller in callers:
            assert _response(caller).status == 200


def test_slow_callers_give_up_their_tasks() -> None:
    """Guards against ordinary callers that wait for slow ones.

    Slow callers hold all tasks; some stop within a request, some do not
    read their response.
    """
    bounds = attrs.evolve(_BOUNDS, tasks=4)
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(_listening(_Service(), bounds))
        for sent in (b'GET /', _post(b'/x', 10), _GET % b'large') * 2:
            slow = stack.enter_context(_connect(listener))
            slow.sendall(sent)
        started_s = time.monotonic()
        caller = stack.enter_context(_connect(listener))
        caller.sendall(_GET % b'x')
        assert _response(caller).status == 200
        assert time.monotonic() - started_s < _LIMITS.header_timeout_s


def test_slow_senders_do_not_keep_others_out() -> None:
    """Guards against senders of single bytes that hold all connections.

    They make progress all the time, but too little of it.
    """
    bounds = attrs.evolve(_BOUNDS, connections=2)
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(_listening(_Service(), bounds))
        slow = [stack.enter_context(_connect(listener)) for _ in range(2)]
        for caller in slow:
            caller.sendall(_post(b'/x', 1_000))
        for _ in range(6):
            for caller in slow:
                caller.sendall(b'x')
            time.sleep(0.25)
        caller = stack.enter_context(_connect(listener))
        caller.sendall(_GET % b'x')
        assert _response(caller).status == 200


def test_request_that_waits_too_long_for_a_task_is_refused() -> None:
    """Guards against requests that get no answer at all.

    The requests that hold the tasks are not closed.
    """
    service = _Service()
    bounds = attrs.evolve(_BOUNDS, tasks=1)
    with (
        _listening(service, bounds) as listener,
        _connect(listener) as running,
        _connect(listener) as waiting,
    ):
        running.sendall(_GET % b'run')
        assert service.running.acquire(timeout=_LONG_S)
        waiting.sendall(_GET % b'x')
        assert _response(waiting).status == 503
        service.release.set()
        assert _response(running).status == 200


def test_stalled_bodies_make_room_for_other_requests() -> None:
    """Guards against memory that grows with bodies that never end.

    The budget holds one body and a half. A small request is served at once;
    a large one is refused until the other has been stalled for a second.
    """
    size = 200_000
    bounds = attrs.evolve(_BOUNDS, budget_bytes=400_000)
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(_listening(_Service(), bounds))
        stalled = stack.enter_context(_connect(listener))
        stalled.sendall(_post(b'/x', size) + bytes(size - 1))
        _wait_until(
            lambda: listener._serving.budgets.requests.used_bytes > size
        )
        small, early, late = (
            stack.enter_context(_connect(listener)) for _ in range(3)
        )
        early.sendall(_post(b'/x', size) + bytes(size))
        response = _response(early)
        assert response.status == 503
        assert float(response.getheader('retry-after') or 0) > 0
        small.sendall(_post(b'/x', 1_000) + bytes(1_000))
        assert _response(small).getheader('x-size') == '1000'
        time.sleep(1.1)
        late.sendall(_post(b'/x', size) + bytes(size))
        assert _response(late).getheader('x-size') == str(size)
        assert stalled.recv(1) == b''
        _wait_until(lambda: listener._serving.budgets.requests.used_bytes == 0)


def test_unread_responses_make_room_for_others() -> None:
    """Guards against memory that grows with responses that are not read.

    Other requests are served all the while, and the connection that has been
    stalled longest is closed for a further response.
    """
    bounds = attrs.evolve(_BOUNDS, budget_bytes=400_000)
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(_listening(_Service(), bounds))
        unread, ordinary, late = (
            stack.enter_context(_connect(listener)) for _ in range(3)
        )
        unread.sendall(_GET % b'large')
        _wait_until(lambda: listener._serving.budgets.responses.exceeded)
        ordinary.sendall(_GET % b'x')
        assert _response(ordinary).status == 200
        time.sleep(0.2)
        assert len(listener._table) == 3
        late.sendall(_GET % b'large')
        _wait_until(lambda: len(listener._table) == 2)
        assert len(_response_body(late)) == 16_000_000
        _wait_until(
            lambda: listener._serving.budgets.responses.used_bytes == 0
        )


@pytest.mark.parametrize('chunked', [False, True])
def test_unwanted_body_is_counted_and_dropped(chunked: bool) -> None:
    """Guards against storing a body that no handler reads.

    The request after it on the same connection is served; a body over the
    limit is rejected all the same.
    """
    service = _Service()
    bounds = attrs.evolve(_BOUNDS, budget_bytes=1_000)
    with _listening(service, bounds) as listener:
        host, _, port = listener.address.rpartition(':')
        client = http.client.HTTPConnection(host, int(port), timeout=_LONG_S)
        for size, status in ((200_000, 200), (0, 200), (300_000, 413)):
            body = iter([bytes(size)]) if chunked else bytes(size)
            headers = {'transfer-encoding': 'chunked'} if chunked else {}
            client.request(
                'POST', '/unwanted', body, headers, encode_chunked=chunked
            )
            response = client.getresponse()
            assert response.status == status
            assert response.getheader('x-size') in ('0', None)
            response.read()
        client.close()
    assert service.dropped == [True, False]


@pytest.mark.parametrize('chunked', [False, True])
def test_largest_legal_requests_are_served(chunked: bool) -> None:
    """Guards against bounds that refuse a legal request without other load.

    The budget is the least one; the largest body, the largest head of short
    fields and twenty pipelined requests follow each other.
    """
    bounds = attrs.evolve(_BOUNDS, budget_bytes=65_536)
    body = bytes(_LIMITS.body_bytes)
    head = _post(b'/x', len(body))
    if chunked:
        head = (
            b'POST /x HTTP/1.1\r\nhost: a\r\n'
            b'transfer-encoding: chunked\r\n\r\n'
        )
        body = b''.join(b'400\r\n%s\r\n' % bytes(1_024) for _ in range(256))
        body += b'0\r\n\r\n'
    start = b'GET /x HTTP/1.1\r\nhost: a\r\n'
    fields = b'a:\r\n' * ((_LIMITS.header_bytes - len(start) - 2) // 4)
    with _listening(_Service(), bounds) as listener:
        with _connect(listener) as caller:
            caller.sendall(head + body)
            size = _response(caller).getheader('x-size')
            assert size == str(_LIMITS.body_bytes)
            caller.sendall(start + fields + b'\r\n')
            assert _response(caller).status == 200
            caller.sendall(20 * (_GET % b'x'))
            received = b''
            while received.count(b'HTTP/1.1 200') < 20:
                received += caller.recv(65_536)


def test_large_response_is_written_in_parts() -> None:
    """Guards against a response with lost or repeated bytes.

    The caller reads late, so that the host writes what fits in the buffers
    and the rest later.
    """
    body = b''.join(b'%08d' % number for number in range(500_000))

    with (
        _listening(_Service(body=body)) as listener,
        _connect(listener) as caller,
    ):
        caller.sendall(2 * (_GET % b'large'))
        time.sleep(0.1)
        reader = caller.makefile('rb')
        for _ in range(2):
            assert b' 200 ' in reader.readline()
            while reader.readline() != b'\r\n':
                continue
            assert reader.read(len(body)) == body


def test_unread_response_ends_the_connection() -> None:
    """Guards against callers that never read and keep memory for ever."""
    bounds = attrs.evolve(_BOUNDS, write_timeout_s=0.3)
    with (
        _listening(_Service(), bounds) as listener,
        _connect(listener) as caller,
    ):
        caller.sendall(_GET % b'large')
        _wait_until(lambda: len(listener._table) == 1)
        _wait_until(lambda: len(listener._table) == 0)
