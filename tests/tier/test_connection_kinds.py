"""ConnectionKinds: which tasks send the requests to a service."""

import typing

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.connection import direct_connection
from corianderport_tier.connection import pool
from corianderport_tier.process import connection_kinds
from corianderport_tier.version import routes

from . import entries


def _routing(ranks: tuple[int, ...]) -> routes.RoutingVersion:
    used = tuple(
        entries.route(('both', f'only-{rank}'), name=f'r{rank}', rank=rank)
        for rank in ranks
    )
    services = {n: entries.parameters(n) for r in used for n in r.services}
    return routes.RoutingVersion(1, used, services, entries.LIMITS)


@pytest.mark.parametrize(
    ('ranks', 'service', 'direct'),
    [
        ((0, 1), 'both', True),
        ((0, 1), 'only-0', False),
        ((1, 2), 'both', False),
        (None, 'both', False),
    ],
)
def test_kind_of_a_connection(
    ranks: tuple[int, ...] | None, service: str, direct: bool
) -> None:
    """Guards against sends at once where no urgent route competes.

    Wide gathers then delay narrow ones of lower priority.
    """
    routing = None if ranks is None else _routing(ranks)
    kinds = connection_kinds.ConnectionKinds(lambda: routing)
    owner: typing.Any = pool.ConnectionPool(
        lambda: typing.cast(typing.Any, None),
        typing.cast(typing.Any, None),
        clock_module.ManualClock(),
        pool.PoolLimits(1),
    )
    job = typing.cast(typing.Any, object())
    connection = kinds.for_service(service)(owner, job, 0.0)
    assert isinstance(connection, direct_connection.DirectConnection) is direct
