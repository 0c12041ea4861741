"""Connections of the services that a host sends requests to."""

import concurrent.futures
import random
import threading
import typing

import attrs

from corianderport_testkit import clock as manual
from corianderport_testkit.connection import fake_upstreams
from corianderport_tier.process import selection
from corianderport_tier.process import service_budgets
from corianderport_tier.process import upstream_services
from corianderport_tier.process import upstreams
from corianderport_tier.version import configuration

_LONG_S = 20.0
_SERVICE = configuration.Service(
    's',
    'west',
    configuration.Limits(slots=4, connections=12),
    tuple(
        configuration.Searcher(f's{n}', f'10.0.0.1:{n}', 'west')
        for n in range(2)
    ),
)


@attrs.define
class _Hosts:
    """Hosts that share the searchers' connections."""

    count: int = 2

    def should_warm_up(self, searcher: configuration.Searcher) -> bool:
        return True


class _Job:
    def __init__(self, may_end: threading.Event) -> None:
        self._may_end = may_end
        self.done = threading.Event()

    def perform(self, transport: typing.Any) -> object:
        return self._may_end.wait(_LONG_S)

    def finish(self, reply: object) -> None:
        self.done.set()


def _use(
    service: upstream_services.UpstreamService,
    searcher: configuration.Searcher,
    count: int,
) -> None:
    """Run jobs at the same time, each on its own connection."""
    may_end = threading.Event()
    jobs = [_Job(may_end) for _ in range(count)]
    for job in jobs:
        service.pool(searcher).submit(job)
    may_end.set()
    for job in jobs:
        assert job.done.wait(_LONG_S)


def test_all_pools_keep_the_share_in_force() -> None:
    """Guards against connections beyond a share that has become smaller.

    A host joins, and then a version lowers the limit of the searchers. Only
    one of them gets requests at that time.
    """
    clock, hosts = manual.ManualClock(), _Hosts()
    rng = random.Random(1)
    state = upstreams.ServiceUpstreams(
        _SERVICE,
        selection.policy('power-of-two'),
        rng,
        clock,
        service_budgets.host_budget(),
        hosts,
    )
    with concurrent.futures.ThreadPoolExecutor(16) as executor:
        service = upstream_services.UpstreamService(
            _SERVICE,
            state,
            fake_upstreams.FakeDialer(clock),
            executor,
            clock,
            hosts,
        )
        for searcher in _SERVICE.searchers:
            _use(service, searcher, 6)
        pools = [service.pool(s) for s in _SERVICE.searchers]
        assert [p.size for p in pools] == [6, 6]
        hosts.count = 3
        service.pool(_SERVICE.searchers[0])
        assert [p.size for p in pools] == [4, 4]
        lower = configuration.Limits(slots=4, connections=3)
        service.update(
            attrs.evolve(_SERVICE, limits=lower), lambda searcher: True
        )
        assert [p.size for p in pools] == [1, 1]
        service.close()
