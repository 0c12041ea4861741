"""Resident memory of this process after each import.

``python -m tests.adapter.rest_probe MODULE...`` imports the modules in order,
then those of a host, and prints JSON. It imports nothing else before, since
that would be missing from the growth of the modules.
"""

import sys

__all__: list[str] = []

_HOST = ('corianderport_platform.adapter', 'corianderport_daemon.entry_main')


def _resident_kb() -> int:
    with open('/proc/self/status') as status:
        for line in status:
            if line.startswith('VmRSS:'):
                return int(line.split()[1])
    raise RuntimeError('no VmRSS in /proc/self/status')


def _report(modules: list[str]) -> dict[str, object]:
    resident_kb = [_resident_kb()]
    for module in modules:
        __import__(module)
        resident_kb.append(_resident_kb())
    for module in _HOST:
        __import__(module)
    resident_kb.append(_resident_kb())
    return {'resident_kb': resident_kb, 'loaded': sorted(sys.modules)}


def _free_in_malloc() -> int:
    """Return the bytes of freed blocks that malloc of glibc has kept."""
    import ctypes

    class Information(ctypes.Structure):
        _fields_ = [
            (name, ctypes.c_size_t)
            for name in (
                'arena',
                'ordblks',
                'smblks',
                'hblks',
                'hblkhd',
                'usmblks',
                'fsmblks',
                'uordblks',
                'fordblks',
                'keepcost',
            )
        ]

    mallinfo2 = ctypes.CDLL(None).mallinfo2
    mallinfo2.restype = Information
    return int(mallinfo2().fordblks)


def main() -> None:
    """Print the report, and the statistics of pymalloc to stderr."""
    report = _report(sys.argv[1:])
    sys._debugmallocstats()
    report['malloc_free_bytes'] = _free_in_malloc()

    import json

    sys.stdout.write(json.dumps(report))


if __name__ == '__main__':
    main()
