"""corianderport_tier.process.host_bounds

Divides the memory and the descriptors of a host among its listeners.
"""

import typing

import attrs

from corianderport_tier.process import caller_bounds

__all__ = ['DEFAULT_DESCRIPTORS', 'DEFAULT_MEMORY_MB', 'HostBounds']

# The smallest host.
DEFAULT_MEMORY_MB = 200.0
DEFAULT_DESCRIPTORS = 4_100.0

_BYTES_PER_MB = 1_000_000
# Descriptors of a host that are reserved for files.
_FILE_DESCRIPTORS = 200
# The rest is for searchers, peers and the store.
_CALLER_SOCKET_SHARE = 0.7
_MIN_CALLER_CONNECTIONS = 16
_ADMIN_SOCKET_SHARE = 0.02
_MIN_ADMIN_CONNECTIONS = 8
_ADMIN_TASKS = 8
# Memory for a task: 43 kB of resident memory were measured for its stack and
# its parser; the rest is for its part of the allocator's arenas.
_TASK_BYTES = 100_000
_CALLER_TASK_MEMORY_SHARE = 0.2
_UPSTREAM_TASK_MEMORY_SHARE = 0.3
_MIN_TASKS = 32
_MAX_TASKS = 1_500
_BUDGET_MEMORY_SHARE = 0.125
_MIN_BUDGET_BYTES = 2_000_000
# Responses that arrive from searchers. Bodies without an end on many
# connections took 77 MB of a host of 96 MB without this bound. Twice the share
# is resident, since the buffers grow step by step.
_REPLY_MEMORY_SHARE = 0.1


@attrs.frozen
class HostBounds:
    """Bounds of the listeners of one host.

    ``admin`` holds for the readiness address and for the metrics address;
    their requests use the budget of ``callers``. ``upstream_tasks`` bounds
    the tasks for searchers, peers and the host itself, and ``reply_bytes``
    the memory of the responses that arrive from all searchers.
    """

    callers: caller_bounds.CallerBounds
    admin: caller_bounds.CallerBounds
    upstream_tasks: int
    reply_bytes: int

    @classmethod
    def from_machine(
        cls,
        memory_mb: float = DEFAULT_MEMORY_MB,
        descriptors: float = DEFAULT_DESCRIPTORS,
    ) -> typing.Self:
        """Return the bounds for a host's memory and descriptors."""
        sockets = max(0.0, descriptors - _FILE_DESCRIPTORS)
        memory_bytes = memory_mb * _BYTES_PER_MB
        return cls(
            callers=caller_bounds.CallerBounds(
                connections=max(
                    _MIN_CALLER_CONNECTIONS,
                    int(_CALLER_SOCKET_SHARE * sockets),
                ),
                tasks=_tasks(_CALLER_TASK_MEMORY_SHARE * memory_bytes),
                budget_bytes=max(
                    _MIN_BUDGET_BYTES, int(_BUDGET_MEMORY_SHARE * memory_bytes)
                ),
            ),
            admin=caller_bounds.CallerBounds(
                connections=max(
                    _MIN_ADMIN_CONNECTIONS, int(_ADMIN_SOCKET_SHARE * sockets)
                ),
                tasks=_ADMIN_TASKS,
            ),
            upstream_tasks=_tasks(_UPSTREAM_TASK_MEMORY_SHARE * memory_bytes),
            reply_bytes=max(
                _MIN_BUDGET_BYTES, int(_REPLY_MEMORY_SHARE * memory_bytes)
            ),
        )


def _tasks(memory_bytes: float) -> int:
    return min(_MAX_TASKS, max(_MIN_TASKS, int(memory_bytes / _TASK_BYTES)))
