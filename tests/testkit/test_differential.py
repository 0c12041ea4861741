"""Tests that the tier's answers equal those of a reference search."""

import collections.abc
import time

import hypothesis
from hypothesis import strategies
import pytest

from corianderport_testkit.process import fleet
from corianderport_testkit.version import corpus
from corianderport_testkit.version import deployments
from corianderport_testkit.version import naive

_DEPLOYMENT = deployments.Deployment(
    services=3, shards=2, documents=300, deadline_ms=30_000.0
)
_WORDS = sorted(
    {
        word
        for document in corpus.documents(_DEPLOYMENT.documents, 1)
        for word in document.text.replace(',', '').split()
    }
)


@pytest.fixture(scope='module')
def running() -> collections.abc.Iterator[fleet.Fleet]:
    """Two daemons in front of nine searchers."""
    with fleet.Fleet(_DEPLOYMENT, hosts=2) as started:
        for name in started.hosts:
            while started.search(name, 'x', 10_000.0).body['code'] != 0:
                time.sleep(0.05)
        yield started


@hypothesis.settings(max_examples=40)
@hypothesis.given(
    words=strategies.lists(strategies.sampled_from(_WORDS), max_size=4),
    limit=strategies.integers(1, 50),
    host=strategies.sampled_from(['host-0', 'host-1']),
)
def test_same_hits_as_naive_search(
    running: fleet.Fleet, words: list[str], limit: int, host: str
) -> None:
    """No hit may be lost, duplicated or misordered.

    The tier merges the hits of all shards, while the reference search has
    a single index.
    """
    query = ' '.join(words)
    body = running.search(host, query, 30_000.0, limit).body
    expected = naive.search_all(_DEPLOYMENT, 1, query, limit)
    assert body['whole'] and body['coverage']['fraction'] == 1.0
    assert [h['document'] for h in body['hits']] == [
        h.document for h in expected
    ]


@pytest.mark.parametrize(
    ('path', 'fields', 'name'),
    [
        ('/v1/search/stock', {'query': 5}, 'MALFORMED_REQUEST'),
        ('/v1/search/none', {'query': 'x'}, 'UNKNOWN_SERVICE'),
        ('/v1/search/stock', {'query': 'x' * 70_000}, 'BODY_TOO_LARGE'),
        (
            '/v1/search/stock',
            {'query': 'x', 'deadline_ms': -1},
            'DEADLINE_PAST',
        ),
    ],
)
def test_bad_requests_are_refused(
    running: fleet.Fleet, path: str, fields: dict[str, object], name: str
) -> None:
    """Invalid input must get its result code and not end the process.

    The next search of the same host must succeed.
    """
    address = running.hosts['host-0'].caller_address
    body = running.post(address, path, fields).body
    assert (body['name'], body['ran']) == (name, 'no')
    assert running.search('host-0', 'stilts', 30_000.0).body['whole']
