"""corianderport_testkit.connection.failing_socket

A listening socket whose next accepts fail.
"""

import socket
import typing

__all__ = ['FailingSocket']


class FailingSocket:
    """Raises each failure once, the last one first, and then accepts."""

    def __init__(
        self, listening: socket.socket, failures: list[OSError]
    ) -> None:
        self._listening = listening
        self.failures = failures

    def accept(self) -> tuple[socket.socket, object]:
        """Accept a connection or fail."""
        if self.failures:
            raise self.failures.pop()
        return self._listening.accept()

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._listening, name)
