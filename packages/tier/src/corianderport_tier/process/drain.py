"""corianderport_tier.process.drain

End of the requests of a host that shuts down gracefully.
"""

import collections.abc
import contextlib
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier.request import deadlines

__all__ = ['Drain', 'DrainBegun']

# A request is accepted if this multiple of its usual latency remains.
_MIN_LATENCIES = 4.0


@attrs.frozen
class DrainBegun:
    """Event: the host is stopping; the request must end by a deadline."""

    deadline: deadlines.Deadline


Callback = collections.abc.Callable[[DrainBegun], None]


class Drain:
    """Deadline by which a stopping host has to answer all requests."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._deadline: deadlines.Deadline | None = None
        self._callbacks: set[Callback] = set()

    @property
    def begun(self) -> bool:
        """Whether the host is stopping."""
        return self._deadline is not None

    def begin(self, deadline: deadlines.Deadline) -> None:
        """Set the deadline and pass it to the running requests."""
        with self._lock:
            self._deadline = deadline
            callbacks = list(self._callbacks)
        for callback in callbacks:
            callback(DrainBegun(deadline))

    def accepts(self, usual_latency_s: float) -> bool:
        """Whether enough time remains to run a request."""
        deadline = self._deadline
        if deadline is None:
            return True
        remaining_s = deadline.remaining(self._clock)
        return remaining_s >= _MIN_LATENCIES * usual_latency_s

    @contextlib.contextmanager
    def watching(self, callback: Callback) -> collections.abc.Iterator[None]:
        """Call back when the drain begins, also if it has begun before."""
        with self._lock:
            self._callbacks.add(callback)
            deadline = self._deadline
        try:
            if deadline is not None:
                callback(DrainBegun(deadline))
            yield
        finally:
            with self._lock:
                self._callbacks.discard(callback)
