"""corianderport_testkit.connection.failing_socket

A listening socket that fails its next calls of accept.
"""

import socket
import typing

__all__ = ['FailingSocket']


class FailingSocket:
    """Wraps a listening socket; raises ``failures`` before it accepts.

    Each failure is raised by one call, the last of the list first.
    """

    def __init__(
        self, listening: socket.socket, failures: list[OSError]
    ) -> None:
        self._listening = listening
        self.failures = failures

    def accept(self) -> tuple[socket.socket, object]:
        """Raise the next failure, or accept a connection if none is left."""
        if self.failures:
            raise self.failures.pop()
        return self._listening.accept()

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._listening, name)
