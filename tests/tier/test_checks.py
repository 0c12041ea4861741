"""Configuration checks report each fault with its number and place."""

import collections.abc
import math
import pathlib

import attrs
import pytest

from corianderport_tier import errors
from corianderport_tier.version import checks
from corianderport_tier.version import configuration
from corianderport_tier.version import faults
from corianderport_tier.version import snapshots

_PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'result-codes.md'

Configuration = configuration.Configuration
Change = collections.abc.Callable[[Configuration], Configuration]


def _base() -> Configuration:
    def service(name: str, port: int) -> configuration.Service:
        searchers = tuple(
            configuration.Searcher(f'{name}-{c}', f'127.0.0.1:{port + n}', c)
            for n, c in enumerate(('dc-a', 'dc-b'))
        )
        return configuration.Service(
            name, 'west', configuration.Limits(2, 6), searchers
        )

    return Configuration(
        version=1,
        data_centres={
            'dc-a': configuration.DataCentre('dc-a', 'west'),
            'dc-b': configuration.DataCentre('dc-b', 'west'),
            'dc-e': configuration.DataCentre('dc-e', 'east'),
        },
        services={n: service(n, p) for n, p in (('s', 100), ('t', 200))},
        indexes={
            'i': (
                snapshots.Snapshot(
                    2,
                    (
                        snapshots.Shard('a', 's', 0, 10),
                        snapshots.Shard('b', 't', 10, 20),
                        snapshots.Shard('c', 't', 20, 20),
                    ),
                ),
                snapshots.Snapshot(
                    1,
                    (
                        snapshots.Shard('a', 's', 0, 12),
                        snapshots.Shard('b', 't', 8, 20),
                    ),
                ),
            )
        },
        searches={'q': configuration.Search('q', 'i', ('s', 't'), 100.0)},
        actions={'act': configuration.Action('act', 's', 100.0)},
        customers={'default': configuration.Customer('default', 1.0)},
    )


def _change_service(**fields: object) -> Change:
    def change(base: Configuration) -> Configuration:
        changed = attrs.evolve(base.services['s'], **fields)
        return attrs.evolve(base, services={**base.services, 's': changed})

    return change


def _change_searcher(**fields: object) -> Change:
    def change(base: Configuration) -> Configuration:
        first, *others = base.services['s'].searchers
        changed = attrs.evolve(first, **fields)
        return _change_service(searchers=(changed, *others))(base)

    return change


def _change_search(**fields: object) -> Change:
    def change(base: Configuration) -> Configuration:
        changed = attrs.evolve(base.searches['q'], **fields)
        return attrs.evolve(base, searches={'q': changed})

    return change


def _change_action(**fields: object) -> Change:
    def change(base: Configuration) -> Configuration:
        changed = attrs.evolve(base.actions['act'], **fields)
        return attrs.evolve(base, actions={'act': changed})

    return change


def _change_shard(number: int, **fields: object) -> Change:
    def change(base: Configuration) -> Configuration:
        newest, *older = base.indexes['i']
        shards = list(newest.shards)
        shards[number] = attrs.evolve(shards[number], **fields)
        changed = attrs.evolve(newest, shards=tuple(shards))
        return attrs.evolve(base, indexes={'i': (changed, *older)})

    return change


def _change_indexes(
    pick: collections.abc.Callable[
        [tuple[snapshots.Snapshot, ...]], tuple[snapshots.Snapshot, ...]
    ],
) -> Change:
    def change(base: Configuration) -> Configuration:
        return attrs.evolve(base, indexes={'i': pick(base.indexes['i'])})

    return change


def _change_customers(**shares: float) -> Change:
    customers = {n: configuration.Customer(n, s) for n, s in shares.items()}
    return lambda base: attrs.evolve(base, customers=customers)


def _out_of_service(*names: str) -> Change:
    def change(base: Configuration) -> Configuration:
        centres = {
            name: attrs.evolve(centre, in_service=name not in names)
            for name, centre in base.data_centres.items()
        }
        return attrs.evolve(base, data_centres=centres)

    return change


def _change_limits(
    slots: int, connections: int, connect_ms: float = 6.0
) -> Change:
    return _change_service(
        limits=configuration.Limits(slots, connections, connect_ms)
    )


_CASES: list[tuple[Change, str, str]] = [
    (lambda b: attrs.evolve(b, version=0), 'F01', 'version'),
    (_change_searcher(data_centre='x'), 'F02', 'service s, searcher s-dc-a'),
    (_change_search(services=('s', 't', 'x')), 'F03', 'search q'),
    (_change_action(service='x'), 'F03', 'action act'),
    (_change_shard(0, service='x'), 'F03', 'index i, snapshot 2, shard a'),
    (_change_search(index='x'), 'F04', 'search q'),
    (_change_service(region='x'), 'F05', 'service s'),
    (_change_service(searchers=()), 'F06', 'service s'),
    (_change_indexes(lambda i: ()), 'F07', 'search q'),
    (
        _change_indexes(lambda i: (attrs.evolve(i[0], shards=()), i[1])),
        'F07',
        'search q',
    ),
    (
        _change_searcher(address='127.0.0.1:200'),
        'F08',
        'address 127.0.0.1:200',
    ),
    (_change_searcher(name='t-dc-a'), 'F09', 'searcher t-dc-a'),
    (_change_shard(1, name='a'), 'F09', 'index i, snapshot 2, shard a'),
    (_change_search(services=('s', 's', 't')), 'F09', 'search q'),
    (_change_searcher(address='h:1'), 'F10', 'service s, searcher s-dc-a'),
    (
        _change_searcher(address='127.0.0.1:0'),
        'F10',
        'service s, searcher s-dc-a',
    ),
    (
        _change_searcher(address='127.0.0.1:' + '9' * 5_000),
        'F10',
        'service s, searcher s-dc-a',
    ),
    (
        _change_searcher(address='127.0.0.1'),
        'F10',
        'service s, searcher s-dc-a',
    ),
    (_change_limits(0, 25), 'F11', 'service s'),
    (_change_limits(2, 5), 'F11', 'service s'),
    (_change_limits(2, 6, 0.0), 'F11', 'service s'),
    (_change_search(minimum_coverage=1.1), 'F12', 'search q'),
    (_change_search(minimum_coverage=math.nan), 'F12', 'search q'),
    (_change_customers(default=-0.1), 'F12', 'customer default'),
    (_change_search(worth=-1.0), 'F13', 'search q'),
    (_change_action(worth=math.inf), 'F13', 'action act'),
    (_change_search(deadline_ms=0.0), 'F14', 'search q'),
    (_change_action(deadline_ms=math.nan), 'F14', 'action act'),
    (_change_shard(0, begin=-1), 'F15', 'index i, snapshot 2, shard a'),
    (_change_shard(0, begin=11), 'F15', 'index i, snapshot 2, shard a'),
    (
        _change_shard(2, begin=15, end=15),
        'F16',
        'index i, snapshot 2, shard c',
    ),
    (_change_indexes(lambda i: (i[1], i[0])), 'F17', 'index i'),
    (_change_indexes(lambda i: (i[0], i[0])), 'F17', 'index i'),
    (_out_of_service('dc-a', 'dc-b'), 'W01', 'service s'),
    (
        lambda b: _change_search(services=('s',))(b),
        'W02',
        'service t',
    ),
    (
        _change_indexes(
            lambda i: (i[0], attrs.evolve(i[1], shards=i[1].shards[1:]))
        ),
        'W03',
        'search q',
    ),
    (
        _change_searcher(data_centre='dc-e'),
        'W04',
        'service s, searcher s-dc-a',
    ),
    (_change_customers(other=0.5), 'W05', 'customers'),
    (_change_customers(default=0.5, other=0.6), 'W06', 'customers'),
]


def test_base_has_no_finding() -> None:
    """Guards against refusing valid shard maps.

    Some shards of the base configuration overlap or are empty, which is
    allowed.
    """
    assert checks.check(_base()) == ()


@pytest.mark.parametrize(('change', 'number', 'place'), _CASES)
def test_finding_names_its_place(
    change: Change, number: str, place: str
) -> None:
    """Guards against applying a configuration with an undetected fault.

    Each case makes one mistake in the base configuration.
    """
    candidate = change(_base())
    findings = checks.check(candidate)
    assert (number, place) in [(f.number.value, f.place) for f in findings]
    if number.startswith('F'):
        with pytest.raises(errors.ConfigurationInvalid, match=place):
            checks.require_valid(candidate)
    else:
        checks.require_valid(candidate)


def test_one_data_centre_out_of_service_is_no_finding() -> None:
    """Guards against warnings during routine maintenance.

    One data centre is taken out of service; the other one still serves
    every service.
    """
    assert checks.check(_out_of_service('dc-a')(_base())) == ()


def test_long_lists_are_cut() -> None:
    """Guards against an error message of unbounded length.

    A mistake such as a misspelt region causes one fault per service.
    """
    base = _base()
    services = {
        f's{n}': attrs.evolve(base.services['s'], name=f's{n}', region='x')
        for n in range(50)
    }
    candidate = attrs.evolve(base, services={**base.services, **services})
    with pytest.raises(errors.ConfigurationInvalid, match='and 34 more'):
        checks.require_valid(candidate)


def test_every_number_has_a_case_and_a_line_on_the_page() -> None:
    """Guards against an undocumented or untested fault number.

    A number is added to the code, but not to the cases or the page.
    """
    numbers = {number.value for number in faults.FaultNumber}
    assert {number for _, number, _ in _CASES} == numbers
    listed = [
        tuple(cell.strip() for cell in line.split('|')[1:3])
        for line in _PAGE.read_text().splitlines()
        if line.startswith(('| F', '| W'))
    ]
    assert listed == [(n.value, n.name) for n in faults.FaultNumber]
