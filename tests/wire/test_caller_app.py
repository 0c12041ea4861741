"""CallerApp: every request gets a result code."""

import json

import hypothesis
from hypothesis import strategies
import pytest
import werkzeug.test

from corianderport_testkit import clock as manual_clock
from corianderport_tier import errors
from corianderport_tier.request import messages
from corianderport_tier import result_codes
from corianderport_wire.request import caller_app

_HIT = messages.Hit('item-1', 0.5, 'painted stilts')


class _Entry:
    """Answers every search, or raises what the test sets."""

    def __init__(self) -> None:
        self.error: Exception | None = None
        self.requests: list[messages.SearchRequest] = []

    def search(self, request: messages.SearchRequest) -> messages.SearchAnswer:
        self.requests.append(request)
        if self.error is not None:
            raise self.error
        return messages.SearchAnswer(
            code=result_codes.ResultCode.PARTIAL,
            request_id=request.request_id,
            snapshot=7,
            coverage=messages.Coverage(0.5, ('shard-1',)),
            hits=(_HIT,),
        )


def _client(entry: _Entry) -> werkzeug.test.Client:
    app = caller_app.CallerApp(
        entry, manual_clock.ManualClock(), caller_app.CallerLimits(2_000)
    )
    return werkzeug.test.Client(app)


def test_answer_states_snapshot_and_coverage() -> None:
    """Guards against answers without snapshot and coverage."""
    entry = _Entry()
    fields = {'query': 'stilts', 'request_id': 'r1', 'deadline_ms': 250}
    reply = _client(entry).post('/v1/search/stock', json=fields)
    assert reply.get_json() == {
        'code': 1,
        'name': 'PARTIAL',
        'ran': 'yes',
        'request_id': 'r1',
        'snapshot': 7,
        'coverage': {'fraction': 0.5, 'missing': ['shard-1']},
        'whole': False,
        'hits': [
            {'document': 'item-1', 'score': 0.5, 'title': 'painted stilts'}
        ],
    }
    assert entry.requests[0].deadline.at_s == pytest.approx(1_000.25)


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=9), inner)
    ),
    max_leaves=5,
)
_FIELDS = strategies.fixed_dictionaries(
    {},
    optional={
        'query': _JSON,
        'limit': _JSON,
        'deadline_ms': _JSON,
        'customer': _JSON,
        'request_id': _JSON,
    },
)


@hypothesis.given(
    body=strategies.one_of(
        strategies.binary(max_size=200),
        _JSON.map(lambda value: json.dumps(value).encode()),
        _FIELDS.map(lambda value: json.dumps(value).encode()),
    ),
    path=strategies.sampled_from(
        ['/v1/search/stock', '/v1/search/', '/', '/v1/tickets/x', '/v1/%ff']
    ),
    method=strategies.sampled_from(['POST', 'GET', 'PUT']),
)
def test_any_body_gets_a_code(body: bytes, path: str, method: str) -> None:
    """Guards against reporting invalid input as an internal error."""
    reply = _client(_Entry()).open(path, method=method, data=body)
    code = result_codes.ResultCode(json.loads(reply.data)['code'])
    assert code in (
        result_codes.ResultCode.PARTIAL,
        result_codes.ResultCode.MALFORMED_REQUEST,
        result_codes.ResultCode.DEADLINE_PAST,
    )


@pytest.mark.parametrize(
    ('error', 'name', 'ran'),
    [
        (errors.Overloaded('busy'), 'OVERLOADED', 'no'),
        (errors.OutcomeUnknown('?'), 'OUTCOME_UNKNOWN', 'unknown'),
        (ValueError('fault'), 'INTERNAL_ERROR', 'unknown'),
    ],
)
def test_errors_say_whether_the_request_ran(
    error: Exception, name: str, ran: str
) -> None:
    """Guards against 'not run' when the outcome is unknown.

    Callers repeat a request that has not run.
    """
    entry = _Entry()
    entry.error = error
    reply = _client(entry).post('/v1/search/stock', json={'query': 'x'})
    body = json.loads(reply.data)
    assert (body['name'], body['ran']) == (name, ran)


class _Observer:
    def __init__(self) -> None:
        self.finished_requests: list[tuple[str, int]] = []

    def finished(
        self, request: str, code: result_codes.ResultCode, latency_s: float
    ) -> None:
        self.finished_requests.append((request, int(code)))


def test_requests_are_counted_and_readiness_probes_are_not() -> None:
    """Guards against counting load balancer probes as refused requests."""
    observer = _Observer()
    app = caller_app.CallerApp(
        _Entry(),
        manual_clock.ManualClock(),
        caller_app.CallerLimits(),
        observer=observer,
    )
    client = werkzeug.test.Client(app)
    client.get('/ready')
    client.post('/v1/search/stock', json={'query': 'stilts'})
    client.post('/v1/search/stock', json={})
    client.post('/v2/unknown', json={})
    assert observer.finished_requests == [
        ('search', 1),
        ('search', 100),
        ('unknown', 100),
    ]


def test_without_a_deadline_the_configuration_decides() -> None:
    """Guards against a default deadline shorter than the configured one.

    The deadline of a search is the earlier one of both, so that a request
    without a deadline gets the maximum.
    """
    entry = _Entry()
    _client(entry).post('/v1/search/stock', json={'query': 'stilts'})
    assert entry.requests[0].deadline.at_s == pytest.approx(1_060.0)
