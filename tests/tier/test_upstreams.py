"""Tests of ServiceUpstreams: load balancing, limits and probation."""

import random

import attrs

from corianderport_testkit import clock as manual
from corianderport_tier.process import budgets
from corianderport_tier.process import outcomes
from corianderport_tier.process import selection
from corianderport_tier.process import upstream as upstream_module
from corianderport_tier.process import upstreams
from corianderport_tier.version import configuration

KIND = outcomes.OutcomeKind
Upstream = upstream_module.Upstream


def _everywhere(searcher: configuration.Searcher) -> bool:
    return True


class _Service:
    """A service whose requests are answered by the test."""

    def __init__(
        self,
        searchers: int = 3,
        slots: int = 2,
        host: budgets.HostBudget | None = None,
    ) -> None:
        self.clock = manual.ManualClock()
        self.service = configuration.Service(
            's',
            'r',
            configuration.Limits(slots, 25),
            tuple(
                configuration.Searcher(f's{n}', f'127.0.0.1:{n}', 'dc')
                for n in range(searchers)
            ),
        )
        self.state = upstreams.ServiceUpstreams(
            self.service,
            selection.policy('power-of-two'),
            random.Random(1),
            self.clock,
            host,
        )

    def try_acquire(self, *excluded: str) -> Upstream | None:
        return self.state.try_acquire(_everywhere, excluded)

    def acquire(self, *excluded: str) -> Upstream:
        upstream = self.try_acquire(*excluded)
        assert upstream is not None
        return upstream

    def finish(
        self,
        upstream: Upstream,
        kind: outcomes.OutcomeKind = KIND.ANSWERED,
        elapsed_s: float = 0.01,
        incarnation: str = 'first',
        fresh: bool = False,
    ) -> None:
        outcome = outcomes.Outcome(
            kind,
            elapsed_s,
            incarnation if not kind.may_be_running else '',
            fresh,
            'attempt',
            self.clock.monotonic() + 1.0,
        )
        self.state.release(upstream, None, outcome)

    def serve(self, requests: int, seconds: float = 0.0) -> dict[str, int]:
        """Answer requests one by one; return the count per searcher."""
        seen: dict[str, int] = {}
        for _ in range(requests):
            self.state.count_request()
            upstream = self.acquire()
            seen[upstream.name] = seen.get(upstream.name, 0) + 1
            self.clock.advance(seconds / requests)
            self.finish(upstream)
        return seen

    def warm_up(self) -> None:
        self.serve(300, 6.0)
        assert {u.limit for u in self.upstreams()} == {2}

    def upstreams(self) -> list[Upstream]:
        return self.state.candidates(_everywhere)

    def acquire_named(self, name: str) -> Upstream:
        """Acquire the searcher with this name."""
        return self.acquire(
            *(s.name for s in self.service.searchers if s.name != name)
        )


def test_unknown_searcher_starts_at_the_lowest_limit() -> None:
    """Guards against two concurrent requests at a cold searcher.

    A host that has just started cannot know whether a searcher is warm.
    """
    service = _Service(searchers=1)
    service.acquire()
    assert service.try_acquire() is None


def test_limit_reaches_the_slots_within_seconds_of_traffic() -> None:
    """Guards against a slow start that never ends.

    Each increase needs many successes over a minimum time, which regular
    traffic must be able to provide.
    """
    service = _Service()
    service.serve(150, 3.0)
    assert {u.limit for u in service.upstreams()} == {2}


def test_new_incarnation_starts_over() -> None:
    """Guards against full load on a restarted searcher.

    Only the incarnation in its next reply shows the restart.
    """
    service = _Service()
    service.warm_up()
    upstream = service.acquire()
    service.finish(upstream, incarnation='second')
    assert upstream.limit == 1


def test_new_incarnation_in_a_refusal_starts_over() -> None:
    """Guards against full load on a restarted searcher.

    Its first reply after the restart is a refusal.
    """
    service = _Service()
    service.warm_up()
    upstream = service.acquire()
    service.finish(upstream, KIND.REFUSED, incarnation='second')
    assert upstream.limit == 1


def test_broken_connection_lowers_the_limit_until_a_reply() -> None:
    """Guards against full load on a searcher that may have restarted.

    A restart breaks the connections before any reply shows it.
    """
    service = _Service()
    service.warm_up()
    upstream = service.acquire()
    service.finish(upstream, KIND.BROKEN)
    assert upstream.limit == 1
    service.clock.advance(1.0)
    service.finish(service.acquire_named(upstream.name))
    assert upstream.limit == 2


def test_shed_lowers_the_limit() -> None:
    """Guards against unchanged load on an overloaded searcher.

    The searcher sheds requests although this host keeps to its limit.
    """
    service = _Service(searchers=1, slots=8)
    service.serve(300, 6.0)
    upstream = service.acquire()
    assert upstream.limit == 8
    service.finish(upstream, KIND.SHED)
    assert upstream.limit == 4
    service.finish(service.acquire(), KIND.SHED)
    assert upstream.limit == 1


def test_sudden_latency_of_one_searcher_lowers_its_limit() -> None:
    """Guards against full load on a searcher that has become cold.

    Its replies are suddenly much slower than those of its replicas.
    """
    service = _Service()
    service.warm_up()
    for _ in range(2):
        service.finish(service.acquire_named('s0'), elapsed_s=0.2)
    assert {u.name: u.limit for u in service.upstreams()} == {
        's0': 1,
        's1': 2,
        's2': 2,
    }


def test_abandoned_request_counts_at_the_lowest_limit() -> None:
    """Guards against a second request while the first may still run.

    The first has timed out and its cancellation is confirmed, which does
    not show that the searcher has stopped.
    """
    service = _Service(searchers=1)
    upstream = service.acquire()
    service.finish(upstream, KIND.SILENT)
    service.state.confirm_cancelled(upstream, 'attempt')
    assert service.try_acquire() is None
    service.clock.advance(1.0)
    assert service.try_acquire() is upstream


def test_confirmed_cancellation_frees_a_warm_searcher() -> None:
    """Guards against slots lost to half-open connections.

    A request on such a connection gets no reply, but the searcher confirms
    its cancellation.
    """
    service = _Service(searchers=1)
    service.warm_up()
    first, second = service.acquire(), service.acquire()
    service.finish(first, KIND.SILENT)
    assert service.try_acquire() is None
    assert service.state.confirm_cancelled(first, 'attempt')
    assert service.try_acquire() is second


def test_draining_searcher_gets_nothing_until_a_probe_succeeds() -> None:
    """Guards against new requests to a draining searcher.

    It still answers earlier requests, which must not count as recovery.
    """
    service = _Service()
    service.warm_up()
    leaving = service.acquire_named('s0')
    earlier = service.acquire_named('s0')
    service.finish(leaving, KIND.DRAINING)
    service.finish(earlier)
    assert 's0' not in service.serve(100)
    service.clock.advance(1.3)
    probe = service.state.try_probe(_everywhere, ())
    assert probe is leaving
    assert service.state.try_probe(_everywhere, ()) is None
    service.finish(probe, KIND.DRAINING)
    service.clock.advance(1.3)
    assert service.state.try_probe(_everywhere, ()) is None
    service.clock.advance(1.3)
    service.serve(100)
    probe = service.state.try_probe(_everywhere, ())
    assert probe is leaving
    service.finish(probe)
    assert leaving.limit == 1
    assert 's0' in service.serve(100)


def test_slow_searcher_is_put_on_probation_and_readmitted() -> None:
    """Guards against requests that wait for a single slow replica.

    Its replies take much longer than those of the others until it
    recovers.
    """
    service = _Service()
    service.warm_up()
    for _ in range(3):
        service.finish(service.acquire_named('s0'), elapsed_s=0.5)
    assert 's0' not in service.serve(100)
    for _ in range(2):
        service.clock.advance(1.3)
        service.serve(100)
        probe = service.state.try_probe(_everywhere, ())
        assert probe is not None
        service.finish(probe)
    assert 's0' in service.serve(100)


def test_searcher_that_is_always_superseded_is_put_on_probation() -> None:
    """Guards against a slow searcher that stops cancelled requests early.

    Its requests are cancelled once their hedge is answered, so no reply
    shows its latency.
    """
    service = _Service()
    service.warm_up()
    for _ in range(4):
        upstream = service.acquire_named('s0')
        service.state.record_superseded(upstream)
        service.finish(upstream, KIND.REFUSED)
    assert 's0' not in service.serve(100)


def test_failures_open_the_circuit_breaker() -> None:
    """Guards against requests to a searcher that always fails.

    No connection to it can be established, several times in a row.
    """
    service = _Service()
    service.warm_up()
    for _ in range(5):
        service.finish(service.acquire_named('s0'), KIND.UNREACHABLE)
    assert 's0' not in service.serve(100)


def test_half_open_connections_do_not_open_the_breaker() -> None:
    """Guards against ejecting a searcher because of its connections.

    Requests on half-open connections time out although the searcher works.
    """
    service = _Service()
    service.warm_up()
    for _ in range(10):
        service.finish(
            service.acquire_named('s0'), KIND.SILENT, elapsed_s=0.02
        )
        service.clock.advance(1.0)
    assert 's0' in service.serve(100)


def test_lost_answers_of_all_slots_do_not_lower_the_limit() -> None:
    """Guards against treating a warm searcher as cold.

    As many requests as it has slots can use half-open connections before
    the remaining ones are closed.
    """
    service = _Service()
    service.warm_up()
    both = [service.acquire_named('s0'), service.acquire_named('s0')]
    for upstream in both:
        service.finish(upstream, KIND.SILENT, elapsed_s=0.5)
    assert both[0].limit == 2


def test_searcher_whose_attempts_time_out_is_put_on_probation() -> None:
    """Guards against a searcher so slow that no reply is observed.

    Every attempt is abandoned before its reply arrives.
    """
    service = _Service()
    service.warm_up()
    for _ in range(3):
        service.finish(service.acquire_named('s0'), KIND.SILENT, elapsed_s=0.5)
        service.clock.advance(1.0)
    assert 's0' not in service.serve(20)


def test_searcher_with_one_old_high_latency_is_tried_again() -> None:
    """Guards against a searcher that never gets another request.

    Its average latency changes only with requests, and power-of-two-choices
    never selects the slowest of three.
    """
    service = _Service()
    service.finish(service.acquire_named('s0'), elapsed_s=0.3)
    assert 's0' in service.serve(300, 6.0)


def test_limits_stay_when_all_searchers_are_slow() -> None:
    """Guards against lower limits when every replica is slow.

    The latency of all rises together, and lower limits would only reduce
    the capacity further.
    """
    service = _Service()
    service.warm_up()
    for _ in range(30):
        for name in ('s0', 's1', 's2'):
            service.finish(service.acquire_named(name), elapsed_s=0.025)
    assert {u.limit for u in service.upstreams()} == {2}


def test_limits_stay_after_a_stall_of_all_searchers() -> None:
    """Guards against mistaking a pause of this host for slow searchers.

    After a pause, the replies of all searchers are late at once.
    """
    service = _Service()
    service.warm_up()
    for _ in range(4):
        for name in ('s0', 's1', 's2'):
            service.finish(service.acquire_named(name), elapsed_s=0.3)
    assert {u.limit for u in service.upstreams()} == {2}


def test_most_searchers_are_never_on_probation() -> None:
    """Guards against moving all load to the last searcher.

    Two of three searchers become slow, one after the other.
    """
    service = _Service()
    service.warm_up()
    for name, answers in (('s0', 3), ('s1', 5)):
        for _ in range(answers):
            service.finish(service.acquire_named(name), elapsed_s=0.5)
            service.finish(service.acquire_named('s2'))
    assert {u.name for u in service.upstreams()} == {'s1', 's2'}


def test_searcher_starts_over_after_its_return_to_service() -> None:
    """Guards against full load on a searcher back in service.

    It may have been restarted while it was out of service.
    """
    service = _Service(searchers=1)
    service.warm_up()
    service.state.update(service.service, lambda searcher: False)
    service.state.update(service.service, _everywhere)
    assert service.acquire().limit == 1


def test_searcher_that_was_idle_for_long_starts_over() -> None:
    """Guards against full load on a searcher that restarted unnoticed.

    Another host served the service meanwhile, so this one received no
    reply that shows the restart.
    """
    service = _Service(searchers=1)
    service.warm_up()
    service.clock.advance(31.0)
    assert service.acquire().limit == 1


def test_searcher_that_was_removed_briefly_keeps_its_load() -> None:
    """Guards against a second request while an earlier one runs.

    One version of the configuration removes the searcher and the next adds
    it again, while the earlier request is still running.
    """
    service = _Service(searchers=1)
    service.acquire()
    empty = configuration.Service('s', 'r', service.service.limits, ())
    service.state.update(empty)
    service.state.update(service.service)
    assert service.try_acquire() is None


def test_hedges_stay_within_their_share() -> None:
    """Guards against hedges that overload slow searchers.

    When all searchers are slow, every request is due for a hedge.
    """
    service = _Service()
    hedges = 0
    for _ in range(400):
        service.state.count_request()
        service.clock.advance(0.01)
        hedge = service.state.try_hedge(_everywhere, ())
        if hedge is not None:
            hedges += 1
            service.finish(hedge)
    assert 10 <= hedges <= 20


def test_service_with_few_requests_uses_the_budget_of_its_host() -> None:
    """Guards against a service with few requests that cannot hedge.

    Five percent of its own requests is less than one hedge.
    """
    host = budgets.HostBudget(budgets.BudgetRatio(0.05))
    busy, quiet = _Service(host=host), _Service(host=host)
    for _ in range(200):
        busy.state.count_request()
    quiet.state.count_request()
    hedges = [quiet.state.try_hedge(_everywhere, ()) for _ in range(3)]
    assert [h is not None for h in hedges] == [True, True, False]


def test_services_of_a_host_share_one_budget() -> None:
    """Guards against extra load that grows with the number of services.

    Each service may send a minimum of hedges, which adds up over many
    services.
    """
    host = budgets.HostBudget(budgets.BudgetRatio(0.05))
    services = [_Service(host=host) for _ in range(10)]
    hedges = 0
    for service in services:
        for _ in range(20):
            service.state.count_request()
    for service in services:
        for _ in range(3):
            hedges += service.state.try_hedge(_everywhere, ()) is not None
    assert hedges == 10


def test_removed_searcher_gets_no_request() -> None:
    """Guards against a request to a searcher no longer configured.

    A new version removes the searcher after it was acquired and before the
    request is sent.
    """
    service = _Service()
    upstream = service.acquire()
    assert service.state.may_send(upstream, _everywhere)
    rest = tuple(s for s in service.service.searchers if s.name != 's0')
    removed = (
        service.acquire_named('s0') if upstream.name != 's0' else upstream
    )
    service.state.update(
        configuration.Service('s', 'r', service.service.limits, rest)
    )
    assert not service.state.may_send(removed, _everywhere)


@attrs.frozen
class _Hosts:
    """Several hosts; this one warms up the given searchers."""

    warmed: set[str]
    count: int = 3

    def should_warm_up(self, searcher: configuration.Searcher) -> bool:
        return searcher.name in self.warmed


class _Sharing(_Service):
    """A service in which this host warms up the given searchers."""

    def __init__(self, warmed: set[str]) -> None:
        super().__init__()
        self.state = upstreams.ServiceUpstreams(
            self.service,
            selection.policy('power-of-two'),
            random.Random(1),
            self.clock,
            None,
            _Hosts(warmed),
        )
        self.warm_up()

    def restart(self, *names: str) -> None:
        """Let each searcher reply with a new incarnation."""
        for name in names:
            self.finish(self.acquire_named(name), incarnation='second')


def test_restarted_searcher_is_left_to_the_host_that_warms_it_up() -> None:
    """Guards against requests from every host to a cold searcher.

    A cold searcher handles one request at a time, but each host would send
    one.
    """
    service = _Sharing(warmed=set())
    service.restart('s0')
    seen = service.serve(60, 2.0)
    assert set(seen) == {'s1', 's2'}
    assert service.try_acquire('s1', 's2') is None
    service.clock.advance(2.0)
    assert 's0' in service.serve(60, 1.0)


def test_host_warms_its_searcher_up_first() -> None:
    """Guards against a searcher that stays cold for lack of requests.

    All other hosts avoid it until it is warm.
    """
    service = _Sharing(warmed={'s0'})
    service.restart('s0')
    assert set(service.serve(20, 1.5)) == {'s0'}
    assert service.acquire_named('s0').limit == 2


def test_restarted_searchers_are_used_when_no_other_is_left() -> None:
    """Guards against a service that is unusable after a full restart.

    All searchers have been restarted, and other hosts warm them up.
    """
    service = _Sharing(warmed=set())
    service.restart('s0')
    service.restart('s1')
    assert set(service.serve(10, 0.1)) == {'s2'}
    service.restart('s2')
    assert set(service.serve(60, 0.5)) == {'s0', 's1', 's2'}


def test_searcher_behind_a_broken_connection_may_have_been_restarted() -> None:
    """Guards against a second request before a reply shows the restart.

    The connection breaks because the searcher restarts, and the host that
    warms it up sends it a request.
    """
    service = _Sharing(warmed=set())
    service.finish(service.acquire_named('s0'), KIND.BROKEN)
    assert set(service.serve(20, 1.0)) == {'s1', 's2'}


def test_added_searcher_is_left_to_the_host_that_warms_it_up() -> None:
    """Guards against requests from every host to a new searcher.

    A new version of the configuration adds a cold searcher, and all hosts
    apply it at the same time.
    """
    service = _Sharing(warmed=set())
    added = configuration.Searcher('s9', '127.0.0.1:9', 'dc')
    changed = attrs.evolve(
        service.service, searchers=(*service.service.searchers, added)
    )
    service.state.update(changed)
    assert 's9' not in service.serve(60, 2.0)
