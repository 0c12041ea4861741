"""Tests of the order in which sends that wait for capacity are served."""

import random
import threading

import hypothesis
from hypothesis import strategies
import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import fleet_share
from corianderport_tier.process import searcher_state
from corianderport_tier.process import send_order
from corianderport_tier.process import service_searchers
from corianderport_tier.request import forward_messages
from corianderport_tier.version import routes
from corianderport_tier.version import workspaces

from . import entries
from . import placement_simulation
from . import test_forwarding

_BOUNDS = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5)
_NOT_FAILED = searcher_state.SendResult(failed=False)
Choice = service_searchers.Choice
NoChoice = service_searchers.NoChoice
Urgency = send_order.Urgency
WaitingSend = send_order.WaitingSend


class _Service:
    """A service whose only searcher accepts two requests at once."""

    def __init__(self, by_urgency: bool = False, searchers: int = 1) -> None:
        self.clock = clock_module.ManualClock()
        self.searchers = service_searchers.ServiceSearchers(
            'stock',
            'dc-a',
            fleet_share.FleetShare(_BOUNDS, 'h1', lambda: ('h1',), self.clock),
            lambda registration, limit: placement_simulation.Pool(),
            self.clock,
            random.Random(1),
        )
        self.registered = [
            entries.registration(f's{n}') for n in range(searchers)
        ]
        self.update(by_urgency)
        self.running: list[Choice] = []
        self.served: list[WaitingSend] = []

    def update(self, by_urgency: bool) -> None:
        self.searchers.update(
            entries.parameters(connections=18),
            self.registered,
            by_urgency=by_urgency,
        )

    def choose(self, excluded: tuple[str, ...] = ()) -> Choice | NoChoice:
        choice = self.searchers.choose(excluded, entries.request_class(0.01))
        if isinstance(choice, Choice):
            self.running.append(choice)
        return choice

    def fill(self) -> None:
        while self.choose() is not NoChoice.FULL:
            pass

    def wait(
        self,
        rank: int = 0,
        goal_in_s: float = 1.0,
        max_wait_s: float = 10.0,
        excluded: tuple[str, ...] = (),
    ) -> WaitingSend:
        """Let a send wait that may still start for some seconds."""
        send = WaitingSend(
            frozenset(excluded),
            entries.request_class(0.01),
            Urgency(rank, self.clock.monotonic() + goal_in_s, max_wait_s),
            self.served.append,
        )
        self.searchers.wait_for_capacity(send)
        return send

    def end(self) -> None:
        self.searchers.finish(self.running.pop(0), _NOT_FAILED)

    def end_and_serve(self) -> list[WaitingSend]:
        """End a request; start and return the sends that are served."""
        before = len(self.served)
        self.end()
        for send in self.served[before:]:
            assert send.choice is not None
            self.running.append(send.choice)
        return self.served[before:]

    def serve_all(self) -> list[WaitingSend]:
        """End one request after the other; return the sends as served."""
        while self.end_and_serve():
            pass
        return self.served


def test_capacity_that_is_free_before_the_wait_is_given_at_once() -> None:
    """Guards against a send that waits while there is capacity.

    The capacity becomes free between the choice without a result and the
    wait.
    """
    service = _Service()
    service.fill()
    service.end()
    send = service.wait()
    assert service.served == [send]
    assert send.choice is not None


def test_a_new_request_does_not_overtake_a_waiting_one() -> None:
    """Guards against capacity that is taken before a waiting task runs."""
    service = _Service()
    service.fill()
    sends = [service.wait(), service.wait()]
    service.end()
    assert service.choose() is NoChoice.FULL
    assert service.served == sends[:1]


def test_capacity_is_given_to_one_send() -> None:
    """Guards against waking all waiting tasks for one free connection."""
    service = _Service()
    service.fill()
    sends = [service.wait() for _ in range(5)]
    service.end()
    assert service.served == sends[:1]


def test_capacity_of_an_ended_request_is_given_on() -> None:
    """Guards against capacity that is lost with a request that ends."""
    service = _Service()
    service.fill()
    first, second, third = (service.wait() for _ in range(3))
    service.searchers.stop_waiting(second)
    service.end()
    assert service.served == [first]
    # The capacity was given, but the request ends before it is used.
    service.searchers.stop_waiting(first)
    assert service.served == [first, third]
    service.running.append(third.choice)
    while service.running:
        service.end()
    assert all(service.choose() is not NoChoice.FULL for _ in range(2)), (
        'capacity was lost'
    )


def test_send_that_must_not_use_a_searcher_does_not_block_others() -> None:
    """Guards against a queue that waits for the searcher of its first send."""
    service = _Service(searchers=2)
    service.fill()
    retry = service.wait(excluded=('s0',))
    other = service.wait()
    choice = next(c for c in service.running if c.state.name == 's0')
    service.searchers.finish(choice, _NOT_FAILED)
    assert service.served == [other]
    choice = next(c for c in service.running if c.state.name == 's1')
    service.searchers.finish(choice, _NOT_FAILED)
    assert service.served == [other, retry]


def test_waiting_sends_learn_that_no_searcher_is_left() -> None:
    """Guards against waiting for searchers that are gone."""
    service = _Service()
    service.fill()
    sends = [service.wait(), service.wait()]
    service.registered = []
    service.update(by_urgency=False)
    assert service.served == sends
    assert [s.choice for s in sends] == [None, None]


def test_backoff_that_has_ended_serves_the_waiting_send_first() -> None:
    """Guards against a new request that overtakes after a backoff."""
    service = _Service(searchers=2)
    service.fill()
    choice = service.running.pop(0)
    service.searchers.finish(
        choice, searcher_state.SendResult(failed=True, unreachable=True)
    )
    send = service.wait()
    assert service.served == []
    service.clock.advance(5.0)
    assert service.choose() is NoChoice.FULL
    assert service.served == [send]


def test_urgent_sends_come_first() -> None:
    service = _Service(by_urgency=True)
    service.fill()
    late = service.wait(rank=0, goal_in_s=-0.1)
    tolerant = service.wait(rank=2, goal_in_s=0.5)
    later = service.wait(rank=0, goal_in_s=0.4)
    census = service.wait(rank=1, goal_in_s=0.1)
    urgent = service.wait(rank=0, goal_in_s=0.3)
    same = service.wait(rank=0, goal_in_s=0.3)
    assert service.serve_all() == [
        urgent,
        same,
        later,
        late,
        census,
        tolerant,
    ]


def test_no_later_send_is_served_before_one_that_waited_for_long() -> None:
    """Guards against requests of low priority that wait forever."""
    service = _Service(by_urgency=True)
    service.fill()
    tolerant = service.wait(rank=2, max_wait_s=0.3)
    service.clock.advance(0.2)
    served_before = service.wait(rank=0)
    service.end()
    service.running.append(served_before.choice)
    service.clock.advance(0.1)
    urgent = service.wait(rank=0)
    assert service.serve_all() == [served_before, tolerant, urgent]


def test_change_of_the_order_keeps_all_sends() -> None:
    """Guards against sends that a new configuration forgets."""
    service = _Service(by_urgency=True)
    service.fill()
    sends = [service.wait(rank=rank) for rank in (2, 1, 0)]
    service.update(by_urgency=False)
    service.end()
    assert service.served == sends[:1]
    service.update(by_urgency=True)
    service.end()
    assert service.served == [sends[0], sends[2]]


_ACTIONS = strategies.lists(
    strategies.one_of(
        # Rank, seconds until the latest start, longest wait.
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.integers(-2, 5),
            strategies.integers(1, 6),
        ),
        strategies.sampled_from(['advance', 'serve', 'withdraw']),
    ),
    max_size=60,
)


def _expected(waiting: list[WaitingSend], now_s: float) -> list[WaitingSend]:
    def key(send: WaitingSend) -> tuple[float, ...]:
        urgency = send.urgency
        if now_s - send.arrived_s >= urgency.max_wait_s:
            return (0, 0, 0, 0, send.number)
        late = urgency.start_by_s < now_s
        return (1, urgency.rank, late, urgency.start_by_s, send.number)

    return sorted(waiting, key=key)


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(_ACTIONS)
def test_order_by_urgency_is_that_of_the_key(actions: list[object]) -> None:
    """Guards against an order that depends on earlier additions."""
    order = send_order.order(send_order.URGENCY)
    waiting: list[WaitingSend] = []
    now_s, number = 100.0, 0
    for action in actions:
        if isinstance(action, tuple):
            rank, start_in_s, max_wait_s = action
            number += 1
            send = WaitingSend(
                frozenset(),
                entries.request_class(0.01),
                Urgency(rank, now_s + start_in_s, max_wait_s),
                lambda send: None,
                number=number,
                arrived_s=now_s,
            )
            order.add(send)
            waiting.append(send)
        elif action == 'advance':
            now_s += 1.0
        elif waiting:
            found = next(iter(order.in_order(now_s)))
            if action == 'withdraw':
                found = waiting[len(waiting) // 2]
            assert order.remove(found)
            assert not order.remove(found)
            waiting.remove(found)
        expected = _expected(waiting, now_s)
        assert list(order.in_order(now_s)) == expected
        assert len(order) == len(waiting)


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(strategies.booleans(), max_size=60))
def test_with_equal_priorities_the_order_of_arrival_stays(
    actions: list[bool],
) -> None:
    """Guards against a change for deployments without priorities."""
    service = _Service()
    service.fill()
    sends = []
    for arrives in actions:
        if arrives:
            # The goals alone would give the opposite order.
            sends.append(service.wait(goal_in_s=1.0 - len(sends) * 0.01))
        elif service.running:
            service.end_and_serve()
    assert service.served == sends[: len(service.served)]


def _routing(
    *used: routes.Route, ranks: tuple[int, ...] | None = None
) -> routes.RoutingVersion:
    known = None
    if ranks is not None:
        known = workspaces.Workspaces.from_keys(
            (f'k{n}', workspaces.Workspace(f'w{n}', rank))
            for n, rank in enumerate(ranks)
        )
    services = {n: entries.parameters(n) for r in used for n in r.services}
    return routes.RoutingVersion(1, used, services, entries.LIMITS, known)


@pytest.mark.parametrize(
    ('ranks', 'public', 'by_urgency'),
    [
        (None, False, {'both'}),
        ((1, 1), False, set()),
        ((1, 2), False, {'both', 'one', 'two'}),
        ((1, 1), True, {'both', 'two'}),
    ],
)
def test_urgency_counts_only_where_priorities_differ(
    ranks: tuple[int, ...] | None, public: bool, by_urgency: set[str]
) -> None:
    """Guards against a change for configurations with one priority.

    The priority of a workspace replaces that of the route.
    """
    routing = _routing(
        entries.route(('both', 'one'), name='a', rank=1),
        entries.route(('both', 'two'), name='b', rank=2, public=public),
        ranks=ranks,
    )
    assert routing.services_by_urgency == by_urgency


@pytest.mark.parametrize(
    ('value', 'rank', 'by_urgency'),
    [
        (send_order.AUTO, 0, {'both'}),
        (send_order.AUTO, 1, set()),
        (send_order.URGENCY, 1, {'both'}),
        (send_order.ARRIVAL, 0, set()),
    ],
)
def test_order_of_a_service(
    value: str, rank: int, by_urgency: set[str]
) -> None:
    """Guards against an order that a configuration does not ask for.

    Without a route of the highest priority, requests of low priority lost
    more than the others gained.
    """
    routing = _routing(
        entries.route(('both', 'one'), name='a', rank=rank),
        entries.route(('both', 'two'), name='b', rank=2),
    )
    setting = send_order.OrderSetting(value)
    assert setting.services_by_urgency(routing) == by_urgency


@pytest.mark.parametrize(
    ('order', 'census_rank', 'expected'),
    [
        (send_order.AUTO, 1, ['find', 'census']),
        (send_order.URGENCY, 0, ['census', 'find']),
        (send_order.ARRIVAL, 1, ['census', 'find']),
    ],
)
def test_urgent_request_is_sent_before_a_waiting_census(
    order: str, census_rank: int, expected: list[str]
) -> None:
    """Guards against an order that requests do not follow.

    With that setting or equal priorities, the order of arrival stays.
    """
    host = test_forwarding.Host(
        entries.route(rank=0, timeout_s=20.0, goal_s=1.0),
        entries.route(
            name='census',
            prefix='/census/',
            rank=census_rank,
            timeout_s=20.0,
            goal_s=5.0,
        ),
        replicas=1,
        order=order,
    )
    service = host.directory.service('stock')
    assert service is not None
    request_class = entries.request_class(0.01)
    held = []
    while isinstance(choice := service.choose((), request_class), Choice):
        held.append(choice)
    threads = []
    for path in ('/census/1', '/find/1'):
        host.start(deadline_s=20.0, path=path)
        threads.append(host._thread)
        host.clock.await_waiters(len(threads))
    paths = []
    for choice in held[:2]:
        service.finish(choice, _NOT_FAILED)
        send = host.begin()
        paths.append(send.part._route.name)
        send.finish(test_forwarding.reply())
    assert paths == expected
    for thread in threads:
        assert isinstance(thread, threading.Thread)
        thread.join(10.0)
    assert isinstance(host.answer, forward_messages.Relayed)


def test_request_that_ends_while_it_waits_leaves_the_queue() -> None:
    """Guards against capacity that is given to requests that have ended."""
    host = test_forwarding.Host(entries.route(), replicas=1)
    service = host.directory.service('stock')
    assert service is not None
    request_class = entries.request_class(0.01)
    held = []
    while isinstance(choice := service.choose((), request_class), Choice):
        held.append(choice)
    host.start()
    host.clock.await_waiters(1)
    assert host.caller.on_disconnect is not None
    host.caller.on_disconnect()
    assert host.finish() is None
    service.finish(held[0], _NOT_FAILED)
    assert isinstance(service.choose((), request_class), Choice)
    assert host.idle
