"""corianderport_wire.connection.stream_wrapper

Base class of streams that wrap the socket of a peer connection.
"""

import typing

__all__ = ['StreamWrapper']


class StreamWrapper:
    """Stream below a framed transport that passes everything on.

    :param stream: thriftpy2 socket or another wrapper.
    """

    def __init__(self, stream: typing.Any) -> None:
        self._stream = stream

    def read(self, size: int) -> bytes:
        """Read up to ``size`` bytes."""
        received: bytes = self._stream.read(size)
        return received

    def write(self, content: bytes) -> None:
        """Write all bytes."""
        self._stream.write(content)

    def flush(self) -> None:
        """Flush buffered output."""
        self._stream.flush()

    def is_open(self) -> bool:
        """Whether the connection is open."""
        return bool(self._stream.is_open())

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
