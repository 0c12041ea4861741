"""Crowds of clients that misbehave."""

import collections.abc
import socket
import threading
import time
import typing

import attrs

from . import crowd_caller
from . import limited_host

__all__ = ['Behaviour', 'Crowd', 'Target']

# Guards against hanging; no verdict depends on a shorter time.
_LONG_S = 20.0
_POLL_INTERVAL_S = 0.02
# The crowd has this long to send what it wants to send.
_SENDING_S = 5.0
# A host that grows less than ``limited_host.GROWTH_MB`` in this time has taken
# what it takes.
_STEADY_S = 0.4
# Connections that a client of a crowd opens one after the other when the
# host closes them.
_ATTEMPTS = 3
_RECONNECT_PAUSE_S = 0.1


@attrs.frozen
class Target:
    """Address of a host and path that a crowd sends to.

    ``port`` names the attribute of the host that holds the port.
    """

    name: str
    port: str
    path: str

    def port_of(self, host: limited_host.LimitedHost) -> int:
        """Return the port of a host."""
        return int(getattr(host, self.port))


Behaviour = collections.abc.Callable[[crowd_caller.Caller], None]


class Crowd:
    """Clients that run a behaviour each, one task for each client.

    :param port: port of the host, on the loopback address.
    :param behaviours: the clients use them in turn.
    :param receive_bytes: size of the receive buffers, if it is fixed.
    """

    def __init__(
        self,
        port: int,
        path: str,
        behaviours: collections.abc.Sequence[Behaviour],
        connections: int,
        receive_bytes: int | None = None,
    ) -> None:
        self._port = port
        self._path = path
        self._receive_bytes = receive_bytes
        self._ended = threading.Event()
        self._condition = threading.Condition()
        self._sent: set[int] = set()
        self._connected: set[int] = set()
        self._sending_until_s = time.monotonic() + _SENDING_S
        self._tasks = [
            threading.Thread(
                target=self._run,
                args=(number, behaviours[number % len(behaviours)]),
                daemon=True,
            )
            for number in range(connections)
        ]

    def __enter__(self) -> typing.Self:
        for task in self._tasks:
            task.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        for task in self._tasks:
            task.join(_LONG_S)

    @property
    def connected(self) -> int:
        """Number of clients that have connected at least once."""
        with self._condition:
            return len(self._connected)

    @property
    def sending_left_s(self) -> float:
        """Time left for sending; at least a moment."""
        return max(_POLL_INTERVAL_S, self._sending_until_s - time.monotonic())

    def await_effect(self, host: limited_host.LimitedHost) -> None:
        """Wait until the crowd has sent and the host has taken what it takes.

        That is the case when no connection waits to be accepted and the host
        doesn't grow any more. A time bounds each of the two waits.
        """
        with self._condition:
            self._condition.wait_for(
                lambda: len(self._sent) == len(self._tasks),
                self.sending_left_s,
            )
        deadline_s = time.monotonic() + _SENDING_S
        growing = True
        while growing and host.alive and time.monotonic() < deadline_s:
            before = host.usage
            time.sleep(_STEADY_S)
            growing = (
                host.grown_since(before)
                or limited_host.waiting_connections(self._port) > 0
            )

    def done_sending(self, client: int) -> None:
        """Note that a client has sent what it wants to send."""
        with self._condition:
            self._sent.add(client)
            self._condition.notify_all()

    def await_end(self) -> None:
        """Wait until the crowd ends."""
        self._ended.wait()

    def pause(self, seconds: float) -> bool:
        """Pause a client; return True when the crowd has ended."""
        return self._ended.wait(seconds)

    def _run(self, client: int, behaviour: Behaviour) -> None:
        for _ in range(_ATTEMPTS):
            try:
                with self._connect() as connection:
                    with self._condition:
                        self._connected.add(client)
                    behaviour(
                        crowd_caller.Caller(
                            connection, self._path, self, client
                        )
                    )
            except OSError:
                # The host refused or closed the connection, which it may.
                pass
            if self.pause(_RECONNECT_PAUSE_S):
                return
        self.done_sending(client)

    def _connect(self) -> socket.socket:
        connection = socket.socket()
        try:
            if self._receive_bytes is not None:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
                )
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.settimeout(self.sending_left_s)
            connection.connect(('127.0.0.1', self._port))
        except OSError:
            connection.close()
            raise
        return connection
