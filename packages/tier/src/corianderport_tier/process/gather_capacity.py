"""corianderport_tier.process.gather_capacity

Bounds the gathers that a host runs for other hosts at the same time.
"""

import collections.abc
import contextlib
import threading

from corianderport_tier import errors

__all__ = ['GatherCapacity']

# Fraction of the time until the goal that the bytes of all gathers may take on
# the link, and that their parts may take on the processor.
_LINK_FRACTION = 0.25
_PROCESSOR_FRACTION = 0.5
# Assumed until the first gather: processor time for a part.
_ASSUMED_PART_S = 0.0002
_SMOOTHING = 0.2
# Time until the goal that is assumed before a call states it.
_USUAL_GOAL_S = 0.05


class GatherCapacity:
    """Counts the parts that are being gathered for other hosts.

    A gather is refused if it would end late together with those that run:
    the host that offers it then gathers the parts itself, in time to do so.

    :param link_bytes_s: capacity of this host's link in bytes per second.
    """

    def __init__(self, link_bytes_s: float) -> None:
        self._link_bytes_s = link_bytes_s
        self._lock = threading.Lock()
        self._parts = 0
        self._bytes = 0
        self._part_s = _ASSUMED_PART_S

    @property
    def running_parts(self) -> int:
        """Number of parts of all gathers that run for other hosts."""
        return self._parts

    @property
    def part_s(self) -> float:
        """Processor time for a part in seconds, as measured lately."""
        return self._part_s

    @property
    def available(self) -> bool:
        """Whether the running gathers leave room for one more.

        The call for the gather states its size and its goal, and may still be
        refused.
        """
        return self._parts * self._part_s < (
            _PROCESSOR_FRACTION * _USUAL_GOAL_S
        ) and self._bytes < (
            _LINK_FRACTION * _USUAL_GOAL_S * self._link_bytes_s
        )

    @contextlib.contextmanager
    def running(
        self, parts: int, size_bytes: int, time_left_s: float
    ) -> collections.abc.Iterator[None]:
        """Count a gather inside the ``with`` block.

        A gather is always accepted if no other runs.

        :param size_bytes: expected bytes of the replies.
        :param time_left_s: time until the goal of the gather.
        :raises Overloaded: it would end late.
        """
        with self._lock:
            if self._parts and not self._fits(parts, size_bytes, time_left_s):
                raise errors.Overloaded(
                    f'{self._parts} parts are gathered for other hosts'
                )
            self._parts += parts
            self._bytes += size_bytes
        try:
            yield
        finally:
            with self._lock:
                self._parts -= parts
                self._bytes -= size_bytes

    def record(self, part_s: float) -> None:
        """Add the processor time for a part of one gather, in seconds."""
        with self._lock:
            self._part_s += _SMOOTHING * (part_s - self._part_s)

    def _fits(self, parts: int, size_bytes: int, time_left_s: float) -> bool:
        processor_s = (self._parts + parts) * self._part_s
        link_s = (self._bytes + size_bytes) / self._link_bytes_s
        return (
            processor_s <= _PROCESSOR_FRACTION * time_left_s
            and link_s <= _LINK_FRACTION * time_left_s
        )
