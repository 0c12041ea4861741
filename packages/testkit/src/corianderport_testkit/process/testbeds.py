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
_READY_TIMEOUT_S = 30.0
_READY_POLL_S = 0.05
_SETTLE_S = 1.0
# Searches per second.
_WARM_UP_RATE = 15.0
_WARM_UP_S = 4.0
_WARM_UP_SEED = 99


class Testbed:
    """Context manager that runs hosts of both tiers and their searchers.

    Its methods take the variant of an experiment, whose name begins with
    that of a tier, or a glob pattern for the names of searchers.
    """

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

    def host_names(self, variant: str) -> list[str]:
        """Return the names of the hosts of the variant's tier."""
        prefix = 'naive-' if variant.startswith(NAIVE) else 'host-'
        return [name for name in self.fleet.hosts if name.startswith(prefix)]

    def caller_addresses(self, variant: str) -> list[str]:
        """Return the caller addresses of the hosts of the variant's tier."""
        hosts = self.fleet.hosts
        return [
            hosts[name].caller_address for name in self.host_names(variant)
        ]

    def warm_up(self, variant: str) -> None:
        """Send a short load to the variant's tier without measuring it."""
        self.send_load(
            variant, load.Load(_WARM_UP_RATE, _WARM_UP_S, _WARM_UP_SEED)
        )

    def send_load(
        self,
        variant: str,
        planned: load.Load,
        events: collections.abc.Iterable[load.Event] = (),
    ) -> tuple[summaries.Sample, ...]:
        """Send a load to the variant's tier; return a sample per search."""
        return load.send(planned, self.caller_addresses(variant), events)

    def searcher_names(self, pattern: str) -> list[str]:
        """Return the names of the searchers that match a glob pattern."""
        return fnmatch.filter(self.fleet.addresses, pattern)

    def set_behaviour(self, pattern: str, **behaviour: typing.Any) -> None:
        """Change the behaviour of the searchers that match a glob pattern."""
        for name in self.searcher_names(pattern):
            self.fleet.set_behaviour(name, **behaviour)

    def sum_counts(self, pattern: str, *counts: str) -> int:
        """Return the sum of the named counts over the matching searchers."""
        total = 0
        for name in self.searcher_names(pattern):
            record = self.fleet.record(name)
            total += sum(int(record[count]) for count in counts)
        return total

    def settle(self) -> None:
        """Wait a fixed time for requests in flight and timers to finish."""
        threading.Event().wait(_SETTLE_S)

    def _wait_ready(self) -> None:
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        for name in self.fleet.hosts:
            while self.fleet.search(name, 'rings', 5_000.0).body['code'] != 0:
                if time.monotonic() > deadline_s:
                    raise RuntimeError(f'{name} is not ready')
                time.sleep(_READY_POLL_S)
