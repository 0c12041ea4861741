"""Modules that a host process must not load before its first caller."""

import json
import subprocess
import sys

# pycurl loads 24 libraries and takes 8 MB; the others serve the operator, the
# own interface and reports, which are loaded on first use.
_NOT_NEEDED = frozenset(
    {'aioprometheus', 'cattrs', 'fire', 'pycurl', 'quantile', 'werkzeug'}
)


def test_host_loads_only_what_it_needs() -> None:
    """Guards against an import that enlarges each host of a deployment."""
    done = subprocess.run(
        [sys.executable, '-m', 'tests.adapter.rest_probe'],
        check=True,
        capture_output=True,
        text=True,
    )
    loaded = set(json.loads(done.stdout)['loaded'])
    assert 'corianderport_daemon.process.entry_host' in loaded
    assert loaded & _NOT_NEEDED == set()
