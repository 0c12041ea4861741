"""What the library prints is read back without loss."""

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
_WHOLE = strategies.integers(-(2**53), 2**53)


@strategies.composite
def _deployments(draw: strategies.DrawFn) -> builder.Deployment:
    described = builder.Deployment(version=draw(_WHOLE), region='r')
    centres = draw(_NAMES)
    for centre in centres:
        described.data_centre(
            centre, region=draw(strategies.sampled_from('rs'))
        )
    services = draw(_NAMES)
    for name in services:
        described.service(
            name,
            {c: draw(_NAMES) for c in centres},
            slots=draw(_WHOLE),
            connections=draw(_WHOLE),
            connect_ms=draw(_FLOATS | _WHOLE),
        )
    for number in draw(strategies.sets(_WHOLE, max_size=3)):
        described.snapshot(
            'i',
            number,
            [
                snapshots.Shard(name, services[0], draw(_WHOLE), draw(_WHOLE))
                for name in draw(_NAMES)
            ],
        )
    for name in draw(_NAMES):
        described.search(
            name,
            index='i',
            spans=draw(strategies.permutations(services)),
            deadline_ms=draw(_FLOATS | _WHOLE),
            coverage=draw(strategies.sampled_from(configuration.CoverageGoal)),
            minimum_coverage=draw(_FLOATS),
            worth=draw(_FLOATS),
        )
        described.action(name, service=services[0], deadline_ms=draw(_FLOATS))
        described.customer(name, share=draw(_FLOATS))
    described.out_of_service(
        *draw(strategies.sets(strategies.sampled_from(centres)))
    )
    return described


@hypothesis.given(_deployments())
def test_printed_document_is_read_back(described: builder.Deployment) -> None:
    """Guards against a document that says something else than the code."""
    built = described.build()
    text = printing.printed(built)
    assert printing.parse(text) == built
    assert printing.printed(printing.parse(text)) == text


@hypothesis.given(_deployments())
def test_each_entity_has_a_line(described: builder.Deployment) -> None:
    """Guards against a change that hides in a long line."""
    built = described.build()
    lines = printing.printed(built).splitlines()
    searchers = [x for s in built.services.values() for x in s.searchers]
    assert sum('"address":' in line for line in lines) == len(searchers)
    assert not any(line.count('"name":') > 1 for line in lines)


def _described() -> builder.Deployment:
    described = builder.Deployment(version=1, region='r')
    described.data_centre('dc-a')
    described.service('s', {'dc-a': ['127.0.0.1:1']}, slots=2, connections=25)
    described.snapshot('i', 1, builder.even_shards(['s'], 2, 5))
    return described


def test_same_name_twice_is_refused() -> None:
    """Guards against a copied line that replaces the first one."""
    described = _described()
    with pytest.raises(
        errors.ConfigurationInvalid, match="'dc-a' is defined twice"
    ):
        described.data_centre('dc-a')
    with pytest.raises(
        errors.ConfigurationInvalid, match='snapshot 1 is defined twice'
    ):
        described.snapshot('i', 1, ())


def test_unknown_name_out_of_service_is_refused() -> None:
    """Guards against a typing error that leaves a data centre in service."""
    described = _described()
    described.out_of_service('dc-z')
    with pytest.raises(errors.ConfigurationInvalid, match=r"'dc-z'.*dc-a"):
        described.build()


def test_single_searcher_out_of_service() -> None:
    """Guards against a searcher name that the library does not accept."""
    described = _described()
    described.out_of_service('s-dc-a-1')
    (searcher,) = described.build().services['s'].searchers
    assert (searcher.name, searcher.in_service) == ('s-dc-a-1', False)


def test_even_shards_cover_all_documents() -> None:
    """Guards against documents between two shards."""
    shards = builder.even_shards(['s', 't'], 2, 10)
    assert [(s.begin, s.end) for s in shards] == [
        (0, 2), (2, 5), (5, 7), (7, 10),
    ]  # fmt: skip
    assert [s.service for s in shards] == ['s', 's', 't', 't']
