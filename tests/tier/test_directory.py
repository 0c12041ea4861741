"""Tests that the directory applies published entries in revision order."""

import random

import attrs
import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import decision_log
from corianderport_tier.process import directory
from corianderport_tier.process import fleet_share
from corianderport_tier.process import searcher_state
from corianderport_tier.process import service_searchers
from corianderport_tier.version import registrations

from . import entries

_BOUNDS = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5)


class _Pool:
    def __init__(self) -> None:
        self.closed = False

    def submit(self, job: object, reuse: object = None) -> None:
        raise AssertionError('this test must not send requests')

    def limit_connections(self, limit: int) -> None:
        self.limit = limit

    def limit_idle_time(self, idle_s: float) -> None:
        return

    def close(self) -> None:
        self.closed = True


class _Environment:
    """A directory whose services have fake connection pools."""

    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        share = fleet_share.FleetShare(
            _BOUNDS, 'h1', lambda: ('h1',), self.clock
        )
        self.pools: list[_Pool] = []

        def open_pool(
            registration: registrations.Registration, limit: int
        ) -> _Pool:
            self.pools.append(_Pool())
            return self.pools[-1]

        self.log = decision_log.DecisionLog()
        self.directory = directory.Directory(
            lambda name: service_searchers.ServiceSearchers(
                name,
                'dc-a',
                share,
                open_pool,
                self.clock,
                random.Random(1),
            ),
            self.clock,
            self.log,
        )

    def apply(
        self, *changes: registrations.Entry, returned: bool = False
    ) -> None:
        self.directory.apply(changes, returned)

    def usable(self, service: str = 'stock') -> set[str]:
        """Return the searchers that would get a request."""
        searchers = self.directory.service(service)
        names: set[str] = set()
        while searchers is not None:
            choice = searchers.choose(names, entries.request_class(0.01))
            if isinstance(choice, service_searchers.NoChoice):
                break
            searchers.finish(choice, searcher_state.SendResult(failed=False))
            names.add(choice.state.name)
        return names


@pytest.fixture
def environment() -> _Environment:
    return _Environment()


def test_older_entry_of_a_searcher_is_ignored(
    environment: _Environment,
) -> None:
    """A removed searcher must not be restored by an older entry.

    The older entry may arrive later, from another host.
    """
    ready = entries.registration('s1')
    removal = entries.entry(7, None, 'servers/s1')
    environment.apply(entries.entry(5, ready), removal)
    environment.apply(entries.entry(6, ready))
    assert environment.usable() == set()
    environment.apply(entries.entry(8, ready))
    assert environment.usable() == {'s1'}


def test_routing_never_goes_back(environment: _Environment) -> None:
    """The routing must not return to an older version.

    The older version is published under a newer revision, and then the
    entry of the routing is removed.
    """
    route = entries.route()
    environment.apply(entries.entry(5, entries.routing(4, route)))
    environment.apply(entries.entry(9, entries.routing(3, route)))
    environment.apply(entries.entry(10, None, 'routing'))
    assert environment.directory.routing is not None
    assert environment.directory.routing.version == 4


def test_draining_and_out_of_service_searchers_get_nothing(
    environment: _Environment,
) -> None:
    """A searcher must get nothing if it drains or its data centre is out.

    A data centre is taken out by an entry of its own, while the entries of
    its searchers stay unchanged.
    """
    environment.apply(
        entries.entry(1, entries.registration('s1')),
        entries.entry(2, entries.registration('s2', data_centre='dc-b')),
        entries.entry(3, entries.registration('s3', draining=True)),
    )
    assert environment.usable() == {'s1', 's2'}
    environment.apply(entries.entry(4, registrations.OutOfService('dc-b')))
    assert environment.usable() == {'s1'}
    environment.apply(entries.entry(5, None, 'out/dc-b'))
    assert environment.usable() == {'s1', 's2'}


def test_lapsed_entries_are_used_until_the_reregistration_time_ends(
    environment: _Environment,
) -> None:
    """Entries missing after an outage of the store may be registered again.

    Their searchers are not necessarily down, so they stay in use for a
    limited time.
    """
    environment.apply(
        entries.entry(1, entries.registration('s1')),
        entries.entry(2, entries.registration('s2')),
    )
    empty = registrations.Listing((), 9)
    environment.directory.replace('servers/', empty, returned=True)
    assert environment.usable() == {'s1', 's2'}
    environment.apply(entries.entry(10, entries.registration('s1')))
    environment.clock.advance(2.1)
    environment.directory.expire()
    assert environment.usable() == {'s1'}


def test_an_entry_that_is_gone_in_steady_state_is_dropped_at_once(
    environment: _Environment,
) -> None:
    """A searcher without an entry must not stay in use.

    The platform was available, so an outage does not explain that the entry
    is missing.
    """
    environment.apply(entries.entry(1, entries.registration('s1')))
    environment.directory.replace(
        'servers/', registrations.Listing((), 9), returned=False
    )
    assert environment.usable() == set()
    assert environment.pools[0].closed


def test_entry_newer_than_the_listing_stays(environment: _Environment) -> None:
    """A change may be known before an older listing is complete.

    The pages of a listing are not a consistent snapshot.
    """
    environment.apply(entries.entry(12, entries.registration('s1')))
    environment.directory.replace(
        'servers/', registrations.Listing((), 9), returned=False
    )
    assert environment.usable() == {'s1'}


def test_restarted_searcher_gets_new_state(environment: _Environment) -> None:
    """The connections of an ended process must not be used.

    The new process registers under the same key, with a new start time.
    """
    environment.apply(
        entries.entry(1, entries.registration('s1', started_ms=1))
    )
    environment.apply(
        entries.entry(2, entries.registration('s1', started_ms=2))
    )
    assert [p.closed for p in environment.pools] == [True, False]


def test_unreadable_entry_removes_the_searcher(
    environment: _Environment,
) -> None:
    """A searcher must not be used with the values of an older entry.

    The entry that replaces it cannot be read. An unreadable entry of an
    unknown searcher adds none.
    """
    environment.apply(
        entries.entry(1, entries.registration('s1')),
        entries.entry(2, registrations.Unreadable('x'), 'servers/s2'),
        entries.entry(3, registrations.Unreadable('x'), 'servers/s1'),
    )
    assert environment.usable() == set()


def test_unreadable_entry_is_logged_once(environment: _Environment) -> None:
    """Guards against a log line for each read of the same entry."""
    odd = entries.entry(2, registrations.Unreadable('odd'), 'servers/s2')
    for revision in range(2, 12):
        environment.directory.replace(
            'servers/', registrations.Listing([odd], revision), False
        )
        environment.apply(odd)
    kinds = [d.kind for d in environment.log.recent()]
    assert kinds == ['unreadable']


def test_directory_is_complete_with_routing_and_a_searcher(
    environment: _Environment,
) -> None:
    """The directory must not be complete before a searcher is known.

    The routing may be read before the first searcher.
    """
    environment.apply(entries.entry(1, entries.routing(1, entries.route())))
    assert not environment.directory.complete
    environment.apply(entries.entry(2, entries.registration('s1')))
    assert environment.directory.complete


def test_data_centre_that_returns_has_cold_searchers(
    environment: _Environment,
) -> None:
    """The searchers may have restarted while they were out of service."""
    route = entries.route()
    cold = attrs.evolve(
        entries.routing(1, route),
        services={'stock': entries.parameters(cold_rate=1.0)},
    )
    environment.apply(
        entries.entry(1, cold),
        entries.entry(2, entries.registration('s1')),
        entries.entry(3, registrations.OutOfService('dc-a')),
    )
    assert environment.usable() == set()
    environment.apply(entries.entry(4, None, 'out/dc-a'))
    searchers = environment.directory.service('stock')
    assert searchers is not None
    first = searchers.choose((), entries.request_class(0.01))
    assert isinstance(first, service_searchers.Choice)
    assert (
        searchers.choose((), entries.request_class(0.01))
        is service_searchers.NoChoice.COLD
    )


def test_version_waits_for_the_searchers_of_a_new_service(
    environment: _Environment,
) -> None:
    """A new version must not cause refusals until searchers register.

    The version is published before the searchers of its new service
    register.
    """
    old, new = entries.route(('old',)), entries.route(('new',))
    environment.apply(
        entries.entry(1, entries.registration('s1', 'old')),
        entries.entry(2, entries.routing(1, old)),
        entries.entry(3, entries.routing(2, new)),
    )
    assert environment.directory.routing == entries.routing(1, old)
    environment.apply(entries.entry(4, entries.registration('s2', 'new')))
    assert environment.directory.routing == entries.routing(2, new)


def test_version_does_not_wait_beyond_its_time(
    environment: _Environment,
) -> None:
    """A version must be in force on all hosts within seconds.

    This also holds if its services have no searcher. A further version must
    not extend the wait.
    """
    environment.apply(
        entries.entry(1, entries.registration('s1', 'old')),
        entries.entry(2, entries.routing(1, entries.route(('old',)))),
        entries.entry(3, entries.routing(2, entries.route(('new',)))),
    )
    environment.clock.advance(1.0)
    environment.apply(
        entries.entry(4, entries.routing(3, entries.route(('newer',))))
    )
    environment.directory.expire()
    assert environment.directory.routing is not None
    assert environment.directory.routing.version == 1
    environment.clock.advance(0.6)
    environment.directory.expire()
    assert environment.directory.routing.version == 3
