"""corianderport_operator.version.impact

Determines which searches and actions a configuration change affects.
"""

import collections.abc
import enum

import attrs

from corianderport_tier.version import configuration

__all__ = [
    'Change',
    'all_names',
    'changed_fields',
    'loses_last_searcher',
    'searcher_count',
    'users_of_data_centre',
    'users_of_services',
]

Configuration = configuration.Configuration


@attrs.frozen
class Change:
    """One change of the configuration.

    ``place`` names the changed entity; ``affects`` lists the searches,
    actions and customers that the change affects.
    """

    place: str
    text: str
    affects: tuple[str, ...]

    def __str__(self) -> str:
        affected = f' (for {", ".join(self.affects)})' if self.affects else ''
        return f'{self.place}: {self.text}{affected}'


def all_names(
    old: collections.abc.Iterable[str], new: collections.abc.Iterable[str]
) -> list[str]:
    """Return the names that are in either version, sorted."""
    return sorted({*old, *new})


def changed_fields(
    place: str,
    before: object,
    after: object,
    names: collections.abc.Iterable[str],
    affects: tuple[str, ...],
) -> collections.abc.Iterator[Change]:
    """Yield a change for each of the named fields that differs."""
    for name in names:
        old = getattr(before, name)
        new = getattr(after, name)
        if old != new:
            text = f'{name}: {_format_value(old)} becomes {_format_value(new)}'
            yield Change(place, text, affects)


def users_of_services(
    old: Configuration, new: Configuration, names: collections.abc.Set[str]
) -> tuple[str, ...]:
    """Return the searches and actions that use any of the services."""
    users: set[str] = set()
    for config in (old, new):
        for search in config.searches.values():
            if names & set(search.services):
                users.add(f'search {search.name}')
        for action in config.actions.values():
            if action.service in names:
                users.add(f'action {action.name}')
    return tuple(sorted(users))


def users_of_data_centre(
    old: Configuration, new: Configuration, name: str
) -> tuple[str, ...]:
    """Return the searches and actions that use a data centre.

    These are the ones whose services have a searcher there in either
    version.
    """
    services = {
        service.name
        for config in (old, new)
        for service in config.services.values()
        if any(s.data_centre == name for s in service.searchers)
    }
    return users_of_services(old, new, services)


def searcher_count(config: Configuration, data_centre: str) -> int:
    """Return the number of searchers in a data centre."""
    return sum(
        searcher.data_centre == data_centre
        for service in config.services.values()
        for searcher in service.searchers
    )


def loses_last_searcher(
    old: Configuration, new: Configuration, name: str
) -> bool:
    """Whether a service had a searcher in service and no longer has."""
    before = map(old.is_in_service, old.services[name].searchers)
    after = map(new.is_in_service, new.services[name].searchers)
    return any(before) and not any(after)


def _format_value(value: object) -> str:
    if isinstance(value, enum.Enum):
        return str(value.value)
    return f'{value:g}' if isinstance(value, float) else str(value)
