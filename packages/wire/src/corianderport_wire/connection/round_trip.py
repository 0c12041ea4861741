"""corianderport_wire.connection.round_trip

Round-trip time of a TCP connection, as the kernel measures it.
"""

import socket
import struct

__all__ = ['round_trip_s']

# tcpi_rtt of struct tcp_info, a 32-bit number of microseconds.
_RTT = struct.Struct('=I')
_RTT_OFFSET = 68
# A greater value is no usable measurement: the kernel's estimate starts with
# the handshake, in which a lost packet takes a second to be sent again.
_MAX_ROUND_TRIP_S = 0.2


def round_trip_s(connection: socket.socket) -> float | None:
    """Return the smoothed round-trip time in seconds; None if unknown."""
    try:
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _RTT_OFFSET + _RTT.size
        )
    except OSError:
        return None
    if len(info) < _RTT_OFFSET + _RTT.size:
        return None
    seconds: float = _RTT.unpack_from(info, _RTT_OFFSET)[0] / 1e6
    return seconds if 0 < seconds <= _MAX_ROUND_TRIP_S else None
