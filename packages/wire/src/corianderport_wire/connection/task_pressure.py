"""corianderport_wire.connection.task_pressure

Tells tasks that wait for idle callers that other callers need them.
"""

import os
import threading

__all__ = ['TaskPressure']


class TaskPressure:
    """A descriptor that is readable while tasks are needed."""

    def __init__(self) -> None:
        self._descriptor = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._lock = threading.Lock()
        self._needed = False

    def fileno(self) -> int:
        """Return the descriptor."""
        return self._descriptor

    def set(self, needed: bool) -> None:
        """State whether tasks are needed."""
        with self._lock:
            if needed == self._needed:
                return
            self._needed = needed
            if needed:
                os.eventfd_write(self._descriptor, 1)
            else:
                os.eventfd_read(self._descriptor)
