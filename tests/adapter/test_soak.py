"""Entry hosts as processes under overlapping faults; see ``soak``."""

import pathlib

import pytest

from .soak.process import checks
from .soak.process import run
from .soak.version import timeline


def _check(plan: timeline.Timeline, directory: pathlib.Path) -> run.Result:
    result = run.run(plan, directory, checks.GUARANTEES)
    assert not result.violations, f'{plan}\n{result.violations}'
    return result


def test_without_faults(tmp_path: pathlib.Path) -> None:
    """Guards against checks that fail, or see nothing, without a fault."""
    result = _check(timeline.without_faults(2, 3.0), tmp_path)
    assert {sent.status for sent in result.record.sent} >= {200}
    assert result.record.runs


@pytest.mark.parametrize('seed', [3, 4, 6])
def test_faults_of_a_seed(tmp_path: pathlib.Path, seed: int) -> None:
    """Guards against guarantees that fail when faults overlap."""
    _check(timeline.generate(seed), tmp_path)


def test_same_seed_gives_same_timeline() -> None:
    """Guards against a seed that cannot be replayed."""
    for seed in range(200):
        plan = timeline.generate(seed)
        assert str(plan) == str(timeline.generate(seed))
        assert len(plan.events) <= 4
        assert 6.0 <= plan.length_s <= 10.0
