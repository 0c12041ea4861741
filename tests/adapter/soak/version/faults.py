"""The faults of a timeline, each with a beginning and an end."""

import typing

import attrs

from . import configuration
from ..connection import proxy

__all__ = [
    'Behave',
    'ChangeLimits',
    'ChangeRate',
    'ChangeRoutes',
    'Crowd',
    'DisturbLink',
    'Fault',
    'Kill',
    'Pause',
    'RemoveKey',
    'Restart',
    'Site',
    'Unlist',
]


class Site(typing.Protocol):
    """What faults act upon."""

    configuration: configuration.Configuration

    def publish(self) -> None:
        """Write the configuration to the store."""

    def disturb(self, link: str, effect: proxy.Effect) -> None:
        """Set the effect of a link."""

    def behave(self, searcher: str, behaviour: str) -> None:
        """Let a searcher behave in a named way from now on."""

    def list_anew(self, searcher: str) -> None:
        """Register a new lifetime of a searcher."""

    def unlist(self, searcher: str) -> None:
        """Remove a searcher from the store; it goes on serving."""

    def kill(self, host: int) -> None:
        """Kill a host."""

    def stop(self, host: int) -> None:
        """Ask a host to end."""

    def start(self, host: int) -> None:
        """Start a host that has ended or is about to."""

    def freeze(self, host: int, frozen: bool) -> None:
        """Stop or continue the process of a host."""

    def crowd(self, host: int, size: int) -> None:
        """Open connections to a host that stay open after their request."""

    def remove_key(self, workspace: str) -> None:
        """Remove the key of a workspace and note when it was confirmed."""

    def restore_key(self, workspace: str) -> None:
        """Restore the key of a workspace."""


class Fault(typing.Protocol):
    """One fault; ``places`` are what no other fault may act upon."""

    @property
    def places(self) -> tuple[str, ...]:
        """Names of what the fault acts upon."""

    def begin(self, site: Site) -> None:
        """Start the fault."""

    def end(self, site: Site) -> None:
        """End the fault."""


@attrs.frozen
class DisturbLink:
    """An effect on the connections through one proxy."""

    link: str
    effect: proxy.Effect

    @property
    def places(self) -> tuple[str, ...]:
        """The link."""
        return (f'link of {self.link}',)

    def begin(self, site: Site) -> None:
        """Set the effect."""
        site.disturb(self.link, self.effect)

    def end(self, site: Site) -> None:
        """Remove the effect."""
        site.disturb(self.link, proxy.NoEffect())


@attrs.frozen
class Behave:
    """Searchers that reply in an unusual way."""

    searchers: tuple[str, ...]
    behaviour: str

    @property
    def places(self) -> tuple[str, ...]:
        """The searchers."""
        return tuple(f'behaviour of {name}' for name in self.searchers)

    def begin(self, site: Site) -> None:
        """Change the behaviour."""
        for searcher in self.searchers:
            site.behave(searcher, self.behaviour)

    def end(self, site: Site) -> None:
        """Restore it; a searcher that left returns as a new lifetime."""
        for searcher in self.searchers:
            site.behave(searcher, 'ordinary')
            if self.behaviour == 'leaving':
                site.list_anew(searcher)


@attrs.frozen
class Unlist:
    """A searcher that is missing in the store and would still serve."""

    searcher: str

    @property
    def places(self) -> tuple[str, ...]:
        """The entry of the searcher."""
        return (f'entry of {self.searcher}',)

    def begin(self, site: Site) -> None:
        """Remove the entry."""
        site.unlist(self.searcher)

    def end(self, site: Site) -> None:
        """Register the searcher again."""
        site.list_anew(self.searcher)


@attrs.frozen
class _HostFault:
    host: int

    @property
    def places(self) -> tuple[str, ...]:
        """The host."""
        return (f'host {self.host}',)


@attrs.frozen
class Kill(_HostFault):
    """A host that is killed and started again."""

    def begin(self, site: Site) -> None:
        """Kill it."""
        site.kill(self.host)

    def end(self, site: Site) -> None:
        """Start it."""
        site.start(self.host)


@attrs.frozen
class Restart(_HostFault):
    """A planned stop of a host and its start."""

    def begin(self, site: Site) -> None:
        """Stop it."""
        site.stop(self.host)

    def end(self, site: Site) -> None:
        """Start it."""
        site.start(self.host)


@attrs.frozen
class Pause(_HostFault):
    """A host whose process does not run for a time."""

    def begin(self, site: Site) -> None:
        """Stop the process."""
        site.freeze(self.host, frozen=True)

    def end(self, site: Site) -> None:
        """Continue it."""
        site.freeze(self.host, frozen=False)


@attrs.frozen
class Crowd(_HostFault):
    """Callers that keep their connections open."""

    size: int

    def begin(self, site: Site) -> None:
        """Open the connections."""
        site.crowd(self.host, self.size)

    def end(self, site: Site) -> None:
        """Do nothing: the connections end with their requests."""


@attrs.frozen
class ChangeLimits:
    """Other limits on callers and on connections to searchers."""

    limits: tuple[tuple[str, int], ...]
    max_connections: int
    places: tuple[str, ...] = ('limits',)

    def begin(self, site: Site) -> None:
        """Set the limits."""
        self._swap(site, dict(self.limits), self.max_connections)

    def end(self, site: Site) -> None:
        """Restore the limits."""
        usual = configuration.Configuration()
        self._swap(site, usual.limits, usual.max_connections)

    def _swap(self, site: Site, limits: dict[str, int], most: int) -> None:
        site.configuration.limits.update(limits)
        site.configuration.max_connections = most
        site.publish()


@attrs.frozen
class ChangeRate:
    """Another rate of a workspace."""

    workspace: str
    rate_per_s: float
    places: tuple[str, ...] = ('rate',)

    def begin(self, site: Site) -> None:
        """Set the rate."""
        site.configuration.rates[self.workspace] = self.rate_per_s
        site.publish()

    def end(self, site: Site) -> None:
        """Restore the rate."""
        usual = configuration.Configuration()
        site.configuration.rates[self.workspace] = usual.rates[self.workspace]
        site.publish()


@attrs.frozen
class ChangeRoutes:
    """A route that is split between more services."""

    desk_weight: float
    places: tuple[str, ...] = ('routes',)

    def begin(self, site: Site) -> None:
        """Add a service to the route."""
        site.configuration.desk_weight = self.desk_weight
        site.publish()

    def end(self, site: Site) -> None:
        """Remove it."""
        site.configuration.desk_weight = 0.0
        site.publish()


@attrs.frozen
class RemoveKey:
    """A key that is removed and restored."""

    workspace: str
    places: tuple[str, ...] = ('key',)

    def begin(self, site: Site) -> None:
        """Remove the key."""
        site.remove_key(self.workspace)

    def end(self, site: Site) -> None:
        """Restore the key."""
        site.restore_key(self.workspace)
