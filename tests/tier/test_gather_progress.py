"""GatherProgress: when a gather is answered, refused or woken."""

import pytest

from corianderport_tier.request import gather_progress


def _progress(
    answered: int, pending: int, min_coverage: float = 0.95
) -> gather_progress.GatherProgress:
    return gather_progress.GatherProgress(
        42, 42, answered, pending, min_coverage
    )


@pytest.mark.parametrize(
    ('answered', 'pending', 'enough', 'out_of_reach'),
    [
        (0, 42, False, False),
        (39, 3, False, False),
        (40, 2, True, False),
        (39, 0, False, True),
        (10, 29, False, True),
    ],
)
def test_least_share(
    answered: int, pending: int, enough: bool, out_of_reach: bool
) -> None:
    progress = _progress(answered, pending)
    assert progress.enough is enough
    assert progress.out_of_reach is out_of_reach


def test_no_part_is_no_answer() -> None:
    """Guards against a success without any part."""
    assert not _progress(0, 42, min_coverage=0.0).enough


@pytest.mark.parametrize(
    ('answered', 'pending', 'goal_reached', 'hedge_denied', 'awaited'),
    [
        (0, 42, False, False, 42),
        (20, 22, False, False, 22),
        (20, 22, False, True, 10),
        (30, 12, False, True, 12),
        (30, 12, True, False, 10),
        (39, 3, True, True, 1),
        (41, 1, True, False, 1),
    ],
)
def test_awaited_replies(
    answered: int,
    pending: int,
    goal_reached: bool,
    hedge_denied: bool,
    awaited: int,
) -> None:
    """Guards against a gather that sleeps although it could be answered."""
    progress = _progress(answered, pending)
    assert progress.awaited_replies(goal_reached, hedge_denied) == awaited
