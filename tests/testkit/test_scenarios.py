"""Runs the scenario files, each of which describes one failure."""

import pathlib

import pytest

from corianderport_testkit.process import scenario_runner
from corianderport_testkit.version import scenarios

_FOLDER = pathlib.Path(__file__).parent / 'scenarios'
_PATHS = sorted(_FOLDER.glob('*.scenario'))


@pytest.mark.parametrize('path', _PATHS, ids=lambda path: path.stem)
def test_scenario(path: pathlib.Path) -> None:
    """Guards against the failure that the comment of the file describes."""
    with scenario_runner.ScenarioRunner() as runner:
        runner.run(path.read_text('utf-8'))


@pytest.mark.parametrize('name', ['searchers_killed', 'truncated'])
def test_naive_tier_answers_alike(name: str) -> None:
    """Guards against a naive tier that answers differently under faults.

    The experiments compare the tier with it. If it did not retry at another
    replica, or counted truncated shard answers, the comparison would be of
    different answers.
    """
    text = (_FOLDER / f'{name}.scenario').read_text('utf-8')
    with scenario_runner.ScenarioRunner() as runner:
        runner.run(text.replace('\nstart ', '\nstart tier=naive '))


def test_steps_keep_their_line_and_values() -> None:
    """Guards against a grammar that drops or mixes up values.

    A step that loses an option runs with the default instead, so that a
    scenario passes without its fault.
    """
    steps = scenarios.parse(
        '# comment\n\nstart hosts=2\nset a-* held=1,2 shed=true # end\n'
        'search "painted stilts" times=3'
    )
    assert [s.kind for s in steps] == [
        'start_fleet',
        'set_behaviour',
        'search',
    ]
    assert [s.line for s in steps] == [3, 4, 5]
    assert steps[1].options == {'held': (1.0, 2.0), 'shed': 'true'}
    assert steps[2].words == ('painted stilts',)


def test_unknown_step_names_its_line() -> None:
    """Guards against a misspelt step that is silently ignored.

    A scenario without that step could pass, because its fault or its check
    would be missing.
    """
    with pytest.raises(scenarios.ScenarioInvalid, match='line 2'):
        scenarios.parse('start\nexplode host-0\n')
