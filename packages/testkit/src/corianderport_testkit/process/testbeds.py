"""corianderport_testkit.process.testbeds

A deployment in which the tier and the naive tier share the searchers.
"""

import collections.abc
import contextlib
import fnmatch
import threading
import time
import typing

from corianderport_testkit.process import fleet
from corianderport_testkit.process import load
from corianderport_testkit.process import summaries
from corianderport_testkit.version import deployments

__all__ = ['NAIVE', 'TIER', 'Testbed']

TIER = 'tier'
NAIVE = 'naive'
_READY_S = 30.0
_POLL_S = 0.05
_SETTLE_S = 1.0
_WARM_RATE = 15.0
_WARM_S = 4.0
_WARM_SEED = 99


class Testbed:
    """Hosts of both tiers and their searchers; a context manager."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        hosts: int,
        naive_hosts: int,
        flags: collections.abc.Sequence[str] = (),
    ) -> None:
        self.fleet = fleet.Fleet(deployment, 0)
        self._hosts = hosts
        self._naive_hosts = naive_hosts
        self._flags = flags
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> typing.Self:
        with self._stack:
            self._stack.enter_context(self.fleet)
            names = [f'host-{n}' for n in range(self._hosts)]
            self.fleet.start_hosts(names, self._flags)
            self.fleet.start_naive_hosts(
                [f'naive-{n}' for n in range(self._naive_hosts)],
                self._naive_hosts,
            )
            self._wait_ready()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stack.close()

    def hosts(self, variant: str) -> list[str]:
        """Return the names of a tier's hosts."""
        prefix = 'naive-' if variant.startswith(NAIVE) else 'host-'
        return [name for name in self.fleet.hosts if name.startswith(prefix)]

    def addresses(self, variant: str) -> list[str]:
        """Return the callers' addresses of a tier."""
        hosts = self.fleet.hosts
        return [hosts[name].caller_address for name in self.hosts(variant)]

    def warm(self, variant: str) -> None:
        """Send a little load that is not measured."""
        self.send(variant, load.Load(_WARM_RATE, _WARM_S, _WARM_SEED))

    def send(
        self,
        variant: str,
        planned: load.Load,
        events: collections.abc.Iterable[load.Event] = (),
    ) -> tuple[summaries.Sample, ...]:
        """Send a load to a tier."""
        return load.send(planned, self.addresses(variant), events)

    def searchers(self, pattern: str) -> list[str]:
        """Return the searchers of a name pattern."""
        return fnmatch.filter(self.fleet.addresses, pattern)

    def set(self, pattern: str, **behaviour: typing.Any) -> None:
        """Change the behaviour of searchers."""
        for name in self.searchers(pattern):
            self.fleet.set_behaviour(name, **behaviour)

    def total(self, pattern: str, *counts: str) -> int:
        """Return the sum of some counts over searchers."""
        total = 0
        for name in self.searchers(pattern):
            record = self.fleet.record(name)
            total += sum(int(record[count]) for count in counts)
        return total

    def settle(self) -> None:
        """Let requests in flight end and timers run out."""
        threading.Event().wait(_SETTLE_S)

    def _wait_ready(self) -> None:
        until_s = time.monotonic() + _READY_S
        for name in self.fleet.hosts:
            while self.fleet.search(name, 'rings', 5_000.0).body['code'] != 0:
                if time.monotonic() > until_s:
                    raise RuntimeError(f'{name} is not ready')
                time.sleep(_POLL_S)
