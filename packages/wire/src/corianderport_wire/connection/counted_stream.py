"""corianderport_wire.connection.counted_stream

Counts the bytes of a peer connection by the kind of its calls.
"""

import typing

from corianderport_tier.process import link_bytes
from corianderport_wire.connection import stream_wrapper

__all__ = ['CountedStream']


class CountedStream(stream_wrapper.StreamWrapper):
    """Stream below a framed transport, on which calls alternate with replies.

    A server knows the kind of a call once it has decoded it, so that the bytes
    received before ``begin_call`` are counted by ``begin_call``.

    :param stream: thriftpy2 socket or another wrapper.
    :param data_centre: that of the other host, empty if it is unknown.
    """

    def __init__(
        self,
        stream: typing.Any,
        links: link_bytes.LinkBytes,
        data_centre: str = '',
    ) -> None:
        super().__init__(stream)
        self._links = links
        self.data_centre = data_centre
        self._link: link_bytes.Link | None = None
        self._uncounted_bytes = 0
        # Whether the first bytes of the next received message are awaited.
        self._message_awaited = True

    def begin_call(self, kind: link_bytes.LinkKind) -> None:
        """Count what follows, and what was received, as this kind."""
        self._link = self._links.link(kind, self.data_centre)
        self._count_received()

    def end_call(self) -> None:
        """Keep the bytes that follow until the kind of their call is known."""
        self._link = None

    def read(self, size: int) -> bytes:
        """Read up to ``size`` bytes."""
        received = super().read(size)
        self._uncounted_bytes += len(received)
        if self._link is not None:
            self._count_received()
        return received

    def write(self, content: bytes) -> None:
        """Write a whole message."""
        if self._link is None:
            self.begin_call(link_bytes.LinkKind.OTHER_PEER)
        assert self._link is not None
        super().write(content)
        self._link.sent(len(content), 1)
        self._message_awaited = True

    def close(self) -> None:
        """Close the connection."""
        self.count_rest()
        super().close()

    def count_rest(self) -> None:
        """Count the bytes of a call that was not received completely."""
        if self._link is None:
            self.begin_call(link_bytes.LinkKind.OTHER_PEER)

    def _count_received(self) -> None:
        if not self._uncounted_bytes:
            return
        assert self._link is not None
        self._link.received(self._uncounted_bytes, int(self._message_awaited))
        self._message_awaited = False
        self._uncounted_bytes = 0
