"""corianderport_tier.process.caller_bounds

Bounds on what the connections of callers may use of their host.
"""

import attrs

__all__ = ['CallerBounds']


@attrs.frozen
class CallerBounds:
    """Bounds of one listener for callers.

    ``connections`` bounds the open connections, ``tasks`` those that are
    served at one time, and ``budget_bytes`` the memory of all their requests
    and that of all responses that they do not read.
    An idle connection keeps its task for ``hold_s``. A response has to be
    received within ``write_timeout_s``. ``socket_bytes`` is the size of each
    socket's send buffer and of its receive buffer.
    """

    connections: int = 1_024
    tasks: int = 256
    budget_bytes: int = 16_000_000
    hold_s: float = 2.0
    write_timeout_s: float = 10.0
    # Half of it holds less than two segments of the loopback interface, whose
    # acknowledgements are then delayed by 40 ms each (2 MB/s).
    socket_bytes: int = 65_536
