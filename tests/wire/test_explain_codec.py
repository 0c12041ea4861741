"""Tests of the explanations that the metrics address serves."""

import json

import pytest

from corianderport_tier.process import quota_outlook
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
    2.5,
    explanation.KeyView(
        True, '', 'w', 0, quota_outlook.QuotaOutlook(5.0, 10.0, 3)
    ),
)
_KEY = explanation.GivenKey('secret')


def test_query_and_answer() -> None:
    """Guards against a request that is explained as another one."""
    asked: list[tuple[str, str, int, explanation.GivenKey | None]] = []

    def explain(
        host: str, path: str, size: int, given: explanation.GivenKey | None
    ) -> explanation.Explanation:
        asked.append((host, path, size, given))
        return _EXPLANATION

    target = (
        b'/explain?method=POST&host=A.example&path=/find/x%3Fq%3D1'
        b'&header=Content-Length:%20500&header=accept:*/*'
    )
    response = explain_codec.respond(target, _KEY, explain)
    assert response.status == 200
    assert asked == [('a.example', '/find/x', 500, _KEY)]
    assert b'secret' not in response.body
    fields = json.loads(response.body)
    assert fields['method'] == 'POST'
    assert fields['version'] == 7
    assert fields['route']['priority'] == 0
    assert fields['services'][0]['searchers'][0]['cost'] == 4.5
    assert fields['store_age_s'] == 2.5
    assert fields['key'] == {
        'needed': True,
        'refusal': '',
        'workspace': 'w',
        'priority': 0,
        'quota': {
            'rate_per_s': 5.0, 'burst': 10.0, 'tokens': 3, 'refusal': '',
        },
    }  # fmt: skip


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
        b'/explain?' + query, _KEY, lambda *asked: _EXPLANATION
    )
    assert response.status == 400
    assert named in json.loads(response.body)['error']
