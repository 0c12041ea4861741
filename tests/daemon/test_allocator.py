"""The allocator of a host retains a bounded amount of memory."""

import subprocess
import sys

# Eight threads hold small and large blocks at the same time, which makes glibc
# create further arenas. The program prints what glibc reports about them.
_PROGRAM = """
import ctypes, threading
from corianderport_daemon.process import allocator

allocator.limit_arenas()
barrier = threading.Barrier(9)

def allocate():
    held = [bytes(10_000) for _ in range(10)]
    barrier.wait()
    barrier.wait()

threads = [threading.Thread(target=allocate) for _ in range(8)]
for thread in threads:
    thread.start()
barrier.wait()
library = ctypes.CDLL(None)
library.fdopen.restype = ctypes.c_void_p
stream = ctypes.c_void_p(library.fdopen(1, b'w'))
library.malloc_info(0, stream)
library.fflush(stream)
barrier.wait()
"""


def test_threads_share_one_arena() -> None:
    """Guards against an arena for each thread.

    Each one retains what its threads have freed, so that the memory of a
    host depends on the number of cores and on timing: 23 MB of 96 MB after a
    crowd of 200 callers.
    """
    report = subprocess.run(
        [sys.executable, '-c', _PROGRAM],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    assert report.count('<heap nr=') == 1, report
