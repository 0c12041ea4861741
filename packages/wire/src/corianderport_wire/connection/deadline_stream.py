"""corianderport_wire.connection.deadline_stream

Stream of a peer connection whose calls end by a deadline.
"""

import typing

from corianderport_tier import clocks
from corianderport_tier.request import deadlines
from corianderport_wire.connection import stream_wrapper

__all__ = ['DeadlineStream']


class DeadlineStream(stream_wrapper.StreamWrapper):
    """Stream below a framed transport with a deadline for each whole call.

    A timeout for each read would never expire while single bytes arrive.

    :param stream: thriftpy2 socket.
    """

    def __init__(self, stream: typing.Any, clock: clocks.Clock) -> None:
        super().__init__(stream)
        self._clock = clock
        self._deadline = deadlines.Deadline(float('inf'))

    def begin_call(self, timeout_s: float) -> None:
        """Set the deadline of the next call."""
        self._deadline = deadlines.Deadline.after(self._clock, timeout_s)

    def read(self, size: int) -> bytes:
        """Read up to ``size`` bytes.

        :raises TimeoutError: no byte arrived before the deadline.
        """
        self._limit_wait()
        return super().read(size)

    def write(self, content: bytes) -> None:
        """Write all bytes.

        :raises TimeoutError: they were not written before the deadline.
        """
        self._limit_wait()
        super().write(content)

    def _limit_wait(self) -> None:
        remaining_s = self._deadline.remaining(self._clock)
        if remaining_s <= 0:
            raise TimeoutError('the deadline of the call has passed')
        self._stream.set_timeout(remaining_s * 1e3)
