"""Gathers whose services have too few searchers for their requests."""

import collections.abc

import pytest

from corianderport_tier.process import searcher_state
from corianderport_tier.process import service_searchers
from corianderport_tier.request import forward_messages
from corianderport_tier.request import forward_send
from corianderport_tier.version import routes

from . import entries
from . import test_forwarding

_SERVICES = ('s0', 's1', 's2', 's3')
# One of four parts may be left out.
_GATHER = entries.route(_SERVICES, min_coverage=0.75, rank=1)
_URGENT = entries.route(_SERVICES, min_coverage=0.5, rank=0, prefix='/top/')
_SLOW_S = 2.0


def _host(*host_routes: routes.Route) -> test_forwarding.Host:
    return test_forwarding.Host(*host_routes, replicas=1)


def _service(
    host: test_forwarding.Host, name: str
) -> service_searchers.ServiceSearchers:
    service = host.directory.service(name)
    assert service is not None
    return service


def _slow_down(host: test_forwarding.Host, *names: str) -> None:
    """Record replies that took far longer than the goal of a request."""
    for name in names:
        for _ in range(4):
            service = _service(host, name)
            request = entries.request_class(0.02)
            choice = service.choose((), request)
            assert isinstance(choice, service_searchers.Choice)
            service.finish(
                choice,
                searcher_state.SendResult(
                    False, True, elapsed_s=_SLOW_S, median_s=0.02
                ),
            )


def _sends(
    host: test_forwarding.Host, count: int
) -> dict[str, forward_send.SendAttempt]:
    sends = [host.take() for _ in range(count)]
    assert host.sends.empty()
    return {send.part.service.name: send for send in sends}


def _end_all(
    host: test_forwarding.Host,
    sends: collections.abc.Mapping[str, forward_send.SendAttempt],
) -> None:
    for send in sends.values():
        host.end(send, test_forwarding.reply())


def test_part_that_is_expected_too_late_is_left_out() -> None:
    """Guards against gathers that all wait for one overloaded service.

    They kept its queue so long that none of them was answered in time.
    """
    host = _host(_GATHER, _URGENT)
    _slow_down(host, 's2')
    host.start()
    sends = _sends(host, 3)
    assert set(sends) == {'s0', 's1', 's3'}
    _end_all(host, sends)
    answer = host.finish()
    assert isinstance(answer, forward_messages.Gathered)
    assert answer.missing == 1


def test_no_more_parts_are_left_out_than_the_answer_can_spare() -> None:
    """Guards against gathers that refuse themselves an answer."""
    host = _host(_GATHER, _URGENT)
    _slow_down(host, 's1', 's2')
    host.start()
    sends = _sends(host, 3)
    assert len({'s1', 's2'} & set(sends)) == 1
    _end_all(host, sends)
    assert isinstance(host.finish(), forward_messages.Gathered)


def test_deferred_parts_differ_between_requests() -> None:
    """Guards against relieving one of two overloaded services only."""
    deferred = set()
    for _ in range(20):
        host = _host(_GATHER, _URGENT)
        _slow_down(host, 's1', 's2')
        for _ in range(4):
            host.start()
            sends = _sends(host, 3)
            deferred |= set(_SERVICES) - set(sends)
            _end_all(host, sends)
            host.finish()
            _slow_down(host, 's1', 's2')
    assert deferred == {'s1', 's2'}


def test_deferred_part_is_sent_when_another_fails() -> None:
    """Guards against a failure although a searcher could still answer."""
    host = _host(_GATHER, _URGENT)
    _slow_down(host, 's2')
    host.start()
    sends = _sends(host, 3)
    failed = sends.pop('s0')
    _end_all(host, sends)
    host.end(failed, test_forwarding.reply(500))
    later = host.take()
    while later.part.service.name != 's2':
        host.end(later, test_forwarding.reply(500))
        later = host.take()
    host.end(later, test_forwarding.reply())
    answer = host.finish()
    assert isinstance(answer, forward_messages.Gathered)
    assert answer.missing == 1


def test_deferred_part_is_sent_at_the_goal() -> None:
    """Guards against a failure where a late answer is still possible."""
    host = _host(_GATHER, _URGENT)
    _slow_down(host, 's2')
    host.start()
    sends = _sends(host, 3)
    sends.pop('s0')
    _end_all(host, sends)
    host.advance(_GATHER.goal_s + 0.05)
    names = set()
    while 's2' not in names:
        send = host.take()
        names.add(send.part.service.name)
    host.end(send, test_forwarding.reply())
    assert isinstance(host.finish(), forward_messages.Gathered)


@pytest.mark.parametrize('other_rank', [1, 2])
def test_deployments_without_urgent_routes_are_served_as_before(
    other_rank: int,
) -> None:
    """Guards against deferring parts where no configuration asks for it."""
    other = entries.route(
        _SERVICES, min_coverage=0.5, rank=other_rank, prefix='/top/'
    )
    host = _host(_GATHER, other)
    _slow_down(host, 's2')
    host.start()
    sends = _sends(host, 4)
    _end_all(host, sends)
    answer = host.finish()
    assert isinstance(answer, forward_messages.Gathered)
    assert answer.missing == 0


def test_part_without_capacity_is_left_out_if_replies_are_late() -> None:
    """Guards against waiting for capacity that comes after the goal."""
    host = _host(_GATHER, _URGENT)
    service = _service(host, 's2')
    request = entries.request_class(0.02)
    while isinstance(service.choose((), request), service_searchers.Choice):
        continue
    host.clock.advance(_SLOW_S)
    host.start()
    sends = _sends(host, 3)
    assert set(sends) == {'s0', 's1', 's3'}
    _end_all(host, sends)
    answer = host.finish()
    assert isinstance(answer, forward_messages.Gathered)
    assert answer.missing == 1
