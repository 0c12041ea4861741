"""Hedges of the parts that a gather lacks shortly before its goal."""

from corianderport_tier.request import forward_messages
from corianderport_tier.version import routes

from . import entries
from . import test_forwarding

_SERVICES = tuple(f's{n}' for n in range(4))


def _route(min_coverage: float) -> routes.Route:
    return entries.route(_SERVICES, min_coverage=min_coverage, goal_s=0.2)


def _slow_route(min_coverage: float) -> test_forwarding.Host:
    """Return a host that knows a route with many slow replies.

    The median latency is 20 ms; nine in ten replies take up to 190 ms.
    """
    route = _route(min_coverage)
    host = test_forwarding.Host(route, replicas=2)
    latency = host.forwarder.latency(route)
    for _ in range(16):
        latency.record(0.02)
    for _ in range(12):
        latency.record(0.19)
    return host


def test_parts_that_the_answer_lacks_are_hedged_before_the_goal() -> None:
    """Guards against late gathers while many searchers are slow.

    The slow replies raise the delay of hedges above the time that is left,
    so that the hedge used to be sent at the goal.
    """
    host = _slow_route(0.75)
    host.start()
    sends = [host.begin() for _ in _SERVICES]
    for send in sends[:2]:
        send.finish(test_forwarding.reply())
    host.clock.await_waiters(1)
    host.advance(0.14)
    assert host.idle
    host.advance(0.02)
    hedge = host.take()
    host.end(hedge, test_forwarding.reply())
    host.advance(0.03)
    answer = host.finish()
    assert isinstance(answer, forward_messages.Gathered)
    assert answer.missing == 1
    # One part more was enough.
    assert host.idle


def test_gather_with_enough_parts_is_not_hedged_again() -> None:
    """Guards against spending the budget on parts that may be left out."""
    host = _slow_route(0.75)
    host.start()
    sends = [host.begin() for _ in _SERVICES]
    for send in sends[:3]:
        send.finish(test_forwarding.reply())
    host.clock.await_waiters(1)
    host.advance(0.16)
    assert host.idle
    host.advance(0.03)
    answer = host.finish()
    assert isinstance(answer, forward_messages.Gathered)
    assert host.idle


def test_hedge_waits_while_the_goal_is_not_at_risk() -> None:
    """Guards against hedges that only take capacity from urgent requests.

    The median latency is 20 ms and the goal one second: a reply after 200 ms
    is not late yet.
    """
    route = entries.route(goal_s=1.0, timeout_s=4.0)
    host = test_forwarding.Host(route)
    latency = host.forwarder.latency(route)
    for _ in range(28):
        latency.record(0.02)
    host.start(deadline_s=4.0)
    first = host.begin()
    host.advance(0.9)
    assert host.idle
    host.advance(0.05)
    hedge = host.take()
    assert hedge.searcher != first.searcher
    host.end(hedge, test_forwarding.reply())
    assert isinstance(host.finish(), forward_messages.Relayed)
