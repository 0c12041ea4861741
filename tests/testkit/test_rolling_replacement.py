"""Tests that replacing all hosts one by one interrupts no request."""

import collections
import random
import threading
import time

import attrs

from corianderport_testkit.process import fleet
from corianderport_testkit.version import deployments
from corianderport_tier import errors

_DEPLOYMENT = deployments.Deployment(
    services=2, shards=2, documents=100, deadline_ms=2_000.0
)
_HOST_COUNT = 3
_CALLER_COUNT = 4
_EXIT_TIMEOUT_S = 60.0
_DAEMON_FLAGS = ('--drain_lag_s=2', '--drain_limit_s=20')
_DEADLINE_MS = 15_000.0


class _LoadBalancer:
    """A fake load balancer, which knows the hosts that receive requests."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._addresses: list[str] = []

    def add(self, address: str) -> None:
        """Let later requests go to an address."""
        with self._lock:
            self._addresses.append(address)

    def remove(self, address: str) -> None:
        """Let no later requests go to an address."""
        with self._lock:
            self._addresses.remove(address)

    def choose(self, rng: random.Random) -> str:
        """Return a random address for one request."""
        with self._lock:
            return rng.choice(self._addresses)


@attrs.define(eq=False)
class _Caller:
    """Sends searches and actions until it is stopped."""

    number: int
    running: fleet.Fleet
    balancer: _LoadBalancer
    stopped: threading.Event
    codes: collections.Counter[str] = attrs.Factory(collections.Counter)
    payloads: list[str] = attrs.Factory(list)
    failures: list[str] = attrs.Factory(list)

    def run(self) -> None:
        """Send searches and actions one after another."""
        rng = random.Random(self.number)
        count = 0
        while not self.stopped.is_set():
            count += 1
            try:
                self._search(rng)
                self._act(rng, f'{self.number}-{count}')
            except errors.CorianderportError as error:
                self.failures.append(repr(error))

    def _search(self, rng: random.Random) -> None:
        fields = {'query': 'stilts', 'deadline_ms': _DEADLINE_MS}
        self._post(rng, '/v1/search/stock', fields)

    def _act(self, rng: random.Random, payload: str) -> None:
        self.payloads.append(payload)
        ran = 'no'
        while ran == 'no':
            issued = self._post(rng, '/v1/tickets', {})
            if 'ticket' not in issued:
                continue
            fields = {
                'payload': payload,
                'ticket': issued['ticket'],
                'deadline_ms': _DEADLINE_MS,
            }
            ran = self._post(rng, '/v1/actions/reserve', fields)['ran']

    def _post(
        self, rng: random.Random, path: str, fields: fleet.Json
    ) -> fleet.Json:
        address = self.balancer.choose(rng)
        body = self.running.post(address, path, fields).body
        self.codes[f'{path} {body["name"]}'] += 1
        return body


def _wait_ready(running: fleet.Fleet, address: str, ready: bool) -> None:
    """Wait until a host is ready, or until it no longer is."""
    deadline_s = time.monotonic() + _EXIT_TIMEOUT_S
    while running.is_ready(address) is not ready:
        assert time.monotonic() < deadline_s
        time.sleep(0.02)


def _replace_all(running: fleet.Fleet, balancer: _LoadBalancer) -> list[int]:
    """Replace the hosts one by one; return the exit statuses of the old ones.

    The load balancer sends requests to an old host until the host reports
    that it is not ready.
    """
    exit_statuses = []
    for number in range(_HOST_COUNT):
        name = f'host-{_HOST_COUNT + number}'
        running.start_hosts([name])
        _wait_ready(running, running.hosts[name].caller_address, True)
        balancer.add(running.hosts[name].caller_address)
        old = running.terminate(f'host-{number}')
        _wait_ready(running, old.caller_address, False)
        balancer.remove(old.caller_address)
        exit_statuses.append(old.process.wait(_EXIT_TIMEOUT_S))
        running.platform.remove_host(old.name)
    return exit_statuses


def test_rolling_replacement_cuts_no_request() -> None:
    """Guards against a graceful shutdown that cuts, loses or repeats requests.

    A host that exits or stops listening on SIGTERM at once cuts the requests
    in flight, and those that the load balancer still sends. A host that
    reports an action as not run, although a searcher ran it, makes the caller
    repeat it.

    Every request gets an answer, and every host exits with status 0. An action
    may be refused as not run when the host of its ticket has stopped; the
    caller then retries with a new ticket. Every search is complete, no outcome
    is unknown, and every action runs exactly once. A host refuses requests
    that arrive after the drain lag; test_shutdown.py tests when it does so.
    """
    stopped = threading.Event()
    balancer = _LoadBalancer()
    with fleet.Fleet(_DEPLOYMENT, _HOST_COUNT, _DAEMON_FLAGS) as running:
        for host in running.hosts.values():
            _wait_ready(running, host.caller_address, True)
            balancer.add(host.caller_address)
        callers = [
            _Caller(n, running, balancer, stopped)
            for n in range(_CALLER_COUNT)
        ]
        threads = [threading.Thread(target=c.run) for c in callers]
        for thread in threads:
            thread.start()
        try:
            exit_statuses = _replace_all(running, balancer)
        finally:
            stopped.set()
            for thread in threads:
                thread.join()
        runs: collections.Counter[str] = collections.Counter()
        for searcher in running.addresses:
            runs.update(running.record(searcher)['runs'])
    codes = sum((c.codes for c in callers), collections.Counter())
    assert [failure for c in callers for failure in c.failures] == []
    assert exit_statuses == [0] * _HOST_COUNT
    assert set(codes) <= {
        '/v1/search/stock OK',
        '/v1/search/stock NOT_READY',
        '/v1/tickets OK',
        '/v1/tickets NOT_READY',
        '/v1/actions/reserve OK',
        '/v1/actions/reserve NOT_READY',
        '/v1/actions/reserve DEADLINE_PAST',
        '/v1/actions/reserve OVERLOADED',
    }
    assert runs == {p: 1 for c in callers for p in c.payloads}
