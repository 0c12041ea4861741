"""Tests of describing deployments and printing their documents."""

import string

import hypothesis
from hypothesis import strategies
import pytest

from corianderport_operator.version import builder
from corianderport_operator.version import printing
from corianderport_tier import errors
from corianderport_tier.version import configuration
from corianderport_tier.version import snapshots

_NAMES = strategies.lists(
    strategies.text(string.printable + 'äµ', min_size=1, max_size=8),
    min_size=1,
    max_size=4,
    unique=True,
)
_FLOATS = strategies.floats(allow_nan=False, allow_infinity=False)
_INTEGERS = strategies.integers(-(2**53), 2**53)


@strategies.composite
def _deployments(draw: strategies.DrawFn) -> builder.Deployment:
    deployment = builder.Deployment(version=draw(_INTEGERS), region='r')
    centres = draw(_NAMES)
    for centre in centres:
        deployment.data_centre(
            centre, region=draw(strategies.sampled_from('rs'))
        )
    services = draw(_NAMES)
    for name in services:
        deployment.service(
            name,
            {c: draw(_NAMES) for c in centres},
            slots=draw(_INTEGERS),
            connections=draw(_INTEGERS),
            connect_ms=draw(_FLOATS | _INTEGERS),
        )
    for number in draw(strategies.sets(_INTEGERS, max_size=3)):
        deployment.snapshot(
            'i',
            number,
            [
                snapshots.Shard(
                    name, services[0], draw(_INTEGERS), draw(_INTEGERS)
                )
                for name in draw(_NAMES)
            ],
        )
    for name in draw(_NAMES):
        deployment.search(
            name,
            index='i',
            spans=draw(strategies.permutations(services)),
            deadline_ms=draw(_FLOATS | _INTEGERS),
            coverage=draw(strategies.sampled_from(configuration.CoverageGoal)),
            minimum_coverage=draw(_FLOATS),
            worth=draw(_FLOATS),
        )
        deployment.action(name, service=services[0], deadline_ms=draw(_FLOATS))
        deployment.customer(name, share=draw(_FLOATS))
    deployment.out_of_service(
        *draw(strategies.sets(strategies.sampled_from(centres)))
    )
    return deployment


@hypothesis.given(_deployments())
def test_printed_document_is_read_back(deployment: builder.Deployment) -> None:
    """Guards against information that the document loses or changes.

    A value that is rounded, left out or wrongly escaped when the document is
    printed would reach the hosts as another configuration.
    """
    config = deployment.build()
    text = printing.printed(config)
    assert printing.parse(text) == config
    assert printing.printed(printing.parse(text)) == text


@hypothesis.given(_deployments())
def test_each_entity_has_its_own_line(deployment: builder.Deployment) -> None:
    """Guards against changes that are hard to see in a line-based diff.

    Several searchers or other entities on one line would show up as one
    changed line, whichever of them was edited.
    """
    config = deployment.build()
    lines = printing.printed(config).splitlines()
    searchers = [x for s in config.services.values() for x in s.searchers]
    assert sum('"address":' in line for line in lines) == len(searchers)
    assert not any(line.count('"name":') > 1 for line in lines)


def _example_deployment() -> builder.Deployment:
    deployment = builder.Deployment(version=1, region='r')
    deployment.data_centre('dc-a')
    deployment.service('s', {'dc-a': ['127.0.0.1:1']}, slots=2, connections=25)
    deployment.snapshot('i', 1, builder.even_shards(['s'], 2, 5))
    return deployment


def test_duplicate_name_is_refused() -> None:
    """Guards against a second definition that silently replaces the first.

    This happens when a definition is copied and its name is not changed.
    """
    deployment = _example_deployment()
    with pytest.raises(
        errors.ConfigurationInvalid, match="'dc-a' is defined twice"
    ):
        deployment.data_centre('dc-a')
    with pytest.raises(
        errors.ConfigurationInvalid, match='snapshot 1 is defined twice'
    ):
        deployment.snapshot('i', 1, ())


def test_unknown_name_out_of_service_is_refused() -> None:
    """Guards against a misspelt name that leaves a data centre in service.

    Without the check, the name would match no entity and be ignored.
    """
    deployment = _example_deployment()
    deployment.out_of_service('dc-z')
    with pytest.raises(errors.ConfigurationInvalid, match=r"'dc-z'.*dc-a"):
        deployment.build()


def test_single_searcher_out_of_service() -> None:
    """Guards against generated searcher names that are not accepted.

    The builder derives the names of searchers, so ``out_of_service`` has to
    look up the derived names, not only those that the script contains.
    """
    deployment = _example_deployment()
    deployment.out_of_service('s-dc-a-1')
    (searcher,) = deployment.build().services['s'].searchers
    assert (searcher.name, searcher.in_service) == ('s-dc-a-1', False)


def test_even_shards_cover_all_documents() -> None:
    """Guards against gaps between adjacent shards.

    Ten documents do not divide evenly into four shards, so bounds that are
    rounded separately for each shard would lose documents.
    """
    shards = builder.even_shards(['s', 't'], 2, 10)
    assert [(s.begin, s.end) for s in shards] == [
        (0, 2), (2, 5), (5, 7), (7, 10),
    ]  # fmt: skip
    assert [s.service for s in shards] == ['s', 's', 't', 't']
