"""Forwarding keeps its guarantees to callers when searchers fail."""

import collections.abc
import concurrent.futures
import contextlib
import queue
import random
import threading
import typing

import attrs
import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.connection import pool
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import directory
from corianderport_tier.process import fleet_share
from corianderport_tier.process import send_order
from corianderport_tier.process import service_searchers
from corianderport_tier.request import deadlines
from corianderport_tier.request import forward_messages
from corianderport_tier.request import forward_send
from corianderport_tier.request import forwarding
from corianderport_tier import result_codes
from corianderport_tier.version import routes

from . import entries

_BOUNDS = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5)
_WAIT_S = 10.0
Code = result_codes.ResultCode
Reply = forward_messages.SearcherReply
Failure = forward_messages.Failure


def reply(
    status: int = 200,
    body: bytes = b'',
    ran: bool = True,
    execution_proof: str = 'r',
) -> Reply:
    return Reply(status, (), body, execution_proof if ran else None, ran)


class _Transport:
    """Transport that returns one reply or raises one error."""

    def __init__(self, outcome: Reply | Exception) -> None:
        self._outcome = outcome

    def send(self, call: forward_messages.SearcherCall) -> None:
        return

    def receive(self, call: forward_messages.SearcherCall) -> Reply:
        if isinstance(self._outcome, Exception):
            raise self._outcome
        return self._outcome

    def abort(self) -> None:
        return

    def close(self) -> None:
        return


class _Pool:
    """Pool that queues send attempts for the test to finish."""

    def __init__(self, sends: 'queue.Queue[forward_send.SendAttempt]') -> None:
        self._sends = sends

    def submit(
        self,
        job: forward_send.SendAttempt,
        reuse: pool.Reuse = pool.ANY_CONNECTION,
    ) -> None:
        self._sends.put(job)

    def limit_connections(self, limit: int) -> None:
        return

    def limit_idle_time(self, idle_s: float) -> None:
        return

    def close(self) -> None:
        return


class _Caller:
    """Caller whose disconnect the test can trigger."""

    def __init__(self) -> None:
        self.on_disconnect: collections.abc.Callable[[], None] | None = None
        self.on_sent: collections.abc.Callable[[], None] | None = None

    @contextlib.contextmanager
    def watch(
        self, on_disconnect: collections.abc.Callable[[], None]
    ) -> collections.abc.Iterator[None]:
        self.on_disconnect = on_disconnect
        yield

    def call_when_sent(
        self, on_sent: collections.abc.Callable[[], None]
    ) -> None:
        self.on_sent = on_sent


class Host:
    """One host, its services and a request that runs on a thread."""

    def __init__(
        self,
        *host_routes: routes.Route,
        replicas: int = 3,
        open_pool: service_searchers.OpenPool | None = None,
        order: str = send_order.AUTO,
    ) -> None:
        self.clock = clock_module.ManualClock()
        self.sends: queue.Queue[forward_send.SendAttempt] = queue.Queue()
        self.caller = _Caller()
        share = fleet_share.FleetShare(
            _BOUNDS, 'h1', lambda: ('h1',), self.clock
        )
        rng = random.Random(1)
        self.directory = directory.Directory(
            lambda name: service_searchers.ServiceSearchers(
                name,
                'dc-a',
                share,
                open_pool or (lambda registration, limit: _Pool(self.sends)),
                self.clock,
                rng,
            ),
            self.clock,
            decision_log.DecisionLog(),
            send_order.OrderSetting(order),
        )
        self.forwarder = forwarding.Forwarder(
            self.directory, self.clock, decision_log.DecisionLog(), rng
        )
        names = {name for r in host_routes for name in r.services}
        changes = [entries.entry(1, entries.routing(1, *host_routes))]
        changes += [
            entries.entry(2, entries.registration(f'{name}-{n}', name))
            for name in sorted(names)
            for n in range(replicas)
        ]
        self.directory.apply(changes)
        self.answer: forward_messages.ForwardAnswer | None = None
        self._thread: threading.Thread | None = None

    def start(
        self,
        deadline_s: float = 0.8,
        path: str = '/find/x',
        waited_s: float = 0.0,
        path_s: float | None = None,
    ) -> None:
        request = attrs.evolve(
            self.request(path, deadline_s, waited_s), path_s=path_s
        )

        def run() -> None:
            self.answer = self.forwarder.answer(request, self.caller)

        self._thread = threading.Thread(target=run, daemon=True)
        self._thread.start()

    def request(
        self, path: str, deadline_s: float, waited_s: float
    ) -> forward_messages.ForwardRequest:
        """Return the request that ``start`` starts."""
        return forward_messages.ForwardRequest(
            'q1',
            'a.example',
            path,
            forward_messages.Payload(b'GET', b'/find/x', (), b''),
            deadlines.Deadline.after(self.clock, deadline_s),
            self.clock.monotonic() - waited_s,
        )

    def take(self) -> forward_send.SendAttempt:
        """Return the next send attempt."""
        return self.sends.get(timeout=_WAIT_S)

    def begin(self) -> forward_send.SendAttempt:
        """Return the next send attempt, sent but without a reply."""
        send = self.take()
        send.perform(_Transport(reply()))
        return send

    def end(
        self, send: forward_send.SendAttempt, outcome: Reply | Exception
    ) -> None:
        """Perform and finish a send attempt like its connection's task."""
        result: object
        try:
            result = send.perform(_Transport(outcome))
        except errors.CorianderportError as error:
            result = error
        send.finish(result)

    def advance(self, seconds: float) -> None:
        """Advance the clock once the request is waiting."""
        self.clock.await_waiters(1)
        self.clock.advance(seconds)

    def finish(self) -> forward_messages.ForwardAnswer | None:
        """Wait for the answer and return it."""
        assert self._thread is not None
        self._thread.join(_WAIT_S)
        assert not self._thread.is_alive()
        return self.answer

    @property
    def idle(self) -> bool:
        """Whether no send attempt is queued."""
        return self.sends.empty()


_NON_IDEMPOTENT = entries.route(idempotent=False)


@pytest.mark.parametrize(
    'error',
    [
        errors.ConnectionBroken('reset'),
        errors.ConnectionSilent('no answer'),
    ],
)
def test_request_that_may_have_run_is_not_sent_again(
    error: errors.TransportError,
) -> None:
    """Guards against running a non-idempotent request twice.

    The connection fails after the request was sent, so the searcher may
    have run it.
    """
    host = Host(_NON_IDEMPOTENT)
    host.start()
    host.end(host.take(), error)
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.OUTCOME_UNKNOWN
    assert answer.retry_after_s is None
    assert host.idle


@pytest.mark.parametrize(
    'outcome',
    [
        reply(503, ran=False),
        errors.ConnectFailed('refused'),
        errors.ConnectionStale('ended'),
    ],
)
def test_request_that_did_not_run_goes_to_another_searcher(
    outcome: Reply | Exception,
) -> None:
    host = Host(_NON_IDEMPOTENT)
    host.start()
    host.end(host.take(), outcome)
    host.end(host.take(), reply())
    answer = host.finish()
    assert isinstance(answer, forward_messages.Relayed)


def test_possible_run_is_not_denied_by_later_refusals() -> None:
    """Guards against 503 after a send that may have run.

    The last searcher says that it did not run the request, which says
    nothing about the first one.
    """
    host = Host(entries.route(), replicas=2)
    host.start()
    host.end(host.take(), errors.ConnectionBroken('reset'))
    assert host._thread is not None
    while host._thread.is_alive():
        try:
            send = host.sends.get(timeout=0.1)
        except queue.Empty:
            continue
        host.end(send, reply(503, ran=False))
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.OUTCOME_UNKNOWN
    assert answer.retry_after_s is None


@pytest.mark.parametrize(
    ('other_rank', 'policy'), [(1, 'least-loaded'), (0, 'expected-finish')]
)
def test_answer_states_how_its_sends_were_placed(
    other_rank: int, policy: str
) -> None:
    """Guards against choices that nobody can explain afterwards.

    By default, only services that a route of the highest priority shares
    with others are placed by expected finish.
    """
    host = Host(
        entries.route(goal_s=0.1),
        entries.route(name='other', prefix='/other/', rank=other_rank),
    )
    for _ in range(2):
        host.start()
        send = host.begin()
        host.advance(0.04)
        send.finish(reply())
        assert isinstance(host.finish(), forward_messages.Relayed)
    first, second = (
        d.inputs for d in host.forwarder.log.recent() if d.kind == 'answer'
    )
    assert first['placement'] == second['placement'] == [policy]
    # A quarter of the goal, then the time of the first reply.
    assert (first['expected_ms'], second['expected_ms']) == (25.0, 40.0)
    assert first['outstanding_ms'] == [0.0, 0.0, 0.0]


def test_explanation_of_each_shard_sends_nothing() -> None:
    """Guards against an explanation that is a request."""
    host = Host(
        entries.route(('a', 'b'), min_coverage=0.5, rank=0), replicas=2
    )
    explained = host.forwarder.explainer.explain('a.example', '/find/x', 0)
    assert explained.version == 1
    assert explained.refusal == ''
    assert explained.route is not None and explained.route.gather
    assert explained.expected_s == pytest.approx(0.025)
    assert [s.service for s in explained.services] == ['a', 'b']
    for service in explained.services:
        assert service.policy == 'least-loaded'
        assert service.extra_permitted
        assert service.chosen in {r.searcher for r in service.searchers}
        assert [r.excluded for r in service.searchers] == ['', '']
    assert host.idle
    assert not host.forwarder.log.recent()


@pytest.mark.parametrize(
    ('path', 'refusal'),
    [
        ('/none', 'no route matches the request'),
        ('/find/x', 'the host is shutting down'),
    ],
)
def test_explanation_of_a_refusal(path: str, refusal: str) -> None:
    """Guards against an explanation that leaves out the admission."""
    host = Host(entries.route())
    host.forwarder.drain.begin(deadlines.Deadline.after(host.clock, 0.01))
    explained = host.forwarder.explainer.explain('a.example', path, 0)
    assert explained.refusal == refusal
    assert bool(explained.services) is (path == '/find/x')


def _paused(pause_s: float) -> Reply:
    return attrs.evolve(reply(503, ran=False), pause_s=pause_s)


def test_request_waits_for_a_short_pause_of_all_searchers() -> None:
    """Guards against refusing what can still be answered with full worth."""
    host = Host(entries.route(), replicas=1)
    host.start()
    host.end(host.take(), _paused(0.02))
    host.advance(0.02)
    host.end(host.take(), reply())
    assert isinstance(host.finish(), forward_messages.Relayed)


def test_request_is_refused_at_once_during_a_long_pause() -> None:
    """Guards against holding a request that another host can serve.

    The pause of a searcher concerns this host only.
    """
    host = Host(_NON_IDEMPOTENT, replicas=2)
    host.start()
    for _ in range(2):
        host.end(host.take(), _paused(0.15))
    first = host.finish()
    host.start()
    second = host.finish()
    assert host.idle
    delays_s = []
    for answer in (first, second):
        assert isinstance(answer, Failure)
        assert answer.code.ran is result_codes.Ran.NO
        assert answer.retry_after_s is not None
        assert 0.15 <= answer.retry_after_s <= 0.2
        delays_s.append(answer.retry_after_s)
    assert delays_s[0] != delays_s[1]


@pytest.mark.parametrize(
    'outcome', [_paused(1.0), attrs.evolve(reply(), leaving=True)]
)
def test_statement_of_a_searcher_holds_for_a_send_that_waits(
    outcome: Reply,
) -> None:
    """Guards against a send that was chosen before the statement arrived."""
    host = Host(entries.route(), replicas=1)
    host.start()
    first = host.take()
    host.start()
    second = host.take()
    host.end(first, outcome)
    host.end(second, AssertionError('must not be sent'))
    assert not second.sent
    host.finish()


def test_flooded_route_does_not_stall_a_route_with_other_services() -> None:
    """Guards against one customer's searches that hold up another's."""
    flooded = entries.route(('s1',), prefix='/find/')
    other = entries.route(('s2',), prefix='/other/', name='other')
    host = Host(flooded, other, replicas=1)
    for _ in range(40):
        host.start()
    for _ in range(3):
        assert host.take().part.service.name == 's1'
    host.start(path='/other/x')
    send = host.take()
    assert send.part.service.name == 's2'
    host.end(send, reply())
    assert isinstance(host.finish(), forward_messages.Relayed)


def test_hedge_avoids_a_leaving_searcher() -> None:
    host = Host(entries.route(), replicas=2)
    host.start()
    host.end(host.take(), attrs.evolve(reply(), leaving=True))
    host.finish()
    host.start()
    only = host.take()
    host.advance(0.06)
    host.advance(0.001)
    assert host.idle
    host.end(only, reply())
    host.finish()


class _RepeatingSearcher:
    """Searcher that pauses for its first request and repeats that refusal.

    The second copy arrives on the same connection, after the next request
    was sent on it.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.runs = 0

    def dial(self) -> '_RepeatingTransport':
        return _RepeatingTransport(self)


class _RepeatingTransport(_Transport):
    def __init__(self, searcher: _RepeatingSearcher) -> None:
        super().__init__(reply())
        self._searcher = searcher
        self._copy: Reply | None = None

    def receive(self, call: forward_messages.SearcherCall) -> Reply:
        copy, self._copy = self._copy, None
        self._searcher.requests += 1
        if self._searcher.requests == 1:
            self._copy = _paused(0.02)
            return self._copy
        self._searcher.runs += 1
        return copy or reply()


@pytest.mark.parametrize('idempotent', [False, True])
def test_second_copy_of_a_refusal_is_no_reply_to_the_next_send(
    idempotent: bool,
) -> None:
    """Guards against running a request again, or refusing it after it ran.

    All sends of a request have the same id, by which replies are matched.
    """
    searcher = _RepeatingSearcher()
    with concurrent.futures.ThreadPoolExecutor() as executor:
        connections = pool.ConnectionPool(
            searcher.dial,
            executor,
            clock_module.ManualClock(),
            pool.PoolLimits(2),
        )
        host = Host(
            entries.route(idempotent=idempotent),
            replicas=1,
            open_pool=lambda registration, limit: connections,
        )
        host.start()
        host.advance(0.02)
        answer = host.finish()
        connections.close()
    assert searcher.runs == 1
    assert isinstance(answer, forward_messages.Relayed)


def test_statement_after_the_end_of_the_request_counts() -> None:
    """Guards against ignoring the reply to a hedge that was answered first."""
    host = Host(entries.route(), replicas=2)
    host.start()
    first = host.begin()
    host.advance(0.06)
    second = host.take()
    host.end(second, reply())
    host.finish()
    service = host.directory.service('stock')
    assert service is not None
    first.finish(attrs.evolve(reply(), leaving=True))
    assert not service.may_send(first.choice.state)


def test_searchers_own_failure_is_relayed_once() -> None:
    host = Host(_NON_IDEMPOTENT)
    host.start()
    host.end(host.take(), reply(500))
    answer = host.finish()
    assert isinstance(answer, forward_messages.Relayed)
    assert answer.reply.status == 500
    assert host.idle


@pytest.mark.parametrize('status', [408, 429, 503])
def test_status_that_promises_not_run_is_not_relayed(status: int) -> None:
    """Guards against a 'not run' status that the searcher did not mean.

    Callers take these statuses to mean that the request did not run, but
    the searcher may have sent one after running it.
    """
    host = Host(_NON_IDEMPOTENT)
    host.start()
    host.end(host.take(), reply(status))
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.UPSTREAM_FAILED
    assert answer.retry_after_s is None


def test_refusals_by_all_searchers_are_refused_with_a_time() -> None:
    host = Host(_NON_IDEMPOTENT, replicas=2)
    host.start()
    for _ in range(2):
        host.end(host.take(), reply(503, ran=False))
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code.ran is result_codes.Ran.NO
    assert answer.retry_after_s is not None
    assert 0 < answer.retry_after_s <= 0.8 / 3


def test_refused_request_does_not_use_up_the_extra_sends() -> None:
    """Guards against exhausting the budget shared by all requests.

    Both searchers refuse every send of one request.
    """
    host = Host(entries.route(), replicas=2)
    host.start()
    for _ in range(4):
        send = host.take()
        host.clock.advance(0.03)
        host.end(send, reply(503, ran=False))
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.UPSTREAM_REFUSED


def test_idempotent_request_runs_on_no_more_searchers_than_allowed() -> None:
    host = Host(entries.route(attempts=2))
    host.start()
    for _ in range(2):
        host.end(host.take(), errors.ConnectionBroken('reset'))
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert host.idle


def test_late_answer_is_hedged_at_another_searcher() -> None:
    host = Host(entries.route())
    host.start()
    first = host.begin()
    host.advance(0.06)
    second = host.take()
    assert second.searcher != first.searcher
    host.end(second, reply())
    assert isinstance(host.finish(), forward_messages.Relayed)


def test_connection_that_does_not_open_is_hedged() -> None:
    """Guards against waiting for a searcher that cannot be reached.

    The time until the request is sent is this host's own at first, so that
    twice the usual time passes.
    """
    host = Host(entries.route())
    host.start()
    first = host.take()
    host.advance(0.06)
    host.advance(0.03)
    assert host.idle
    host.advance(0.02)
    second = host.take()
    assert second.searcher != first.searcher
    host.end(second, reply())
    assert isinstance(host.finish(), forward_messages.Relayed)


def test_hedge_is_left_out_if_its_reply_would_miss_the_goal() -> None:
    """Guards against sends that only delay the replies of other parts.

    At the goal, three of four parts suffice; the reply to a hedge usually
    takes 25 ms.
    """
    host = Host(_gather(0.75), replicas=2)
    host.start()
    for _ in _SHARDS[:3]:
        host.end(host.take(), reply())
    host.clock.await_waiters(1)
    late = host.take()
    host.clock.advance(0.065)
    late.perform(_Transport(reply()))
    host.advance(0.015)
    assert host.idle
    host.advance(0.02)
    assert isinstance(host.finish(), forward_messages.Gathered)
    assert host.idle


def test_hedge_is_sent_at_the_goal_if_too_few_parts_have_answered() -> None:
    """Guards against a late gather that waits for a silent searcher."""
    host = Host(_gather(1.0), replicas=2)
    host.start()
    for _ in _SHARDS[:3]:
        host.end(host.take(), reply())
    late = host.take()
    host.advance(0.07)
    late.perform(_Transport(reply()))
    host.advance(0.01)
    assert host.idle
    host.advance(0.05)
    host.end(host.take(), reply())
    answer = host.finish()
    assert isinstance(answer, forward_messages.Gathered)
    assert answer.missing == 0


def test_hedge_that_spared_the_budget_is_sent_for_the_last_part() -> None:
    """Guards against giving a late part up for good.

    When its hedge was due, most parts were pending, and such hedges leave
    the rest of the budget to others.
    """
    services = tuple(f's{n}' for n in range(10))
    host = Host(
        entries.route(services, min_coverage=1.0, goal_s=0.4), replicas=2
    )
    host.start()
    sends = {s.part.service.name: s for s in (host.begin() for _ in services)}
    late = sends.pop('s0')
    # Leave one extra send of the service, which the reserve covers.
    service = late.part.service
    while service.try_extra(0.4):
        continue
    assert service.try_extra(0.2)
    host.advance(0.25)
    for _ in range(9):
        hedge = host.take()
        assert hedge.part.service is not service
        host.end(hedge, reply())
    hedge = host.take()
    assert hedge.part.service is service
    host.end(hedge, reply())
    answer = host.finish()
    assert isinstance(answer, forward_messages.Gathered)
    assert answer.missing == 0


def test_request_that_may_run_once_is_never_hedged() -> None:
    host = Host(_NON_IDEMPOTENT)
    host.start(deadline_s=0.5)
    send = host.take()
    host.advance(0.3)
    assert host.idle
    host.end(send, reply())
    assert isinstance(host.finish(), forward_messages.Relayed)


def test_final_answer_comes_at_the_timeout_of_the_route() -> None:
    host = Host(entries.route(timeout_s=0.2, attempts=1))
    host.start(deadline_s=5.0)
    send = host.take()
    sending = threading.Event()
    release = threading.Event()

    class _Hanging(_Transport):
        def receive(self, call: forward_messages.SearcherCall) -> Reply:
            sending.set()
            release.wait(_WAIT_S)
            raise errors.ConnectionBroken('aborted')

    worker = threading.Thread(
        target=lambda: _perform_and_finish(send, _Hanging(reply())),
        daemon=True,
    )
    worker.start()
    assert sending.wait(_WAIT_S)
    host.advance(0.2)
    answer = host.finish()
    release.set()
    worker.join(_WAIT_S)
    assert isinstance(answer, Failure)
    assert answer.code is Code.OUTCOME_UNKNOWN


def _perform_and_finish(
    send: forward_send.SendAttempt, transport: _Transport
) -> None:
    try:
        send.finish(send.perform(transport))
    except errors.CorianderportError as error:
        send.finish(error)


def test_send_that_was_not_begun_never_runs_after_a_refusal() -> None:
    """Guards against running a request after it was refused.

    The deadline passes while the send waits for its connection.
    """
    host = Host(entries.route(attempts=1))
    host.start(deadline_s=0.2)
    send = host.take()
    host.advance(0.2)
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.DEADLINE_PAST
    with pytest.raises(errors.Refusal):
        send.perform(_Transport(reply()))


def test_nothing_is_sent_to_a_searcher_that_left_while_it_waited() -> None:
    host = Host(entries.route(), replicas=1)
    host.start()
    send = host.take()
    host.directory.apply([entries.entry(9, None, 'servers/stock-0')])
    host.end(send, reply())
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.NO_UPSTREAM


def test_caller_that_goes_away_ends_everything() -> None:
    host = Host(entries.route())
    host.start()
    send = host.take()
    host.clock.await_waiters(1)
    assert host.caller.on_disconnect is not None
    host.caller.on_disconnect()
    assert host.finish() is None
    assert send.cancelled
    with pytest.raises(errors.Refusal):
        send.perform(_Transport(reply()))


_SHARDS = ('shard-a', 'shard-b', 'shard-c', 'shard-d')


def _gather(min_coverage: float) -> routes.Route:
    return entries.route(_SHARDS, min_coverage)


def _take_all(host: Host) -> dict[str, forward_send.SendAttempt]:
    sends = [host.take() for _ in _SHARDS]
    return {send.part.service.name: send for send in sends}


def test_gather_merges_the_greatest_records_of_all_parts() -> None:
    host = Host(_gather(0.75))
    host.start()
    for number, send in enumerate(_take_all(host).values()):
        body = bytes([number]) * 16
        host.end(send, reply(body=body, execution_proof=f'r{number}'))
    answer = host.finish()
    assert isinstance(answer, forward_messages.Gathered)
    assert answer.missing == 0
    assert answer.body == bytes([3]) * 16 + bytes([2]) * 16
    assert sorted(answer.execution_proofs) == ['r0', 'r1', 'r2', 'r3']


def test_gather_answers_without_a_late_part_at_the_goal() -> None:
    """Guards against a late answer because of one slow part.

    Three of four parts suffice for the route; the fourth has not answered
    by the latency goal.
    """
    host = Host(_gather(0.75), replicas=1)
    host.start()
    sends = _take_all(host)
    for name in _SHARDS[:3]:
        host.end(sends[name], reply(execution_proof=name))
    host.advance(0.05)
    host.advance(0.05)
    answer = host.finish()
    assert isinstance(answer, forward_messages.Gathered)
    assert answer.missing == 1


def test_goal_counts_from_the_first_byte_of_the_request() -> None:
    """Guards against a late answer on a host that is slow to read.

    The goal is 100 ms; the request has waited for 60 ms of them.
    """
    host = Host(_gather(0.75), replicas=1)
    host.start(waited_s=0.06)
    sends = _take_all(host)
    for name in _SHARDS[:3]:
        host.end(sends[name], reply(execution_proof=name))
    host.advance(0.03)
    assert isinstance(host.finish(), forward_messages.Gathered)


@pytest.mark.parametrize(('path_s', 'in_time'), [(0.03, True), (0.002, False)])
def test_goal_leaves_the_time_on_the_network(
    path_s: float, in_time: bool
) -> None:
    """Guards against answers that are late by the way to their callers.

    And against leaving out parts that a caller nearby could still get. The
    goal is 100 ms.
    """
    host = Host(_gather(0.75), replicas=1)
    host.start(path_s=path_s)
    sends = _take_all(host)
    for name in _SHARDS[:3]:
        host.end(sends[name], reply(execution_proof=name))
    host.advance(0.07)
    if not in_time:
        host.clock.await_waiters(1)
        assert host.answer is None
        host.advance(0.03)
    assert isinstance(host.finish(), forward_messages.Gathered)


def test_delay_of_an_answer_ends_when_it_is_sent() -> None:
    """Guards against a margin that leaves out the writing of the answer."""
    host = Host(_gather(0.75), replicas=1)
    before_s = host.forwarder.answer_delay.expected_s
    for _ in range(20):
        host.start()
        sends = _take_all(host)
        for name in _SHARDS[:3]:
            host.end(sends[name], reply(execution_proof=name))
        host.advance(0.05)
        host.advance(0.05)
        host.finish()
        host.clock.advance(0.004)
        assert host.caller.on_sent is not None
        host.caller.on_sent()
        host.end(sends['shard-d'], reply(execution_proof='shard-d'))
    assert host.forwarder.answer_delay.expected_s > before_s


def test_failed_part_is_not_waited_for() -> None:
    host = Host(_gather(0.75), replicas=1)
    host.start()
    sends = _take_all(host)
    for name in _SHARDS[:3]:
        host.end(sends[name], reply(execution_proof=name))
    host.end(sends['shard-d'], errors.ConnectFailed('refused'))
    answer = host.finish()
    assert isinstance(answer, forward_messages.Gathered)
    assert answer.missing == 1


def test_searchers_failure_is_no_part() -> None:
    host = Host(_gather(0.75), replicas=1)
    host.start()
    sends = _take_all(host)
    for name in _SHARDS[:3]:
        host.end(sends[name], reply(execution_proof=name))
    host.end(sends['shard-d'], reply(500, execution_proof='x'))
    host.end(host.take(), reply(500, execution_proof='x'))
    answer = host.finish()
    assert isinstance(answer, forward_messages.Gathered)
    assert 'x' not in answer.execution_proofs


def test_too_few_parts_are_refused_at_once_when_nothing_ran() -> None:
    host = Host(_gather(0.75), replicas=0)
    host.start()
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.NO_UPSTREAM
    assert answer.retry_after_s is not None


def test_too_few_parts_after_a_run_promise_nothing() -> None:
    host = Host(_gather(1.0), replicas=1)
    host.start()
    sends = _take_all(host)
    host.end(sends['shard-a'], reply())
    host.end(sends['shard-b'], errors.ConnectFailed('refused'))
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.COVERAGE_NOT_MET


def test_unknown_route_and_missing_routing() -> None:
    host = Host(entries.route(prefix='/other/'))
    host.start()
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.UNKNOWN_SERVICE


@pytest.mark.parametrize(
    ('prefix', 'wanted', 'code'),
    [
        ('/find/', True, Code.NOT_READY),
        ('/other/', False, Code.UNKNOWN_SERVICE),
    ],
)
def test_request_without_its_body_is_not_sent(
    prefix: str, wanted: bool, code: Code
) -> None:
    """Guards against sending a request whose body was dropped.

    No route matched when the body arrived; one matches when the request is
    complete.
    """
    host = Host(entries.route(prefix=prefix))
    request = forward_messages.ForwardRequest(
        'q1',
        'a.example',
        '/find/x',
        forward_messages.Payload(b'POST', b'/find/x', (), b''),
        deadlines.Deadline.after(host.clock, 1.0),
        host.clock.monotonic(),
        body_dropped=True,
    )
    assert host.forwarder.wants_body(request) == wanted
    answer = host.forwarder.answer(request, host.caller)
    assert isinstance(answer, Failure)
    assert answer.code is code
    assert (answer.retry_after_s is not None) == wanted
    assert host.idle


def test_host_without_routing_says_that_it_is_not_ready() -> None:
    """Guards against 'unknown service' before the routes are loaded.

    Callers would take the 404 response to mean that no such route is
    configured.
    """
    host = Host(entries.route())
    empty = directory.Directory(
        typing.cast(typing.Any, None),
        host.clock,
        decision_log.DecisionLog(),
    )
    host.forwarder.directory = empty
    host.start()
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.NOT_READY


def test_request_that_runs_at_the_end_of_a_shutdown_is_answered() -> None:
    """Guards against a request that ends with the process.

    The searcher may have run it, so that the answer must not say otherwise.
    """
    host = Host(_NON_IDEMPOTENT)
    host.start(deadline_s=30.0)
    send = host.take()
    sent = threading.Event()

    class _Silent(_Transport):
        def receive(self, call: forward_messages.SearcherCall) -> Reply:
            sent.set()
            aborted.wait(_WAIT_S)
            raise errors.ConnectionBroken('aborted')

        def abort(self) -> None:
            aborted.set()

    aborted = threading.Event()

    def perform() -> None:
        try:
            send.perform(_Silent(reply()))
        except errors.CorianderportError as error:
            send.finish(error)

    connection = threading.Thread(target=perform, daemon=True)
    connection.start()
    assert sent.wait(_WAIT_S)
    host.forwarder.drain.begin(deadlines.Deadline.after(host.clock, 0.2))
    host.advance(0.3)
    answer = host.finish()
    connection.join(_WAIT_S)
    assert isinstance(answer, Failure)
    assert answer.code is Code.OUTCOME_UNKNOWN


def test_request_without_time_before_the_end_of_a_shutdown_is_refused() -> (
    None
):
    """Guards against requests that are sent on and then cut."""
    host = Host(_NON_IDEMPOTENT)
    host.forwarder.drain.begin(deadlines.Deadline.after(host.clock, 0.01))
    host.start()
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.NOT_READY
    assert answer.retry_after_s is not None
    assert host.idle


def test_request_early_in_a_shutdown_is_served() -> None:
    """Guards against refusing callers that the load balancer still sends."""
    host = Host(_NON_IDEMPOTENT)
    host.forwarder.drain.begin(deadlines.Deadline.after(host.clock, 5.0))
    host.start()
    host.end(host.take(), reply())
    assert isinstance(host.finish(), forward_messages.Relayed)
