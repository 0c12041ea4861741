"""corianderport_tier.version.checks

Checks a configuration and reports numbered faults.
"""

import collections
import collections.abc
import math

from corianderport_tier import errors
from corianderport_tier.version import addresses
from corianderport_tier.version import configuration
from corianderport_tier.version import faults
from corianderport_tier.version import index_checks

__all__ = ['check', 'require_valid']

# When the host that connects to a searcher changes, the old one, the new one
# and a host that is still closing its connections share the limit.
_CONCURRENT_OWNERS = 3
_MAX_FAULTS_LISTED = 20
_DEFAULT_CUSTOMER = 'default'

Faults = collections.abc.Iterator[faults.Fault]
_Number = faults.FaultNumber


def check(
    candidate: configuration.Configuration,
) -> tuple[faults.Fault, ...]:
    """Return all faults and warnings, sorted by number and place."""
    findings = [
        fault for run_check in _CHECKS for fault in run_check(candidate)
    ]
    return tuple(sorted(findings, key=lambda f: (f.number.value, f.place)))


def require_valid(candidate: configuration.Configuration) -> None:
    """Check a configuration before it is applied; warnings are ignored.

    :raises ConfigurationInvalid: the configuration has faults.
    """
    findings = [f for f in check(candidate) if not f.number.is_warning]
    if not findings:
        return
    listed = [str(fault) for fault in findings[:_MAX_FAULTS_LISTED]]
    omitted = len(findings) - len(listed)
    if omitted:
        listed.append(f'and {omitted} more')
    raise errors.ConfigurationInvalid('; '.join(listed))


def _check_version(candidate: configuration.Configuration) -> Faults:
    if candidate.version < 1:
        yield faults.Fault(
            _Number.VERSION,
            'version',
            f'{candidate.version} is not a whole number from 1',
        )


def _check_services(candidate: configuration.Configuration) -> Faults:
    regions = {c.region for c in candidate.data_centres.values()}
    used = _used_services(candidate)
    for service in candidate.services.values():
        place = f'service {service.name}'
        if service.region not in regions:
            yield faults.Fault(
                _Number.UNKNOWN_REGION,
                place,
                f'no data centre is in region {service.region!r}; there are '
                f'{_join_names(regions)}',
            )
        if service.name not in used:
            yield faults.Fault(
                _Number.UNUSED_SERVICE,
                place,
                'no search spans it and no action uses it',
            )
        yield from _check_limits(place, service.limits)
        yield from _check_searchers(candidate, service)


def _check_limits(place: str, limits: configuration.Limits) -> Faults:
    if limits.slots < 1:
        yield faults.Fault(
            _Number.LIMITS, place, f'slots: {limits.slots} is less than 1'
        )
    min_connections = _CONCURRENT_OWNERS * max(1, limits.slots)
    if limits.connections < min_connections:
        yield faults.Fault(
            _Number.LIMITS,
            place,
            f'connections: {limits.connections} is less than '
            f'{min_connections}, {_CONCURRENT_OWNERS} for each slot',
        )
    if not 0 < limits.connect_ms < math.inf:
        yield faults.Fault(
            _Number.LIMITS,
            place,
            f'connect_ms: {limits.connect_ms} is not a positive number',
        )


def _check_searchers(
    candidate: configuration.Configuration, service: configuration.Service
) -> Faults:
    data_centres = candidate.data_centres
    for searcher in service.searchers:
        place = f'service {service.name}, searcher {searcher.name}'
        data_centre = data_centres.get(searcher.data_centre)
        if data_centre is None:
            yield faults.Fault(
                _Number.UNKNOWN_DATA_CENTRE,
                place,
                f'unknown data centre {searcher.data_centre!r}; there are '
                f'{_join_names(data_centres)}',
            )
        elif data_centre.region != service.region:
            yield faults.Fault(
                _Number.OTHER_REGION,
                place,
                f'it is in region {data_centre.region}, its service in '
                f'{service.region}',
            )
        if not addresses.is_address(searcher.address):
            yield faults.Fault(
                _Number.ADDRESS,
                place,
                f'address: {searcher.address!r} is not an IP address and a '
                f'port from 1 to {addresses.MAX_PORT}',
            )
    if not service.searchers:
        yield faults.Fault(
            _Number.NO_SEARCHER,
            f'service {service.name}',
            'it has no searcher',
        )
    elif not any(map(candidate.is_in_service, service.searchers)):
        yield faults.Fault(
            _Number.NO_DATA_CENTRE_IN_SERVICE,
            f'service {service.name}',
            'no searcher is in service; its shards will be missing',
        )


def _check_duplicates(candidate: configuration.Configuration) -> Faults:
    by_address: dict[str, list[str]] = collections.defaultdict(list)
    by_name: dict[str, list[str]] = collections.defaultdict(list)
    for service in candidate.services.values():
        for searcher in service.searchers:
            by_address[searcher.address].append(searcher.name)
            by_name[searcher.name].append(service.name)
    for address, names in by_address.items():
        if len(names) > 1:
            yield faults.Fault(
                _Number.DUPLICATE_ADDRESS,
                f'address {address}',
                f'the searchers {_join_names(names)} share it',
            )
    for name, services in by_name.items():
        if len(services) > 1:
            yield faults.Fault(
                _Number.DUPLICATE_NAME,
                f'searcher {name}',
                f'the services {_join_names(services)} list it',
            )


def _check_searches(candidate: configuration.Configuration) -> Faults:
    for search in candidate.searches.values():
        place = f'search {search.name}'
        yield from _check_deadline(place, search.deadline_ms)
        yield from _check_worth(place, search.worth)
        yield from _check_fraction(
            place, 'minimum_coverage', search.minimum_coverage
        )
        if search.index not in candidate.indexes:
            yield faults.Fault(
                _Number.UNKNOWN_INDEX,
                place,
                f'unknown index {search.index!r}; there are '
                f'{_join_names(candidate.indexes)}',
            )
        for name, count in collections.Counter(search.services).items():
            if name not in candidate.services:
                yield _unknown_service_fault(place, name)
            if count > 1:
                yield faults.Fault(
                    _Number.DUPLICATE_NAME,
                    place,
                    f'service {name!r} is listed {count} times',
                )


def _check_actions(candidate: configuration.Configuration) -> Faults:
    for action in candidate.actions.values():
        place = f'action {action.name}'
        yield from _check_deadline(place, action.deadline_ms)
        yield from _check_worth(place, action.worth)
        if action.service not in candidate.services:
            yield _unknown_service_fault(place, action.service)


def _check_customers(candidate: configuration.Configuration) -> Faults:
    for customer in candidate.customers.values():
        yield from _check_fraction(
            f'customer {customer.name}', 'share', customer.share
        )
    total = math.fsum(c.share for c in candidate.customers.values())
    if total > 1 + 1e-9:
        yield faults.Fault(
            _Number.SHARES_ABOVE_ONE,
            'customers',
            f'the shares add up to {total:g}',
        )
    if _DEFAULT_CUSTOMER not in candidate.customers:
        yield faults.Fault(
            _Number.NO_DEFAULT_CUSTOMER,
            'customers',
            f'no customer {_DEFAULT_CUSTOMER!r}, which stands for callers '
            'that name none',
        )


def _check_deadline(place: str, deadline_ms: float) -> Faults:
    if not 0 < deadline_ms < math.inf:
        yield faults.Fault(
            _Number.DEADLINE,
            place,
            f'deadline_ms: {deadline_ms} is not a positive number',
        )


def _check_worth(place: str, worth: float) -> Faults:
    if not 0 <= worth < math.inf:
        yield faults.Fault(
            _Number.WORTH, place, f'worth: {worth} is not a number from 0'
        )


def _check_fraction(place: str, name: str, value: float) -> Faults:
    if not 0 <= value <= 1:
        yield faults.Fault(
            _Number.FRACTION,
            place,
            f'{name}: {value} is not a number from 0 to 1',
        )


def _unknown_service_fault(place: str, name: str) -> faults.Fault:
    return faults.Fault(
        _Number.UNKNOWN_SERVICE, place, f'unknown service {name!r}'
    )


def _used_services(candidate: configuration.Configuration) -> set[str]:
    used = {action.service for action in candidate.actions.values()}
    for search in candidate.searches.values():
        used.update(search.services)
    return used


def _join_names(names: collections.abc.Iterable[str]) -> str:
    return ', '.join(sorted(names)) or 'none'


_CHECKS = (
    _check_version,
    _check_services,
    _check_duplicates,
    _check_searches,
    _check_actions,
    _check_customers,
    index_checks.check_indexes,
    index_checks.check_spans,
)
