"""Attempts, hedges and retries of one batch."""

import collections.abc
import concurrent.futures
import random
import threading

import attrs
import pytest

from corianderport_testkit import clock as manual
from corianderport_testkit.connection import fake_upstreams
from corianderport_testkit.version import deployments
from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import decision_log
from corianderport_tier.process import drain
from corianderport_tier.process import outcomes
from corianderport_tier.process import selection
from corianderport_tier.process import upstream as upstream_module
from corianderport_tier.process import upstream_services
from corianderport_tier.request import deadlines
from corianderport_tier.request import gather
from corianderport_tier.request import messages
from corianderport_tier.version import configuration

_SERVICE = 'catalogue-00'
_A, _B, _C = (f'{_SERVICE}-{centre}' for centre in deployments.DATA_CENTRES)
_SHARDS = ('shard-000', 'shard-001')
_TIMEOUT_S = 30.0
_REFUSAL = messages.UpstreamRefusal
_REASON = messages.RefusalReason


class _Decoder:
    """Decodes a version number into a small deployment."""

    def decode(self, document: bytes) -> configuration.Configuration:
        version, *out_of_service = document.decode().split(',')
        deployment = deployments.Deployment(services=1)
        addresses = {n: f'10.0.0.1:{i}' for i, n in enumerate((_A, _B, _C))}
        return deployment.build(int(version), addresses, out_of_service)


class _Host:
    """Host with one service, fake searchers and a manual clock."""

    def __init__(self, executor: concurrent.futures.Executor) -> None:
        self.clock = manual.ManualClock()
        self.dialer = fake_upstreams.FakeDialer(self.clock)
        self.store = configuration_store.ConfigurationStore(
            _Decoder(), self.clock
        )
        self.publish('1')
        self.executor = executor
        self.drain = drain.Drain(self.clock)
        self.services = upstream_services.UpstreamServices(
            self.store,
            self.dialer,
            executor,
            self.clock,
            selection.policy('power-of-two'),
            random.Random(1),
        )

    def publish(self, document: str) -> None:
        self.store.offer(document.encode())

    @property
    def state(self) -> upstream_services.UpstreamService:
        return self.services.get(_SERVICE)

    def upstream(self, name: str) -> upstream_module.Upstream:
        matching = [
            u
            for u in self.state.upstreams.candidates(lambda s: True)
            if u.name == name
        ]
        return matching[0]

    def warm(self, names: tuple[str, ...] = (_A, _B, _C)) -> None:
        """Record enough latencies of 10 ms for hedges and full limits."""
        upstreams = self.state.upstreams
        answered = outcomes.Outcome(
            outcomes.OutcomeKind.ANSWERED, 0.01, 'first'
        )
        for name in names * 60:
            taken = upstreams.try_acquire(
                lambda s: True, {_A, _B, _C} - {name}
            )
            assert taken is not None
            upstreams.count_request()
            self.clock.advance(0.02)
            upstreams.release(taken, None, answered)

    def prefer(self, name: str) -> None:
        """Record a high latency for all other searchers."""
        for upstream in self.state.upstreams.candidates(lambda s: True):
            if upstream.name != name:
                upstream.latency.record(1e3, self.clock.monotonic())

    def batch(self, seconds: float) -> messages.SubQueryBatch:
        return messages.SubQueryBatch(
            'request',
            'catalogue',
            1,
            'stilts',
            10,
            deadlines.Deadline.after(self.clock, seconds),
            (messages.SubQuery(_SERVICE, _SHARDS),),
        )

    def start(
        self, seconds: float = 0.5
    ) -> concurrent.futures.Future[messages.BatchAnswer]:
        task = gather.Gather(
            self.batch(seconds),
            self.services,
            self.clock,
            decision_log.DecisionLog(),
            self.drain,
        )
        return self.executor.submit(task.run)

    def run(self, seconds: float = 0.5) -> messages.BatchAnswer:
        return self.start(seconds).result(_TIMEOUT_S)

    def advance_until_calls(self, count: int) -> None:
        """Advance in small steps until ``count`` searches have started."""
        while len(self.dialer.calls) < count:
            self.clock.advance(0.005)
            self.dialer.await_calls(count, 0.002)

    def advance_up_to_calls(self, count: int, seconds: float) -> None:
        """Advance by ``seconds``, or until ``count`` searches have started."""
        end_s = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end_s and (
            len(self.dialer.calls) < count
        ):
            self.clock.advance(0.05)
            self.dialer.await_calls(count, 0.01)

    def names(self) -> list[str]:
        return [name for name, _ in self.dialer.calls]


@pytest.fixture(name='host')
def _host() -> collections.abc.Iterator[_Host]:
    with concurrent.futures.ThreadPoolExecutor(16) as executor:
        host = _Host(executor)
        yield host
        host.services.__exit__(None, None, None)
        # Time out the calls that are still waiting.
        host.clock.advance(1_000.0)


def _covered(answer: messages.BatchAnswer) -> list[str]:
    return sorted(a.shard for a in answer.answers if a.complete)


def test_remaining_shards_of_a_partial_reply_are_retried(
    host: _Host,
) -> None:
    """Guards against losing shards that a searcher silently omits.

    Each reply contains only the first of the requested shards.
    """

    def first_shard(
        call: messages.UpstreamSearch,
    ) -> messages.UpstreamSearchReply:
        whole = fake_upstreams.answer_all(call)
        return attrs.evolve(whole, answers=whole.answers[:1])

    for name in (_A, _B, _C):
        host.dialer.handlers[name] = first_shard
    assert _covered(host.run()) == list(_SHARDS)
    (one, call_one), (two, call_two) = host.dialer.calls
    assert one != two
    assert call_one.shards == _SHARDS
    assert call_two.shards == _SHARDS[1:]


def test_truncated_answer_is_retried_and_does_not_count(host: _Host) -> None:
    """Guards against treating a truncated answer as complete.

    The first searcher truncates the hits of every shard.
    """

    def truncated(
        call: messages.UpstreamSearch,
    ) -> messages.UpstreamSearchReply:
        answers = tuple(
            messages.ShardAnswer(s, False, ()) for s in call.shards
        )
        return attrs.evolve(fake_upstreams.answer_all(call), answers=answers)

    host.dialer.handlers[_A] = truncated
    host.prefer(_A)
    assert _covered(host.run()) == list(_SHARDS)
    assert host.names()[0] == _A


@pytest.mark.parametrize(
    'change',
    [
        {'snapshot': 2},
        {'attempt_id': 'other'},
        {'request_id': 'other'},
        {'answers': (messages.ShardAnswer('unasked', True, ()),)},
        {
            'answers': tuple(
                messages.ShardAnswer(s, True, ()) for s in _SHARDS * 2
            )
        },
    ],
)
def test_foreign_reply_does_not_count(
    host: _Host, change: dict[str, object]
) -> None:
    """Guards against accepting answers that the attempt did not request.

    The first searcher replies for another snapshot, attempt or request,
    for a shard that was not requested, or twice for each shard.
    """
    host.prefer(_A)
    host.dialer.handlers[_A] = lambda call: attrs.evolve(  # type: ignore[misc]
        fake_upstreams.answer_all(call), **change
    )
    assert _covered(host.run()) == list(_SHARDS)
    assert host.names()[0] == _A and len(host.names()) == 2


def test_refusals_are_retried_elsewhere(host: _Host) -> None:
    """Guards against missing shards while a replica can answer.

    Two of three searchers refuse every request because of their load.
    """
    for name in (_A, _B):
        host.dialer.handlers[name] = lambda call: _REFUSAL(_REASON.SHED)
    host.upstream(_C).latency.record(1e3, host.clock.monotonic())
    task = host.start(1_000.0)
    host.advance_until_calls(3)
    assert _covered(task.result(_TIMEOUT_S)) == list(_SHARDS)
    assert host.names()[2] == _C


def test_snapshot_gone_is_reported_when_no_replica_holds_it(
    host: _Host,
) -> None:
    """Guards against replanning because of one lagging replica.

    At first one searcher, then all searchers report that they no longer
    hold the snapshot.
    """
    gone = _REFUSAL(_REASON.SNAPSHOT_GONE, 'first', (2,))
    host.dialer.handlers[_A] = lambda call: gone
    host.prefer(_A)
    assert not host.run().snapshot_gone
    for name in (_B, _C):
        host.dialer.handlers[name] = lambda call: gone
    answer = host.run()
    assert answer.snapshot_gone and answer.refused == (_SERVICE,)


def test_hedge_is_sent_after_the_observed_quantile(host: _Host) -> None:
    """Guards against requests delayed by one slow searcher.

    The first searcher never replies. Its attempt is cancelled on another
    connection once the hedge has been answered.
    """
    host.warm()
    host.prefer(_A)
    host.dialer.handlers[_A] = fake_upstreams.never_answer
    task = host.start()
    host.dialer.await_calls(1)
    host.clock.await_waiters(2)
    host.clock.advance(0.009)
    assert len(host.dialer.calls) == 1
    host.clock.advance(0.002)
    answer = task.result(_TIMEOUT_S)
    assert _covered(answer) == list(_SHARDS)
    assert answer.sub_requests == 2
    (_, loser), (winner, _) = host.dialer.calls
    assert winner != _A
    host.dialer.await_cancelled(loser.attempt_id)


def test_silent_attempt_is_given_up_and_retried(host: _Host) -> None:
    """Guards against losing a request to a half-open connection.

    The first attempt gets no reply. The only searcher in service is tried
    again on a new connection.
    """
    host.publish(f'2,{_B},{_C}')
    host.warm((_A,))
    answers = iter([fake_upstreams.never_answer, fake_upstreams.answer_all])
    host.dialer.handlers[_A] = lambda call: next(answers)(call)
    task = host.start(1_000.0)
    host.advance_until_calls(2)
    assert _covered(task.result(_TIMEOUT_S)) == list(_SHARDS)
    assert host.dialer.dials[_A] >= 2


def _answer_when(event: threading.Event) -> fake_upstreams.Handler:
    def answer(
        call: messages.UpstreamSearch,
    ) -> messages.UpstreamSearchReply:
        assert event.wait(_TIMEOUT_S)
        return fake_upstreams.answer_all(call)

    return answer


def test_reply_of_an_abandoned_attempt_is_used(host: _Host) -> None:
    """Guards against a request that loses a reply which has arrived.

    The reply arrives after the attempt was abandoned.
    """
    host.publish(f'2,{_B},{_C}')
    host.warm((_A,))
    answer_now = threading.Event()
    host.dialer.handlers[_A] = _answer_when(answer_now)
    task = host.start(1_000.0)
    host.dialer.await_calls(1)
    (_, call), *_ = host.dialer.calls
    host.clock.await_waiters(1)
    host.clock.advance(1.0)
    host.dialer.await_cancelled(call.attempt_id)
    answer_now.set()
    answer = task.result(_TIMEOUT_S)
    assert _covered(answer) == list(_SHARDS)
    assert answer.sub_requests == 1


def test_slow_reply_of_the_only_cold_searcher_is_awaited(host: _Host) -> None:
    """Guards against abandoning an attempt that nothing can replace.

    A cold searcher gets no second request while it may be running the
    first.
    """
    host.publish(f'2,{_B},{_C}')
    host.warm((_A,))
    host.upstream(_A).slow_start.start_over()
    answer_now = threading.Event()
    host.dialer.handlers[_A] = _answer_when(answer_now)
    task = host.start(60.0)
    host.advance_up_to_calls(2, 2.0)
    answer_now.set()
    assert _covered(task.result(_TIMEOUT_S)) == list(_SHARDS)
    assert (host.names(), host.dialer.dials[_A]) == ([_A], 1)


def test_silent_cold_searcher_is_replaced_by_one_that_returns(
    host: _Host,
) -> None:
    """Guards against a request that waits for a cold searcher until the end.

    Its replicas return to service after the attempt has timed out.
    """
    host.publish(f'2,{_B},{_C}')
    host.warm((_A,))
    host.upstream(_A).slow_start.start_over()
    host.dialer.handlers[_A] = fake_upstreams.never_answer
    task = host.start(60.0)
    host.advance_up_to_calls(2, 1.0)
    assert host.names() == [_A]
    host.publish('3')
    host.advance_up_to_calls(2, 5.0)
    assert _covered(task.result(_TIMEOUT_S)) == list(_SHARDS)
    assert len(host.names()) == 2


def test_nothing_is_sent_after_the_deadline(host: _Host) -> None:
    """Guards against sending requests that nobody waits for.

    The deadline has passed when the batch starts.
    """
    task = host.start(0.0)
    answer = task.result(_TIMEOUT_S)
    assert (answer.refused, host.dialer.calls) == ((_SERVICE,), [])


def test_search_ends_before_a_stopping_host_exits(host: _Host) -> None:
    """Guards against searches that get no answer in a graceful shutdown.

    The host exits before the deadline of the search.
    """
    for name in (_A, _B, _C):
        host.dialer.handlers[name] = fake_upstreams.never_answer
    task = host.start(60.0)
    host.dialer.await_calls(1)
    host.drain.begin(deadlines.Deadline.after(host.clock, 5.0))
    host.advance_up_to_calls(100, 6.0)
    answer = task.result(5.0)
    assert (answer.refused, answer.answers) == ((), ())


def test_waiting_request_is_not_sent_out_of_service(host: _Host) -> None:
    """Guards against sending to a data centre that is out of service.

    The data centres are taken out of service while the request waits for
    capacity at their searchers.
    """
    upstreams = host.state.upstreams
    taken = [upstreams.try_acquire(lambda s: True) for _ in range(3)]
    task = host.start()
    host.clock.await_waiters(1)
    host.publish('2,dc-a,dc-b,dc-c')
    for upstream in taken:
        assert upstream is not None
        upstreams.release(upstream, None)
    host.clock.advance(0.6)
    assert task.result(_TIMEOUT_S).refused == (_SERVICE,)
    assert host.dialer.calls == []


def test_lost_answer_is_not_reported_as_refused(host: _Host) -> None:
    """Guards against reporting a request as refused that may have run.

    The searcher receives the request, but no reply arrives.
    """
    for name in (_A, _B, _C):
        host.dialer.handlers[name] = fake_upstreams.never_answer
    task = host.start()
    host.dialer.await_calls(1)
    host.clock.await_waiters(2)
    host.clock.advance(0.6)
    answer = task.result(_TIMEOUT_S)
    assert (answer.refused, answer.answers) == ((), ())


def test_ended_request_gives_its_room_back(host: _Host) -> None:
    """Guards against leaking capacity granted to an ended request.

    A searcher becomes free only after the waiting request has reached its
    deadline.
    """
    upstreams = host.state.upstreams
    taken = [upstreams.try_acquire(lambda s: True) for _ in range(3)]
    task = host.start(0.1)
    host.clock.await_waiters(1)
    host.clock.advance(0.2)
    assert task.result(_TIMEOUT_S).refused == (_SERVICE,)
    for upstream in taken:
        assert upstream is not None
        upstreams.release(upstream, None)
    assert sum(host.upstream(n).in_flight for n in (_A, _B, _C)) == 0


def test_connection_failure_is_retried_as_not_run(host: _Host) -> None:
    """Guards against losing a request to an unreachable searcher.

    No connection to the first searcher can be opened.
    """
    host.prefer(_A)
    host.dialer.handlers[_A] = lambda call: errors.ConnectFailed('refused')
    assert _covered(host.run()) == list(_SHARDS)
