"""Tests of ServiceSearchers: load balancing, limits and budgets."""

import random

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import fleet_share
from corianderport_tier.process import placement
from corianderport_tier.process import searcher_state
from corianderport_tier.process import send_order
from corianderport_tier.process import service_searchers
from corianderport_tier.process import stated_availability

from . import entries

_BOUNDS = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5)
SendResult = searcher_state.SendResult
NoChoice = service_searchers.NoChoice


class _Pool:
    def submit(self, job: object, reuse: object = None) -> None:
        raise AssertionError('nothing is sent here')

    def limit_connections(self, limit: int) -> None:
        self.limit = limit

    def limit_idle_time(self, idle_s: float) -> None:
        return

    def close(self) -> None:
        return


@pytest.fixture
def clock() -> clock_module.ManualClock:
    return clock_module.ManualClock()


def _service(
    share: fleet_share.FleetShare, clock: clock_module.ManualClock
) -> service_searchers.ServiceSearchers:
    return service_searchers.ServiceSearchers(
        'stock',
        'dc-a',
        share,
        lambda registration, limit: _Pool(),
        clock,
        random.Random(1),
    )


@pytest.fixture
def service(
    clock: clock_module.ManualClock,
) -> service_searchers.ServiceSearchers:
    share = fleet_share.FleetShare(_BOUNDS, 'h1', lambda: ('h1',), clock)
    searchers = _service(share, clock)
    searchers.update(
        entries.parameters(),
        [
            entries.registration('s1'),
            entries.registration('s2', data_centre='dc-b'),
            entries.registration('s3', data_centre='dc-c'),
        ],
    )
    return searchers


def _choose(
    service: service_searchers.ServiceSearchers, *excluded: str
) -> service_searchers.Choice:
    choice = service.choose(excluded, entries.request_class(0.01))
    assert isinstance(choice, service_searchers.Choice)
    return choice


def test_idle_searcher_in_the_local_data_centre_is_preferred(
    service: service_searchers.ServiceSearchers,
) -> None:
    names = [_choose(service).state.name for _ in range(3)]
    assert names[0] == 's1'
    assert set(names) == {'s1', 's2', 's3'}


def test_slow_searcher_is_avoided_and_tried_again_later(
    service: service_searchers.ServiceSearchers,
    clock: clock_module.ManualClock,
) -> None:
    slow = _choose(service)
    service.finish(slow, SendResult(False, elapsed_s=0.1, median_s=0.01))
    assert _choose(service).state.name != 's1'
    clock.advance(15.0)
    assert _choose(service, 's2', 's3').state.name == 's1'


@pytest.mark.parametrize(('gap_s', 'avoided'), [(0.05, False), (2.0, True)])
def test_slow_searcher_is_avoided_for_several_requests(
    service: service_searchers.ServiceSearchers,
    clock: clock_module.ManualClock,
    gap_s: float,
    avoided: bool,
) -> None:
    """Guards against trying a slow searcher with every second request.

    With little traffic, the next request comes seconds after the slow one.
    """
    for _ in range(6):
        service.count_request()
        clock.advance(gap_s)
    slow = _choose(service, 's2', 's3')
    service.finish(slow, SendResult(False, elapsed_s=0.12, median_s=0.01))
    clock.advance(10.0)
    choice = _choose(service)
    assert (choice.state.name != 's1') is avoided


def test_searcher_whose_answer_is_overdue_counts_as_slow_at_once(
    service: service_searchers.ServiceSearchers,
    clock: clock_module.ManualClock,
) -> None:
    """A paused searcher must get no more requests before it replies."""
    paused = _choose(service)
    clock.advance(0.08)
    others = {_choose(service).state.name for _ in range(4)}
    assert paused.state.name not in others


def test_unreachable_searcher_is_retried_after_a_delay(
    service: service_searchers.ServiceSearchers,
    clock: clock_module.ManualClock,
) -> None:
    for name in ('s1', 's2', 's3'):
        others = {'s1', 's2', 's3'} - {name}
        choice = _choose(service, *others)
        service.finish(choice, SendResult(failed=True, unreachable=True))
    assert (
        service.choose((), entries.request_class(0.01)) is NoChoice.BACKING_OFF
    )
    assert 0 < service.retry_delay_s() <= 0.25
    clock.advance(0.3)
    _choose(service)


def test_share_of_the_connections_bounds_the_requests(
    service: service_searchers.ServiceSearchers,
) -> None:
    chosen = [_choose(service) for _ in range(9)]
    assert service.choose((), entries.request_class(0.01)) is NoChoice.FULL
    woken: list[send_order.WaitingSend] = []
    send = send_order.WaitingSend(
        frozenset(),
        entries.request_class(0.01),
        send_order.Urgency(0, 0.0, 1.0),
        woken.append,
    )
    service.wait_for_capacity(send)
    assert woken == []
    service.finish(chosen[0], SendResult(failed=False))
    assert woken == [send]
    assert send.choice is not None
    assert send.choice.state is chosen[0].state


def test_extra_sends_stay_within_the_share_of_requests(
    service: service_searchers.ServiceSearchers,
    clock: clock_module.ManualClock,
) -> None:
    """Six such hosts together stay within 0.2 of the requests plus 52."""
    spent = 0
    for _ in range(400):
        service.count_request()
        spent += service.try_extra()
        clock.advance(0.02)
    assert 6 * spent <= 0.2 * 6 * 400 + 52
    assert spent > 0


def test_host_with_few_requests_gets_its_share_of_the_slack(
    service: service_searchers.ServiceSearchers,
) -> None:
    """In a large fleet, each host gets few of the requests of a service."""
    for _ in range(10):
        service.count_request()
    # 0.15 of ten requests, and a sixth of three quarters of the slack.
    assert sum(service.try_extra() for _ in range(20)) == 8


def test_hedges_leave_slack_for_retries(
    service: service_searchers.ServiceSearchers,
) -> None:
    while service.try_extra(0.5):
        continue
    assert service.try_extra()


@pytest.mark.parametrize(
    ('registered', 'excluded', 'expected'),
    [
        ([], (), NoChoice.NONE_REGISTERED),
        (['s1'], ('s1',), NoChoice.ALL_TRIED),
    ],
)
def test_reason_why_none_is_chosen(
    service: service_searchers.ServiceSearchers,
    registered: list[str],
    excluded: tuple[str, ...],
    expected: NoChoice,
) -> None:
    service.update(None, [entries.registration(n) for n in registered])
    assert service.choose(excluded, entries.request_class(0.01)) is expected


def test_replaced_searcher_gets_no_more_requests(
    service: service_searchers.ServiceSearchers,
) -> None:
    """Checked immediately before sending, after any wait."""
    choice = _choose(service)
    assert service.may_send(choice.state)
    service.update(None, [entries.registration('s1', started_ms=5)])
    assert not service.may_send(choice.state)


def test_leaving_searcher_gets_nothing_until_a_new_lifetime(
    service: service_searchers.ServiceSearchers,
) -> None:
    """Guards against using a searcher that has said that it leaves.

    The store may list it as ready for long, remove it and list it again, and
    its data centre may go out of service and return.
    """
    choice = _choose(service, 's2', 's3')
    service.finish(choice, SendResult(failed=False, leaving=True))
    assert not service.may_send(choice.state)
    listed = entries.registration('s1', started_ms=0)
    for registered in (
        [listed],
        [],
        [listed],
        [entries.registration('s1', address='127.0.0.1:7001')],
    ):
        service.update(None, registered)
        expected = NoChoice.LEAVING if registered else NoChoice.NONE_REGISTERED
        assert service.choose((), entries.request_class(0.01)) is expected
    service.update(None, [entries.registration('s1', started_ms=5)])
    assert _choose(service).state.name == 's1'


def test_pause_ends_after_its_time_or_with_its_lifetime(
    service: service_searchers.ServiceSearchers,
    clock: clock_module.ManualClock,
) -> None:
    """Guards against sending to a searcher that has asked for a pause."""
    service.update(None, [entries.registration('s1')])
    choice, later = _choose(service), _choose(service)
    service.finish(choice, SendResult(failed=False, pause_s=2.0))
    assert not service.may_send(choice.state)
    # A shorter pause of a reply that arrives later changes nothing.
    service.finish(later, SendResult(failed=False, pause_s=0.5))
    clock.advance(1.5)
    assert service.choose((), entries.request_class(0.01)) is NoChoice.PAUSED
    assert 0.5 <= service.retry_delay_s() <= 0.75
    clock.advance(0.5)
    again = _choose(service)
    cost = placement.LeastLoaded().cost(
        again.state, entries.request_class(), clock.monotonic()
    )
    assert cost == pytest.approx(2.0)
    service.finish(again, SendResult(failed=False, pause_s=2.0))
    service.update(None, [entries.registration('s1', started_ms=5)])
    assert _choose(service).state.name == 's1'


def test_pause_has_an_upper_bound(
    service: service_searchers.ServiceSearchers,
    clock: clock_module.ManualClock,
) -> None:
    """Guards against losing a searcher for good by one faulty response."""
    service.update(None, [entries.registration('s1')])
    service.finish(_choose(service), SendResult(failed=False, pause_s=1e9))
    clock.advance(stated_availability.MAX_PAUSE_S - 1)
    assert service.choose((), entries.request_class(0.01)) is NoChoice.PAUSED
    clock.advance(1)
    _choose(service)


def test_other_searchers_serve_during_a_pause(
    service: service_searchers.ServiceSearchers,
) -> None:
    """Guards against refusing while a searcher can serve."""
    paused = _choose(service, 's2', 's3')
    service.finish(paused, SendResult(failed=False, pause_s=2.0))
    assert {_choose(service).state.name for _ in range(6)} == {'s2', 's3'}


def test_searcher_that_refuses_often_is_avoided(
    service: service_searchers.ServiceSearchers,
    clock: clock_module.ManualClock,
) -> None:
    """Each refusal uses up one of the extra sends of the fleet."""
    for _ in range(4):
        refused = _choose(service, 's2', 's3')
        service.finish(refused, SendResult(failed=False, full=True))
        clock.advance(0.1)
    chosen = [_choose(service).state.name for _ in range(4)]
    assert 's1' not in chosen


def test_host_that_leaves_during_a_choice_is_no_error(
    clock: clock_module.ManualClock,
) -> None:
    """Guards against a failed request when the share of a host grows.

    The share is asked for once for the choice and once for the reason why
    there is none; hosts join and leave on another task.
    """
    rates = [0, 5]

    class _Share(fleet_share.FleetShare):
        def cold_rate(self, searcher: str, rate: float) -> int:
            return rates.pop(0)

    service = _service(_Share(_BOUNDS, 'h1', lambda: ('h1',), clock), clock)
    service.update(
        entries.parameters(cold_rate=1.0),
        [entries.registration('s1', warm_up_left_s=5.0)],
    )
    assert service.choose((), entries.request_class(0.01)) is NoChoice.COLD


def test_changed_bounds_apply_to_existing_services(
    clock: clock_module.ManualClock,
) -> None:
    """Guards against a reload that affects only new services.

    A service keeps the budget that it created with the earlier bounds.
    """
    share = fleet_share.FleetShare(_BOUNDS, 'h1', lambda: ('h1',), clock)
    service = _service(share, clock)
    share.set_bounds(fleet_share.FleetBounds(0.0, 12, 4.0, 1.5, 5))
    service.update(entries.parameters(), [entries.registration('s1')])
    # Three quarters of the slack, divided among six hosts.
    assert [service.try_extra() for _ in range(3)] == [True, False, False]
    clock.advance(4.5)
    assert service.try_extra()


def test_host_beyond_the_connections_of_a_searcher_uses_others(
    clock: clock_module.ManualClock,
) -> None:
    """Guards against more connections than a searcher accepts.

    There are more hosts than connections, so some hosts must leave the
    searcher to others.
    """
    names = tuple(f'h{n}' for n in range(30))
    searchers = [entries.registration(f's{n}') for n in range(3)]
    for own in names:
        share = fleet_share.FleetShare(_BOUNDS, own, lambda: names, clock)
        service = _service(share, clock)
        service.update(entries.parameters(connections=12), searchers)
        mine = {
            s.searcher
            for s in searchers
            if share.connections(s.searcher, 12) > 0
        }
        # A host that may connect to none of them may use any.
        assert _choose(service).state.name in (mine or {'s0', 's1', 's2'})


def test_hosts_of_a_large_fleet_use_fractions_of_their_shares(
    clock: clock_module.ManualClock,
) -> None:
    """Guards against shares that every host rounds down.

    With 76 hosts a share of 1.9 sends would become one on each of them, and
    half of the bound would never be used.
    """
    hosts = tuple(f'h{n}' for n in range(76))
    bounds = fleet_share.FleetBounds(0.2, 192, 10, 1.5, 5)
    rng = random.Random(7)
    spent = 0
    for name in hosts:
        share = fleet_share.FleetShare(bounds, name, lambda: hosts, clock)
        service = service_searchers.ServiceSearchers(
            'stock', 'dc-a', share, lambda r, limit: _Pool(), clock, rng
        )
        while service.try_extra():
            spent += 1
    assert 0.65 * 192 < spent <= 192


def _large_fleet_service(
    clock: clock_module.ManualClock, host: int
) -> service_searchers.ServiceSearchers:
    """Return the service as one of 76 hosts of which each uses some.

    A searcher accepts 70 connections.
    """
    hosts = tuple(f'h{n}' for n in range(76))
    share = fleet_share.FleetShare(_BOUNDS, hosts[host], lambda: hosts, clock)
    service = _service(share, clock)
    service.update(
        entries.parameters(connections=70),
        [entries.registration(f's{n}') for n in range(3)],
    )
    return service


def _first_searchers(
    service: service_searchers.ServiceSearchers,
) -> list[service_searchers.Choice]:
    """Choose until no searcher of the host's share is left."""
    choices = []
    while isinstance(
        choice := service.choose((), entries.request_class(0.01)),
        service_searchers.Choice,
    ):
        choices.append(choice)
    return choices


def test_searcher_beyond_the_share_is_used_for_another_send(
    clock: clock_module.ManualClock,
) -> None:
    """Guards against a gather that waits for the one searcher of its host.

    One host in eight has a share of the connections of one searcher only,
    and had no other one for a hedge or a retry.
    """
    for host in range(76):
        service = _large_fleet_service(clock, host)
        first = _choose(service)
        second = _choose(service, first.state.name)
        third = _choose(service, first.state.name, second.state.name)
        assert len({c.state.name for c in (first, second, third)}) == 3


def test_first_send_waits_for_the_share_of_its_host(
    clock: clock_module.ManualClock,
) -> None:
    """Guards against more connections than a searcher accepts.

    Under load all hosts are busy, and each would open further connections.
    """
    counts = [
        len(_first_searchers(_large_fleet_service(clock, host)))
        for host in range(76)
    ]
    assert sum(counts) <= 3 * 70


def test_slow_searchers_of_the_share_are_left_for_another_one(
    clock: clock_module.ManualClock,
) -> None:
    """Guards against a host that is bound to its slow searchers."""
    services = [_large_fleet_service(clock, host) for host in range(76)]
    service, own = next(
        (s, c) for s in services if len(c := _first_searchers(s)) == 2
    )
    for choice in own:
        service.finish(
            choice,
            SendResult(
                failed=False, answered=True, elapsed_s=0.3, median_s=0.01
            ),
        )
    other = _choose(service)
    assert other.state.name not in {c.state.name for c in own}
