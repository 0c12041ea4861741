"""Routes match requests by host and longest path prefix."""

import pytest

from corianderport_tier.version import routes

_LIMITS = routes.CallerLimits(16_384, 262_144, 3.0, 15.0)


def _route(name: str, host: str, prefix: str) -> routes.Route:
    return routes.Route(
        name=name,
        host=host,
        prefix=prefix,
        idempotent=True,
        timeout_s=1.0,
        goal_s=0.1,
        rank=1,
        attempts=2,
        target=routes.Split((routes.WeightedService(name, 1.0),)),
    )


_ROUTING = routes.RoutingVersion(
    1,
    (
        _route('outer', 'a.example', '/one/'),
        _route('inner', 'a.example', '/one/two/'),
        _route('other', 'b.example', '/one/'),
        _route('root', 'c.example', '/'),
    ),
    {},
    _LIMITS,
)


@pytest.mark.parametrize(
    ('host', 'path', 'expected'),
    [
        ('a.example', '/one/x', 'outer'),
        ('a.example', '/one/', 'outer'),
        ('a.example', '/one', None),
        ('a.example', '/onerous/x', None),
        ('a.example', '/one/two/x', 'inner'),
        ('a.example', '/one/twofold', 'outer'),
        ('b.example', '/one/two/x', 'other'),
        ('c.example', '/any/thing', 'root'),
        ('d.example', '/one/x', None),
        ('a.example', '', None),
    ],
)
def test_longest_prefix(host: str, path: str, expected: str | None) -> None:
    route = _ROUTING.match(host, path)
    assert (route and route.name) == expected


def test_query_is_no_part_of_the_path() -> None:
    assert routes.path_of('/one/x?y=/two/') == '/one/x'
