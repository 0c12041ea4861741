"""corianderport_tier.process.unanswered_sends

Sends whose requests have been answered without their replies.
"""

import threading
import typing

__all__ = ['UnansweredSend', 'UnansweredSends']


class UnansweredSend(typing.Protocol):
    """A send that keeps its connection until its reply or its deadline."""

    @property
    def ended(self) -> bool:
        """Whether the reply has arrived or the connection is closed."""

    def abort_if_overdue(self) -> bool:
        """Close the connection if the deadline has passed.

        :return: whether the deadline has passed.
        """


class UnansweredSends:
    """Ends sends at their deadline once no request waits for them.

    The task of a connection waits on its socket for as long as the connection
    may stay idle, which is longer than the deadline of a send.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sends: list[UnansweredSend] = []

    def __len__(self) -> int:
        return len(self._sends)

    def add(self, send: UnansweredSend) -> None:
        """Watch a send until it has ended or is overdue."""
        with self._lock:
            self._sends.append(send)

    def abort_overdue(self) -> None:
        """Abort the overdue sends; called at regular intervals."""
        with self._lock:
            sends, self._sends = self._sends, []
        remaining = [
            s for s in sends if not s.ended and not s.abort_if_overdue()
        ]
        with self._lock:
            self._sends += remaining
