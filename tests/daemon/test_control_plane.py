"""Daemons with killed and paused hosts and with a platform outage."""

import collections.abc
import signal
import time

import pytest

from corianderport_testkit.process import fleet
from corianderport_testkit.version import deployments

_DEPLOYMENT = deployments.Deployment(services=3, shards=1, documents=60)
_HOSTS = 4
_LIMIT_S = 60.0


def _wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    """Wait for a condition; the limit is only reached on failure."""
    limit_s = time.monotonic() + _LIMIT_S
    while not condition():
        assert time.monotonic() < limit_s
        time.sleep(0.05)


def _not_whole(
    running: fleet.Fleet, names: collections.abc.Iterable[str]
) -> list[fleet.Json]:
    bodies = [running.search(name, 'clubs', 5_000.0).body for name in names]
    return [body for body in bodies if body['code'] != 0]


def _whole(running: fleet.Fleet, names: collections.abc.Iterable[str]) -> bool:
    return not _not_whole(running, names)


@pytest.fixture
def running() -> collections.abc.Iterator[fleet.Fleet]:
    """Four daemons in front of nine searchers."""
    with fleet.Fleet(_DEPLOYMENT, hosts=_HOSTS) as started:
        _wait_until(lambda: _whole(started, started.hosts))
        yield started


def test_searches_are_complete_after_kill_pause_and_outage(
    running: fleet.Fleet,
) -> None:
    """Guards against services that hosts stop sending to after a failure.

    One host is killed, another one is paused, and the platform goes down.
    Searches at the other hosts must be complete again after each failure.
    """
    running.kill('host-3')
    _wait_until(lambda: _whole(running, running.hosts))

    paused = running.hosts['host-0'].process
    running_hosts = [name for name in running.hosts if name != 'host-0']
    paused.send_signal(signal.SIGSTOP)
    try:
        _wait_until(lambda: _whole(running, running_hosts))
    finally:
        paused.send_signal(signal.SIGCONT)
    _wait_until(lambda: _whole(running, running.hosts))

    running.platform.set_down(True)
    running.start_hosts([])
    assert _whole(running, running.hosts)
    running.platform.set_down(False)


def test_version_spreads_after_the_service_goes_down(
    running: fleet.Fleet,
) -> None:
    """Guards against hosts that get new versions only from the service.

    The configuration service goes down after the first call for the new
    version; the other hosts must get the version from a peer.
    """
    calls = running.platform.configuration_calls
    before = _searches(running, 'dc-b')
    running.publish(out_of_service={'dc-b'})
    _wait_until(lambda: running.platform.configuration_calls > calls)
    running.platform.set_down(True)

    def receives_no_searches() -> bool:
        nonlocal before
        assert _not_whole(running, running.hosts) == []
        after = _searches(running, 'dc-b')
        same, before = after == before, after
        return same

    _wait_until(receives_no_searches)


def _searches(running: fleet.Fleet, data_centre: str) -> int:
    names = running.deployment.searcher_names(data_centre)
    return sum(int(running.record(name)['searches']) for name in names)
