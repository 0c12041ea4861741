"""AdminApp: exposes the state of a host and is read-only."""

import random
import re

import attrs
import pytest
import werkzeug.test

from corianderport_testkit import clock
from corianderport_testkit.version import deployments
from corianderport_tier import errors
from corianderport_tier.process import administration
from corianderport_tier.process import configuration_store
from corianderport_tier.process import decision_log
from corianderport_tier.process import health
from corianderport_tier.process import membership
from corianderport_tier.process import metrics
from corianderport_tier.process import slow_start
from corianderport_tier import result_codes
from corianderport_tier.version import configuration
from corianderport_wire.request import admin_app
from corianderport_wire.version import document

_DEPLOYMENT = deployments.Deployment(services=2)
_OWN = membership.Member('host-0', 'dc-a', '127.0.0.1:1')


Health = health.Health
SlowStart = slow_start.SlowStart


def _health() -> Health:
    return health.Health(random.Random(1))


@attrs.define
class _Upstream:
    searcher: configuration.Searcher
    limit: int = 2
    in_flight: int = 0
    latency_s: float = 0.0123456
    health: Health = attrs.field(factory=_health)
    slow_start: SlowStart = attrs.field(factory=lambda: SlowStart(2))


def _probed_upstream(
    searcher: configuration.Searcher, state: health.HealthState
) -> _Upstream:
    probed_health = health.Health(random.Random(1), state)
    return _Upstream(searcher, health=probed_health)


class _Services:
    def __init__(self) -> None:
        self.upstreams: dict[str, list[_Upstream]] = {}

    def states(self) -> dict[str, list[_Upstream]]:
        return self.upstreams


class _Host:
    """One host behind a test client."""

    def __init__(self) -> None:
        self.stopping = False
        self.services = _Services()
        self.metrics = metrics.Metrics()
        self.log = decision_log.DecisionLog(observer=self.metrics)
        self.store = configuration_store.ConfigurationStore(
            document.DocumentCodec(), clock.ManualClock()
        )
        view = administration.Administration(
            self.store,
            membership.Membership(_OWN, clock.ManualClock()),
            self.services,
            self.log,
            self.metrics,
            lambda: self.stopping,
        )
        self.client = werkzeug.test.Client(admin_app.AdminApp(view))

    def publish(self, version: int, out: set[str]) -> bytes:
        names = [
            name
            for centre in deployments.DATA_CENTRES
            for name in _DEPLOYMENT.searcher_names(centre)
        ]
        addresses = {n: f'127.0.0.1:{i + 1}' for i, n in enumerate(names)}
        built = _DEPLOYMENT.build(version, addresses, out)
        encoded = document.DocumentCodec().encode(built)
        self.store.offer(encoded)
        return encoded


def test_host_is_ready_between_configuration_and_stop() -> None:
    """Guards against routing callers to a host that refuses them.

    A host cannot serve before its first configuration or once it stops; a
    load balancer learns this only from the readiness probe.
    """
    host = _Host()
    assert host.client.get('/ready').status_code == 503
    host.publish(4, set())
    assert host.client.get('/ready').status_code == 200
    host.stopping = True
    reply = host.client.get('/ready')
    assert (reply.status_code, reply.json) == (
        503,
        {'ready': False, 'reason': 'the host is stopping'},
    )


@pytest.mark.parametrize('path', ['/upstreams', '/configuration'])
def test_missing_configuration_is_reported(path: str) -> None:
    """Guards against errors without a result code on a new host.

    Both paths need a configuration, which a new host does not have.
    """
    reply = _Host().client.get(path)
    assert reply.status_code == 503
    assert reply.json is not None
    assert reply.json['name'] == 'NOT_READY'


@pytest.mark.parametrize('path', admin_app.PATHS)
def test_interface_is_read_only(path: str) -> None:
    """Guards against requests that change state.

    A route without a restriction on the method would accept a POST.
    """
    assert _Host().client.post(path, data=b'{}').status_code == 405


def test_version_peers_and_configuration() -> None:
    """Guards against views that differ from the current state."""
    host = _Host()
    encoded = host.publish(4, set())
    assert host.client.get('/version').json == {
        'host': 'host-0',
        'data_centre': 'dc-a',
        'version': 4,
        'refused': '',
    }
    assert host.client.get('/configuration').data == encoded
    peers = host.client.get('/peers').json
    assert [(p['name'], p['state'], p['standing']) for p in peers or []] == [
        ('host-0', 'live', 'alive')
    ]


def test_rejected_document_keeps_the_previous_one() -> None:
    """Guards against rejecting a configuration without telling operators."""
    host = _Host()
    encoded = host.publish(4, set())
    faulty = encoded.replace(b'"version": 4', b'"version": 5')
    faulty = faulty.replace(b'"slots": 2', b'"slots": 0')
    with pytest.raises(errors.ConfigurationInvalid):
        host.store.offer(faulty)
    assert host.client.get('/configuration').data == encoded
    view = host.client.get('/version').json or {}
    assert view['version'] == 4
    assert view['refused'].startswith('F11 service catalogue-00: slots: 0')
    host.publish(6, set())
    view = host.client.get('/version').json or {}
    assert (view['version'], view['refused']) == (6, '')


def test_upstream_state_has_its_reason() -> None:
    """Guards against idle searchers whose state shows no reason."""
    host = _Host()
    host.publish(4, {'dc-b', 'catalogue-00-dc-c'})
    service = host.store.current().services['catalogue-00']
    states = health.HealthState
    probed_states = (states.SLOW, states.FAILING, states.DRAINING)
    host.services.upstreams['catalogue-00'] = [
        _Upstream(service.searchers[0], in_flight=2),
        _Upstream(service.searchers[0], in_flight=1),
        _Upstream(service.searchers[0], limit=1),
        *(
            _probed_upstream(service.searchers[0], state)
            for state in probed_states
        ),
        *(_Upstream(searcher) for searcher in service.searchers[1:]),
        _Upstream(attrs.evolve(service.searchers[0], address='127.0.0.2:1')),
    ]
    upstreams = host.client.get('/upstreams').json
    assert [(u['state'], u['reason']) for u in upstreams or []] == [
        ('full', '2 of 2 in flight'),
        ('in-service', '1 of 2 in flight'),
        ('warming-up', '0 of 1 in flight, 2 when warm'),
        ('slow', 'much slower than its replicas; it is probed'),
        ('failing', 'failed several times; it is probed'),
        ('draining', 'reported that it is draining; it is probed'),
        ('out-of-service', 'data centre dc-b is out of service'),
        ('out-of-service', 'searcher catalogue-00-dc-c is out of service'),
        ('out-of-service', 'not in the configuration in force'),
    ]


def test_metrics_and_decisions() -> None:
    """Guards against metrics that a scraper cannot parse."""
    host = _Host()
    host.log.record(decision_log.Decision('hedge', 'r1', 's-a', 'slow'))
    code = result_codes.ResultCode
    host.metrics.finished('search', code.OK, 0.004)
    host.metrics.finished('search', code.OVERLOADED, 0.04)
    lines = host.client.get('/metrics').text.splitlines()
    # aioprometheus rejected collectors registered by a second scrape.
    assert host.client.get('/metrics').text.splitlines() == lines
    for line in (
        'corianderport_results_total{code="0",name="OK",ran="yes",'
        'request="search"} 1',
        'corianderport_refusals_total{code="105",name="OVERLOADED"} 1',
        'corianderport_sub_requests_total 1',
        'corianderport_hedges_total 1',
        'corianderport_decisions_total{kind="hedge"} 1',
        'corianderport_latency_seconds_bucket{le="0.005",request="search"}'
        ' 1.0',
        'corianderport_latency_seconds_bucket{le="+Inf",request="search"} 2.0',
        'corianderport_latency_seconds_count{request="search"} 2.0',
    ):
        assert line in lines
    for line in lines:
        assert re.fullmatch(r'# (HELP|TYPE) .*|[a-z_]+(\{.*\})? [\d.]+', line)
    decisions = host.client.get('/decisions').json
    assert [d['request_id'] for d in decisions or []] == ['r1']
