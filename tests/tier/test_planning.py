"""A search uses the newest snapshot that all its services hold."""

import pytest

from corianderport_testkit import clock as manual_clock
from corianderport_tier import errors
from corianderport_tier.process import snapshot_availability
from corianderport_tier.request import planning
from corianderport_tier.version import configuration
from corianderport_tier.version import snapshots

_SEARCH = configuration.Search('stock', 'catalogue', ('a', 'b'), 100.0)
_PUBLISHED = tuple(snapshots.Snapshot(number, ()) for number in (2, 3, 1))


def _gone(
    *pairs: tuple[str, int], index: str = 'catalogue'
) -> frozenset[snapshot_availability.ServiceSnapshot]:
    return frozenset(
        snapshot_availability.ServiceSnapshot(index, service, number)
        for service, number in pairs
    )


@pytest.mark.parametrize(
    ('gone', 'chosen'),
    [
        (_gone(), 3),
        (_gone(('a', 3)), 2),
        (_gone(('a', 3), ('b', 2)), 1),
        (_gone(('a', 3), ('b', 2), ('a', 1), ('b', 1)), 3),
        (_gone(('other', 3)), 3),
        (_gone(('a', 3), index='another'), 3),
    ],
)
def test_newest_snapshot_that_is_held(
    gone: frozenset[snapshot_availability.ServiceSnapshot], chosen: int
) -> None:
    """Guards against choosing a snapshot that searchers do not hold.

    Searchers of some services have reported a snapshot gone.
    """
    snapshot = planning.choose_snapshot(_PUBLISHED, _SEARCH, gone)
    assert snapshot.number == chosen


def test_index_without_a_snapshot_is_refused() -> None:
    """Guards against reporting an empty answer as complete.

    Without a snapshot there are no shards, so none would be missing.
    """
    with pytest.raises(errors.NoUpstream, match='catalogue'):
        planning.choose_snapshot((), _SEARCH, frozenset())


def test_reports_expire() -> None:
    """Guards against never using a snapshot again.

    A searcher reports a new snapshot gone only because it has not loaded
    it yet.
    """
    clock = manual_clock.ManualClock()
    availability = snapshot_availability.SnapshotAvailability(clock)
    gone = _gone(('a', 3))
    availability.report_gone(gone)
    clock.advance(4.0)
    assert availability.gone() == gone
    clock.advance(2.0)
    assert availability.gone() == frozenset()
