"""Documents: decoding of valid and invalid values of the store."""

import json
import typing

import hypothesis
from hypothesis import strategies
import pytest

from corianderport_platform import documents
from corianderport_tier.version import registrations
from corianderport_tier.version import routes
from corianderport_tier.version import workspaces

_SEARCHER: dict[str, typing.Any] = {
    'backend': 'stock-1',
    'addr': '10.1.0.9:8080',
    'zone': 'west-a',
    'version': 'v1',
    'capacity': 2,
    'state': 'ready',
    'warmup_left_ms': 1500,
    'call_seq': 4,
    'born': 1_700_000_000_000,
}
ROUTING: dict[str, typing.Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'r1',
            'host': 'a.example',
            'prefix': '/all/',
            'kind': 'idempotent',
            'timeout_ms': 400,
            'goal_ms': 44,
            'priority': 2,
            'gather': ['stock-1', 'stock-2'],
            'attempts': 2,
            'top_k': 5,
            'min_shard_ratio': 0.75,
        },
        {
            'name': 'r2',
            'host': 'a.example',
            'prefix': '/one/',
            'kind': 'non_idempotent',
            'timeout_ms': 2500,
            'goal_ms': 250,
            'priority': 1,
            'split': [
                {'backend': 'desk', 'weight': 3},
                {'backend': 'desk-2', 'weight': 1},
            ],
            'attempts': 1,
        },
    ],
    'backends': [
        {
            'name': 'stock-1',
            'health_path': '/healthz',
            'max_conns': 25,
            'proto': 'h1',
            'tls': False,
            'warmup_s': 3.0,
            'warmup_per_s': 8.0,
        }
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 262144,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
}


def _searcher(**changes: object) -> registrations.Published:
    document = {**_SEARCHER, **changes}
    document = {k: v for k, v in document.items() if v is not None}
    return documents.decode('servers/i-1', json.dumps(document).encode())


def test_searcher() -> None:
    """Guards against a field of a registration read from the wrong name.

    The platform has other names and units for these fields.
    """
    registration = _searcher(state='draining')
    assert registration == registrations.Registration(
        searcher='i-1',
        service='stock-1',
        address='10.1.0.9:8080',
        data_centre='west-a',
        slots=2,
        draining=True,
        warm_up_left_s=1.5,
        started_ms=1_700_000_000_000,
    )


def test_start_time_may_be_unknown() -> None:
    """Guards against rejecting a searcher that publishes no start time.

    The platform does not require the field.
    """
    registration = _searcher(born=None)
    assert isinstance(registration, registrations.Registration)
    assert registration.started_ms == 0


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'asleep'},
        {'state': 3},
        {'capacity': 'two'},
        {'capacity': True},
        {'capacity': 0},
        {'backend': None},
        {'backend': 5},
        {'addr': 'nowhere'},
        {'addr': '10.1.0.9:x'},
        {'zone': None},
        {'warmup_left_ms': 'soon'},
        {'born': 'today'},
        {'born': True},
        {'born': []},
        {'born': -5},
        {'born': 1.5},
        {'born': 10**30},
        {'born': 1e308},
        {'capacity': -1},
        {'capacity': 1.5},
        {'capacity': 10**30},
        {'capacity': 1e308},
        {'warmup_left_ms': -1},
        {'warmup_left_ms': 1e308},
        {'addr': '10.1.0.9:0'},
        {'addr': '10.1.0.9:-1'},
        {'addr': '10.1.0.9:+80'},
        {'addr': '10.1.0.9:65536'},
        {'addr': '10.1.0.9:8_0'},
        {'addr': '10.1.0.9: 80'},
        {'addr': '10.1.0.9:\uff18\uff10'},
        {'addr': '10.1.0.9:' + '9' * 5_000},
        {'addr': '10.1.0.9\r\nx:80'},
        {'addr': '10.1.0.9\0:80'},
        {'addr': 'a.example:80'},
        {'addr': 'a' * 300 + ':80'},
        {'addr': ['10.1.0.9', 80]},
        {'zone': 'z' * 100_000},
        {'zone': 'a\nb'},
        {'backend': 'z' * 100_000},
        {'backend': ''},
    ],
)
def test_invalid_fields_are_unreadable(changes: dict[str, object]) -> None:
    """Guards against sending to a searcher with an invalid registration.

    A field is missing or has a wrong type, or its value is out of range.
    """
    published = _searcher(**changes)
    assert isinstance(published, registrations.Unreadable)
    assert len(published.reason) <= 200


@pytest.mark.parametrize(
    'value',
    [
        b'[' * 100_000 + b']' * 100_000,
        json.dumps(_SEARCHER).encode().replace(
            b'"v1"', b'[' * 100_000 + b']' * 100_000
        ),
        json.dumps(_SEARCHER).encode().replace(b'1500', b'1e400'),
        json.dumps(_SEARCHER).encode().replace(b'1500', b'9' * 10_000),
        json.dumps(_SEARCHER).encode().replace(b'west-a', b'\\ud800'),
        json.dumps(_SEARCHER).encode().replace(b'west-a', b'\xff\xfe'),
    ],
)  # fmt: skip
def test_odd_documents_are_unreadable(value: bytes) -> None:
    """Guards against nesting and numbers that a decoder cannot hold."""
    published = documents.decode('servers/i-1', value)
    assert isinstance(published, registrations.Unreadable)
    assert len(published.reason) <= 200


@pytest.mark.parametrize(
    'name', ['', 'a b', 'a\r\nX-Request-Id: q2', '\u20ac', 'x' * 5_000]
)
def test_names_that_no_header_can_hold_are_unreadable(name: str) -> None:
    """Guards against a request smuggled through a searcher's name.

    The name is sent in a header of each request to the searcher.
    """
    published = documents.decode(
        f'servers/{name}', json.dumps(_SEARCHER).encode()
    )
    assert isinstance(published, registrations.Unreadable)


@hypothesis.given(
    strategies.sampled_from(['servers/x', 'op/config', 'op/other', 'x']),
    strategies.binary(max_size=40)
    | strategies.recursive(
        strategies.none() | strategies.integers() | strategies.text(),
        lambda inner: (
            strategies.lists(inner)
            | strategies.dictionaries(
                strategies.sampled_from([*_SEARCHER, *ROUTING]), inner
            )
        ),
        max_leaves=6,
    ).map(lambda document: json.dumps(document).encode()),
)
def test_any_bytes_are_decoded_without_an_error(
    key: str, value: bytes
) -> None:
    """Guards against a value that ends the task that reads the store.

    Other programs write the store, so that a value may hold any bytes.
    """
    documents.decode(key, value)


def test_routing() -> None:
    """Guards against a routing parameter read from the wrong field.

    The platform gives times in milliseconds, and has one field for each
    kind of target.
    """
    routing = documents.decode('op/config', json.dumps(ROUTING).encode())
    assert isinstance(routing, routes.RoutingVersion)
    assert routing.version == 7
    gather, split = routing.routes
    assert gather.target == routes.Gather(('stock-1', 'stock-2'), 5, 0.75)
    assert gather.idempotent
    assert (gather.timeout_s, gather.goal_s, gather.rank) == (0.4, 0.044, 2)
    assert not split.idempotent
    assert split.services == ('desk', 'desk-2')
    assert routing.services['stock-1'].cold_rate == 8.0
    assert routing.limits.idle_timeout_s == 15.0


def test_data_centre_out_of_service() -> None:
    """Guards against sending to a data centre that is out of service.

    Its name is part of the key; the value says nothing about it.
    """
    assert documents.decode(
        'op/evacuate/west-a', b'{}'
    ) == registrations.OutOfService('west-a')


_KEY = 'rvnz-secret'
_TENANT: dict[str, typing.Any] = {
    'name': 'kami770',
    'api_keys': [_KEY, '6b5c'],
    'priority': 3,
    'rate_per_s': 11,
    'burst': 12.5,
}


def _routing_with_tenants(tenants: object) -> registrations.Published:
    document = json.dumps({**ROUTING, 'tenants': tenants}).encode()
    return documents.decode('op/config', document)


def test_tenants_are_decoded() -> None:
    """Guards against a customer's limit read from the wrong field."""
    routing = _routing_with_tenants(
        [_TENANT, {'name': 'small', 'api_keys': ['third']}]
    )
    assert isinstance(routing, routes.RoutingVersion)
    assert routing.workspaces is not None
    expected = workspaces.Workspace('kami770', 3, 11.0, 12.5)
    assert routing.workspaces.find(_KEY) == expected
    assert routing.workspaces.find('6b5c') == expected
    assert routing.workspaces.find('third') == workspaces.Workspace('small', 0)


@pytest.mark.parametrize('tenants', [None, []])
def test_no_tenants_means_no_keys(tenants: object) -> None:
    """Guards against 401 for every request of a deployment without keys."""
    routing = _routing_with_tenants(tenants)
    assert isinstance(routing, routes.RoutingVersion)
    assert routing.workspaces is None


def test_tenants_without_any_key_are_not_absent() -> None:
    """Guards against a deployment left open when its last key is removed."""
    routing = _routing_with_tenants([{'name': 'a', 'api_keys': []}])
    assert isinstance(routing, routes.RoutingVersion)
    assert routing.workspaces is not None


@pytest.mark.parametrize(
    'tenants',
    [
        {_KEY: 'kami770'},
        [_KEY],
        [{**_TENANT, 'name': None}],
        [{**_TENANT, 'name': ''}],
        [{**_TENANT, 'name': [_KEY]}],
        [{**_TENANT, 'api_keys': _KEY}],
        [{**_TENANT, 'api_keys': [_KEY, 5]}],
        [{**_TENANT, 'api_keys': [_KEY, '']}],
        [{**_TENANT, 'priority': -1}],
        [{**_TENANT, 'priority': 1.5}],
        [{**_TENANT, 'priority': _KEY}],
        [{**_TENANT, 'rate_per_s': -11}],
        [{**_TENANT, 'rate_per_s': _KEY}],
        [{**_TENANT, 'burst': True}],
        [_TENANT, {**_TENANT, 'name': 'other'}],
        [_TENANT, {**_TENANT, 'api_keys': ['x'], 'rate_per_s': 1}],
    ],
)
def test_invalid_tenants_are_unreadable_without_quoting_a_key(
    tenants: object,
) -> None:
    """Guards against a key in the log line about an unreadable value."""
    published = _routing_with_tenants(tenants)
    assert isinstance(published, registrations.Unreadable)
    assert _KEY not in published.reason


def test_route_may_be_public() -> None:
    """Guards against keys demanded on a public route, or on none."""
    route = ROUTING['routes'][0]
    document = {**ROUTING, 'routes': [route, {**route, 'public': True}]}
    routing = documents.decode('op/config', json.dumps(document).encode())
    assert isinstance(routing, routes.RoutingVersion)
    assert [r.public for r in routing.routes] == [False, True]


@pytest.mark.parametrize('public', ['false', 1, None])
def test_public_must_be_true_or_false(public: object) -> None:
    """Guards against a route opened by a value such as the text 'false'."""
    route = {**ROUTING['routes'][0], 'public': public}
    document = {**ROUTING, 'routes': [route]}
    published = documents.decode('op/config', json.dumps(document).encode())
    assert isinstance(published, registrations.Unreadable)
