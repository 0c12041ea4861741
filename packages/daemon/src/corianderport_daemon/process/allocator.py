"""corianderport_daemon.process.allocator

Bounds the memory that the C library's allocator retains.
"""

import ctypes
import logging

__all__ = ['limit_arenas']

_LOG = logging.getLogger(__name__)
# Number of the option in malloc.h of glibc.
_M_ARENA_MAX = -8
# Python allocates nearly always with its global lock held, so that further
# arenas do not save waiting. glibc creates up to eight for each core, and
# each retains what the tasks that use it have freed: 23 MB after a crowd of
# 200 callers on 7 cores.
_ARENAS = 1


def limit_arenas() -> None:
    """Let all threads share one arena of the allocator.

    Takes effect only before the process starts a second thread.
    """
    try:
        accepted = ctypes.CDLL(None).mallopt(_M_ARENA_MAX, _ARENAS)
    except (AttributeError, OSError) as error:
        # Another C library, which may have no arenas.
        _LOG.info('the arenas of the allocator are not limited: %s', error)
        return
    if not accepted:
        _LOG.warning('the allocator refused to limit its arenas')
