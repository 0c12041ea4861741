"""The processes and stand-ins of a run, and the faults' access to them."""

import contextlib
import pathlib
import signal
import threading
import time
import typing

import attrs

from ... import store_double
from ..connection import proxy
from . import forms
from . import host
from ..request import caller
from ..request import observations
from . import searcher
from ..version import configuration
from ..version import timeline

__all__ = ['KeyRemoval', 'SearcherRemoval', 'Site']

# Guards against hanging; no verdict depends on a shorter time.
_LONG_S = 30.0
_POLL_INTERVAL_S = 0.02
_PATHS_OF_KEYS = (
    ('alpha', (configuration.ONCE, configuration.REPEATED)),
    ('beta', configuration.PATHS),
    ('beta', (configuration.ONCE,)),
    ('gamma', (configuration.REPEATED, configuration.GATHERED)),
)


@attrs.define
class KeyRemoval:
    """The time for which a key was removed from the store."""

    workspace: str
    confirmed_s: float
    restored_s: float | None = None


@attrs.define
class SearcherRemoval:
    """The time for which a searcher was missing in the store."""

    searcher: str
    confirmed_s: float
    restored_s: float | None = None


class Site:
    """Hosts, searchers, the store, callers and the proxies between them."""

    def __init__(
        self, plan: timeline.Timeline, directory: pathlib.Path
    ) -> None:
        self._plan = plan
        self._stack = contextlib.ExitStack()
        self.observed = observations.Observations()
        self.configuration = configuration.Configuration()
        self.key_removals: list[KeyRemoval] = []
        self.searcher_removals: list[SearcherRemoval] = []
        # Rates of workspaces that were in force at some time.
        self.rates: dict[str, float] = {}
        self._store = store_double.Store()
        self._stack.callback(self._store.close)
        name, _, port = self._store.address.rpartition(':')
        self._store_proxy = proxy.Proxy((name, int(port)))
        self._stack.callback(self._store_proxy.close)
        self._behaviours = forms.behaviours(plan.seed)
        self.searchers = {
            name: searcher.Searcher(
                name,
                name.removeprefix('i-').rpartition('-')[0],
                self.observed,
                configuration.KEYS.values(),
                plan.seed,
            )
            for name in timeline.searcher_names()
        }
        self.hosts = [host.Host(n, directory) for n in range(plan.hosts)]
        self._callers: list[caller.Caller] = []
        self._crowds: list[threading.Thread] = []

    def __enter__(self) -> typing.Self:
        for each in self.searchers.values():
            self._stack.callback(each.close)
            self._store.put(f'servers/{each.name}', each.registration())
        self.publish()
        seeds = [each.peers.address for each in self.hosts]
        for each in self.hosts:
            self._stack.callback(each.close)
            each.configure(seeds, self._store_proxy.address)
            each.start()
        deadline_s = time.monotonic() + _LONG_S
        for each in self.hosts:
            while not each.is_ready():
                if time.monotonic() > deadline_s:
                    self.close()
                    raise TimeoutError('a host does not become ready')
                time.sleep(_POLL_INTERVAL_S)
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def close(self) -> None:
        """End all processes and stand-ins."""
        self._stack.close()

    def start_callers(self) -> None:
        """Start callers at each host."""
        for number, each in enumerate(self.hosts):
            for index, (workspace, paths) in enumerate(_PATHS_OF_KEYS):
                self._callers.append(
                    caller.Caller(
                        f'c{number}{index}',
                        number,
                        each.front,
                        configuration.KEYS[workspace],
                        paths,
                        self.observed,
                        self._plan.seed,
                    )
                )

    def stop_callers(self) -> None:
        """Wait until all requests have ended."""
        for each in self._callers:
            each.stop()
        for each in self._callers:
            each.join()
        for crowd in self._crowds:
            crowd.join()

    # What faults act upon.

    def publish(self) -> None:
        """Write the configuration to the store."""
        for workspace, rate in self.configuration.rates.items():
            self.rates[workspace] = max(rate, self.rates.get(workspace, 0.0))
        self._store.put('op/config', self.configuration.document())

    def disturb(self, link: str, effect: proxy.Effect) -> None:
        """Set the effect of a link."""
        if link == 'store':
            self._store_proxy.apply(effect)
        elif link.startswith('peer '):
            self.hosts[int(link.split()[1])].peers.apply(effect)
        else:
            self.searchers[link].proxy.apply(effect)

    def behave(self, searcher: str, behaviour: str) -> None:
        """Let a searcher behave in a named way from now on."""
        self.searchers[searcher].behaviour = self._behaviours[behaviour]

    def list_anew(self, searcher: str) -> None:
        """Register a new lifetime of a searcher."""
        each = self.searchers[searcher]
        each.born += 1
        for removal in self.searcher_removals:
            if removal.searcher == searcher and removal.restored_s is None:
                removal.restored_s = time.monotonic()
        self._store.put(f'servers/{searcher}', each.registration())

    def unlist(self, searcher: str) -> None:
        """Remove a searcher from the store; it goes on serving."""
        self._store.remove(f'servers/{searcher}')
        self.searcher_removals.append(
            SearcherRemoval(searcher, time.monotonic())
        )

    def kill(self, host: int) -> None:
        """Kill a host."""
        self.hosts[host].signal(signal.SIGKILL)

    def stop(self, host: int) -> None:
        """Ask a host to end."""
        self.hosts[host].signal(signal.SIGTERM)

    def start(self, host: int) -> None:
        """Start a host that has ended or is about to."""
        self.hosts[host].start()

    def freeze(self, host: int, frozen: bool) -> None:
        """Stop or continue the process of a host."""
        self.hosts[host].signal(signal.SIGSTOP if frozen else signal.SIGCONT)

    def crowd(self, host: int, size: int) -> None:
        """Open connections to a host that stay open after their request."""
        crowd = caller.Crowd(host, self.hosts[host].front, size, self.observed)
        task = threading.Thread(target=crowd.run, daemon=True)
        self._crowds.append(task)
        task.start()

    def remove_key(self, workspace: str) -> None:
        """Remove the key of a workspace and note when it was confirmed."""
        self.configuration.removed.add(workspace)
        self.publish()
        self.key_removals.append(KeyRemoval(workspace, time.monotonic()))

    def restore_key(self, workspace: str) -> None:
        """Restore the key of a workspace."""
        self.configuration.removed.discard(workspace)
        for removal in self.key_removals:
            if removal.workspace == workspace:
                removal.restored_s = time.monotonic()
        self.publish()
