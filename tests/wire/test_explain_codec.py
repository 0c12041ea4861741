"""Tests of the explanations that the metrics address serves."""

import json

import pytest

from corianderport_tier.process import ratings
from corianderport_tier.request import explanation
from corianderport_wire.request import explain_codec

_RATING = ratings.Rating('s1', 'dc-a', '', 2, 0.03, 1.5, 4.5, None)
_EXPLANATION = explanation.Explanation(
    7,
    explanation.RouteView(
        'find', 'a.example', '/find/', 0, True, False, 1.0, 0.1
    ),
    '',
    0.01,
    (
        explanation.ServiceView(
            'stock', 1.0, 'least-loaded', 's1', True, (_RATING,)
        ),
    ),
)


def test_query_and_answer() -> None:
    """Guards against a request that is explained as another one."""
    asked: list[tuple[str, str, int]] = []

    def explain(host: str, path: str, size: int) -> explanation.Explanation:
        asked.append((host, path, size))
        return _EXPLANATION

    target = (
        b'/explain?method=POST&host=A.example&path=/find/x%3Fq%3D1'
        b'&header=Content-Length:%20500&header=accept:*/*'
    )
    response = explain_codec.respond(target, explain)
    assert response.status == 200
    assert asked == [('a.example', '/find/x', 500)]
    fields = json.loads(response.body)
    assert fields['method'] == 'POST'
    assert fields['version'] == 7
    assert fields['route']['priority'] == 0
    assert fields['services'][0]['searchers'][0]['cost'] == 4.5


@pytest.mark.parametrize(
    ('query', 'named'),
    [
        (b'path=/x', 'host'),
        (b'host=a.example&path=x', 'path'),
        (b'host=a.example&path=/x&header=content-length:-5', 'length'),
        (b'host=a.example&path=/x&header=content-length:%C2%B2', 'length'),
    ],
)
def test_invalid_query_is_named(query: bytes, named: str) -> None:
    """Guards against an explanation of a request that nobody asked about."""
    response = explain_codec.respond(
        b'/explain?' + query, lambda host, path, size: _EXPLANATION
    )
    assert response.status == 400
    assert named in json.loads(response.body)['error']
