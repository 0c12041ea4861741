"""corianderport_operator.version.differences

Describes the changes between two configurations and whom they affect.
"""

import collections.abc
import typing

import attrs

from corianderport_operator.version import impact
from corianderport_operator.version import index_differences
from corianderport_tier.version import configuration

__all__ = ['compare']

Changes = collections.abc.Iterator[impact.Change]


def compare(
    old: configuration.Configuration, new: configuration.Configuration
) -> tuple[impact.Change, ...]:
    """Return the changes from the old configuration to the new one."""
    return tuple(
        change
        for comparison in _COMPARISONS
        for change in comparison(old, new)
    )


def _compare_versions(
    old: configuration.Configuration, new: configuration.Configuration
) -> Changes:
    if new.version > old.version:
        return
    # Hosts need not accept a document that is the same as the old one.
    unchanged = new == old
    if not unchanged:
        yield impact.Change(
            'version',
            f'{new.version} is not newer than {old.version}; hosts will '
            'refuse it',
            ('everyone',),
        )


def _compare_data_centres(
    old: configuration.Configuration, new: configuration.Configuration
) -> Changes:
    names = impact.all_names(old.data_centres, new.data_centres)
    for name in names:
        place = f'data centre {name}'
        before = old.data_centres.get(name)
        after = new.data_centres.get(name)
        was_in_service = before is not None and before.in_service
        is_in_service = after is not None and after.in_service
        affected = impact.users_of_data_centre(old, new, name)
        count = impact.searcher_count(new, name)
        if before is None:
            state = 'in service' if is_in_service else 'out of service'
            text = f'added, {state}, with {count} searchers'
            yield impact.Change(place, text, affected)
        elif after is None:
            yield impact.Change(place, 'removed', affected)
        elif was_in_service and not is_in_service:
            text = f'taken out of service; {count} searchers get no requests'
            yield impact.Change(place, text, affected)
        elif is_in_service and not was_in_service:
            text = (
                f'back in service; {count} searchers get requests again, '
                'few at first'
            )
            yield impact.Change(place, text, affected)
        if before and after and before.region != after.region:
            text = f'region: {before.region} becomes {after.region}'
            yield impact.Change(place, text, affected)


def _compare_services(
    old: configuration.Configuration, new: configuration.Configuration
) -> Changes:
    for name in impact.all_names(old.services, new.services):
        place = f'service {name}'
        before = old.services.get(name)
        after = new.services.get(name)
        affected = impact.users_of_services(old, new, {name})
        if before is None and after is not None:
            text = f'added with {len(after.searchers)} searchers'
            yield impact.Change(place, text, affected)
        elif before is not None and after is None:
            yield impact.Change(place, 'removed', affected)
        elif before is not None and after is not None:
            yield from _compare_service(place, before, after, affected)
            if impact.loses_last_searcher(old, new, name):
                yield impact.Change(
                    place,
                    'no searcher is left in service; its shards will be '
                    'missing',
                    affected,
                )


def _compare_service(
    place: str,
    before: configuration.Service,
    after: configuration.Service,
    affected: tuple[str, ...],
) -> Changes:
    yield from impact.changed_fields(
        place, before, after, ('region',), affected
    )
    yield from impact.changed_fields(
        place,
        before.limits,
        after.limits,
        ('slots', 'connections', 'connect_ms'),
        affected,
    )
    old = {searcher.name: searcher for searcher in before.searchers}
    new = {searcher.name: searcher for searcher in after.searchers}
    for name in impact.all_names(old, new):
        searcher_place = f'{place}, searcher {name}'
        if name not in old:
            text = f'added at {new[name].address}, starts with few requests'
            yield impact.Change(searcher_place, text, affected)
        elif name not in new:
            yield impact.Change(searcher_place, 'removed', affected)
        else:
            yield from _compare_searcher(
                searcher_place, old[name], new[name], affected
            )


def _compare_searcher(
    place: str,
    before: configuration.Searcher,
    after: configuration.Searcher,
    affected: tuple[str, ...],
) -> Changes:
    names = ('address', 'data_centre')
    yield from impact.changed_fields(place, before, after, names, affected)
    if before.in_service and not after.in_service:
        yield impact.Change(place, 'taken out of service', affected)
    elif after.in_service and not before.in_service:
        yield impact.Change(place, 'back in service', affected)


def _compare_searches(
    old: configuration.Configuration, new: configuration.Configuration
) -> Changes:
    names = ('index', 'deadline_ms', 'coverage_goal', 'minimum_coverage')
    for name in impact.all_names(old.searches, new.searches):
        place = f'search {name}'
        before = old.searches.get(name)
        after = new.searches.get(name)
        affected = (place,)
        yield from _availability_changes(place, before, after)
        if before is None or after is None:
            continue
        yield from impact.changed_fields(
            place, before, after, (*names, 'worth'), affected
        )
        added = sorted(set(after.services) - set(before.services))
        removed = sorted(set(before.services) - set(after.services))
        for verb, services in (('spans', added), ('leaves out', removed)):
            if services:
                text = f'now {verb} {", ".join(services)}'
                yield impact.Change(place, text, affected)


def _compare_actions(
    old: configuration.Configuration, new: configuration.Configuration
) -> Changes:
    for name in impact.all_names(old.actions, new.actions):
        place = f'action {name}'
        before = old.actions.get(name)
        after = new.actions.get(name)
        yield from _availability_changes(place, before, after)
        if before is not None and after is not None:
            names = ('service', 'deadline_ms', 'worth')
            yield from impact.changed_fields(
                place, before, after, names, (place,)
            )


def _compare_customers(
    old: configuration.Configuration, new: configuration.Configuration
) -> Changes:
    for name in impact.all_names(old.customers, new.customers):
        place = f'customer {name}'
        before = old.customers.get(name)
        after = new.customers.get(name)
        if before is None and after is not None:
            text = f'added with a share of {after.share:g}'
            yield impact.Change(place, text, (place,))
        elif before is not None and after is None:
            yield impact.Change(place, 'removed', (place,))
        elif before is not None and after is not None:
            yield from impact.changed_fields(
                place, before, after, ('share',), (place,)
            )


def _availability_changes(
    place: str,
    before: attrs.AttrsInstance | None,
    after: attrs.AttrsInstance | None,
) -> Changes:
    if before is None:
        yield impact.Change(place, 'offered from now on', (place,))
    elif after is None:
        text = 'no longer offered; callers get code 101 UNKNOWN_SERVICE'
        yield impact.Change(place, text, (place,))


_COMPARISONS: tuple[
    typing.Callable[
        [configuration.Configuration, configuration.Configuration], Changes
    ],
    ...,
] = (
    _compare_versions,
    _compare_data_centres,
    _compare_services,
    index_differences.compare_indexes,
    _compare_searches,
    _compare_actions,
    _compare_customers,
)
