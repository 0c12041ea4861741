"""Acceptor: failed accepts and stopping."""

import collections.abc
import errno
import socket
import threading
import typing

import pytest

from corianderport_testkit.connection import failing_socket
from corianderport_tier import clocks
from corianderport_wire.connection import acceptor

_CLOCK = clocks.SystemClock()
_LONG_S = 10.0


class _Running:
    """An acceptor on a thread; each connection gets one byte."""

    def __init__(self, *failures: OSError) -> None:
        self.acceptor = acceptor.Acceptor('127.0.0.1', 0, 8, _CLOCK)
        self.failing = failing_socket.FailingSocket(
            self.acceptor._listener, list(failures)
        )
        self.acceptor._listener = typing.cast(socket.socket, self.failing)
        self.handler_errors: list[Exception] = []
        self.thread = threading.Thread(
            target=self.acceptor.run,
            args=(self._handle_connection,),
            daemon=True,
        )
        self.thread.start()

    def _handle_connection(self, connection: socket.socket) -> None:
        if self.handler_errors:
            raise self.handler_errors.pop()
        with connection:
            connection.sendall(b'x')

    def receive_byte(self) -> bytes:
        host, _, port = self.acceptor.address.rpartition(':')
        with socket.create_connection((host, int(port)), _LONG_S) as client:
            return client.recv(1)


@pytest.fixture(name='start')
def _start() -> collections.abc.Iterator[
    collections.abc.Callable[..., _Running]
]:
    started = []

    def start(*failures: OSError) -> _Running:
        started.append(_Running(*failures))
        return started[-1]

    yield start
    for running in started:
        running.acceptor.stop()


def test_connection_without_a_thread_does_not_end_the_listener(
    start: collections.abc.Callable[..., _Running],
) -> None:
    """Guards against a host that serves nobody after a shortage of threads.

    The connection that cannot be served is closed.
    """
    running = start()
    running.handler_errors.append(RuntimeError("can't start new thread"))
    assert running.receive_byte() == b''
    assert running.receive_byte() == b'x'


def test_failed_accept_does_not_end_the_listener(
    start: collections.abc.Callable[..., _Running],
) -> None:
    """Guards against an accept loop that ends after one failed accept.

    Accepting fails while the process has no free file descriptor, and when
    a client closes its connection before it is accepted.
    """
    running = start(
        OSError(errno.EMFILE, 'too many open files'),
        OSError(errno.ECONNABORTED, 'connection aborted'),
    )
    assert running.receive_byte() == b'x'
    assert running.failing.failures == []


def test_stop_ends_the_listener(
    start: collections.abc.Callable[..., _Running],
) -> None:
    """Guards against an accept thread that outlives the shutdown.

    The thread is blocked in an accept call, which closing the socket alone
    does not wake.
    """
    running = start()
    assert running.receive_byte() == b'x'
    running.acceptor.stop()
    running.thread.join(_LONG_S)
    assert not running.thread.is_alive()
