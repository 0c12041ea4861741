"""Tests of RegistryRelay, which relays store changes to other hosts."""

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.process import registry_relay
from corianderport_tier.version import registrations


def _entry(revision: int) -> registrations.StoredEntry:
    return registrations.StoredEntry(f'k{revision}', revision, b'')


def _changes(
    *revisions: int, returned: bool = False
) -> registrations.StoredEntries:
    return registrations.StoredEntries(
        [_entry(r) for r in revisions], max(revisions), returned
    )


class _Case:
    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        self.relay = registry_relay.RegistryRelay(self.clock)

    def registry_changes(self, after: int) -> list[int]:
        found = self.relay.registry_changes(after, 0.0)
        return [e.revision for e in found.entries]


@pytest.fixture(name='case')
def _setting() -> _Case:
    return _Case()


def test_host_that_has_read_nothing_refuses(case: _Case) -> None:
    """Guards against an empty reply that looks like no changes."""
    with pytest.raises(errors.NotReady):
        case.registry_changes(0)


def test_changes_after_a_revision_are_relayed(case: _Case) -> None:
    case.relay.restart(4)
    case.relay.take(4, _changes(5, 6))
    case.relay.take(6, _changes(7))
    assert case.registry_changes(5) == [6, 7]
    assert case.relay.registry_changes(7, 0.0).revision == 7


def test_gap_in_the_history_is_reported(case: _Case) -> None:
    """Guards against changes that a follower never receives."""
    case.relay.restart(4)
    case.relay.take(4, _changes(5))
    # The changes up to 9 came from another host.
    case.relay.take(9, _changes(10))
    with pytest.raises(errors.HistoryGone):
        case.registry_changes(5)
    assert case.registry_changes(9) == [10]


def test_history_is_bounded(case: _Case) -> None:
    case.relay.restart(0)
    for revision in range(1, 400):
        case.relay.take(revision - 1, _changes(revision))
    with pytest.raises(errors.HistoryGone):
        case.registry_changes(1)
    assert case.registry_changes(390) == list(range(391, 400))


def test_stale_host_refuses(case: _Case) -> None:
    """Guards against followers of a reader that cannot reach the store."""
    case.relay.restart(4)
    case.clock.advance(registry_relay.MAX_AGE_S + 0.1)
    with pytest.raises(errors.NotReady):
        case.registry_changes(4)


def test_end_of_an_outage_is_reported(case: _Case) -> None:
    case.relay.restart(4)
    case.relay.take(4, _changes(5, returned=True))
    case.relay.take(5, _changes(6))
    assert case.relay.registry_changes(4, 0.0).returned
    assert not case.relay.registry_changes(5, 0.0).returned
