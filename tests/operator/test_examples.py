"""Tests of the example deployments."""

import types

import pytest

from corianderport_operator.examples import board
from corianderport_operator.examples import cooperative
from corianderport_operator.version import printing
from corianderport_tier.version import checks


@pytest.mark.parametrize(
    ('example', 'searchers', 'connections', 'services'),
    [(board, 86, 2_975, 27), (cooperative, 82, 2_225, 27)],
)
def test_example_is_valid_and_has_the_size_of_its_deployment(
    example: types.ModuleType, searchers: int, connections: int, services: int
) -> None:
    """Guards against examples with findings or of an unrealistic size.

    Operators copy an example as the start of their own configuration, so an
    edit that leaves a finding in it or drops services reaches later copies.
    """
    config = example.describe().build()
    assert checks.check(config) == ()
    assert len(config.services) == services
    assert len(config.data_centres) == 3
    assert searchers == sum(len(s.searchers) for s in config.services.values())
    assert connections == sum(
        s.limits.connections * len(s.searchers)
        for s in config.services.values()
    )


@pytest.mark.parametrize('example', [board, cooperative])
def test_example_prints_its_document(
    example: types.ModuleType, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an example whose printed document hosts refuse.

    Other output of the script, or a document in another order, would get
    into the file that is published.
    """
    example.main()
    text = capsys.readouterr().out
    assert printing.parse(text) == example.describe().build()
    assert printing.printed(printing.parse(text)) == text
