"""Tests of requests that wait for the capacity of a searcher."""

import random

import attrs
import pytest

from corianderport_testkit import clock as manual
from corianderport_tier import errors
from corianderport_tier.process import capacity_queue
from corianderport_tier.process import outcomes
from corianderport_tier.process import selection
from corianderport_tier.process import upstream as upstream_module
from corianderport_tier.process import upstreams
from corianderport_tier.request import deadlines
from corianderport_tier.version import configuration


@attrs.define(eq=False)
class _Waiter:
    ended: bool = False
    granted: list[upstream_module.Upstream | None] = attrs.Factory(list)

    def capacity_granted(
        self, service: str, upstream: upstream_module.Upstream | None
    ) -> bool:
        self.granted.append(upstream)
        return not self.ended


class _Service:
    """A service with one searcher, whose only slot is occupied."""

    def __init__(self) -> None:
        self.clock = manual.ManualClock()
        searcher = configuration.Searcher('a', '127.0.0.1:1', 'dc-a')
        service = configuration.Service(
            's', 'r', configuration.Limits(1, 3), (searcher,)
        )
        self.state = upstreams.ServiceUpstreams(
            service, selection.policy('random'), random.Random(1), self.clock
        )
        upstream = self.state.try_acquire(lambda s: True)
        assert upstream is not None
        self.upstream = upstream

    def wait(self, waiter: _Waiter, seconds: float = 1.0) -> None:
        self.state.add_waiter(
            capacity_queue.QueuedRequest(
                waiter,
                deadlines.Deadline.after(self.clock, seconds),
                lambda s: True,
            )
        )

    def record_latency(self, seconds: float) -> None:
        """Let the searcher reply with this latency until it is known."""
        for _ in range(20):
            self.state.release(self.upstream, seconds)
            assert self.state.try_acquire(lambda s: True) is self.upstream


def test_ended_waiter_does_not_consume_the_wake_up() -> None:
    """Guards against a request that waits while there is capacity.

    The capacity is offered first to a request that has ended meanwhile.
    """
    service = _Service()
    ended, live = _Waiter(ended=True), _Waiter()
    service.wait(ended)
    service.wait(live)
    service.state.release(service.upstream, 0.01)
    assert live.granted == [service.upstream]
    assert service.upstream.in_flight == 1


def test_earliest_deadline_is_served_first() -> None:
    """Guards against timeouts behind requests with later deadlines.

    A request with an early deadline joins the queue last.
    """
    service = _Service()
    late, early = _Waiter(), _Waiter()
    service.wait(late, 2.0)
    service.wait(early, 1.0)
    service.state.release(service.upstream, 0.01)
    assert (early.granted, late.granted) == ([service.upstream], [])


def test_request_that_cannot_finish_is_refused_at_once() -> None:
    """Guards against a queue that keeps requests past their deadline.

    By the known latency, the turn of the second request comes too late.
    """
    service = _Service()
    service.record_latency(0.4)
    service.wait(_Waiter(), 1.0)
    with pytest.raises(errors.Overloaded):
        service.wait(_Waiter(), 1.0)


def test_request_that_waited_too_long_is_refused() -> None:
    """Guards against granting capacity to a request too late to use it.

    The time left until its deadline is shorter than the known latency.
    """
    service = _Service()
    service.record_latency(0.4)
    too_late, live = _Waiter(), _Waiter()
    service.wait(too_late, 1.0)
    service.wait(live, 3.0)
    service.clock.advance(0.7)
    service.state.release(service.upstream, 0.4)
    assert (too_late.granted, live.granted) == ([None], [service.upstream])


def test_number_of_waiting_requests_is_bounded() -> None:
    """Guards against an unbounded queue before a latency is known.

    Without a latency, no request is refused because of its deadline.
    """
    service = _Service()
    with pytest.raises(errors.Overloaded):
        for _ in range(1_000):
            service.wait(_Waiter())


def test_capacity_that_appears_with_time_is_granted() -> None:
    """Guards against a request that waits for a lost reply.

    The only slot belongs to an abandoned request, which frees it at its
    own deadline and not by a reply.
    """
    service = _Service()
    waiter = _Waiter()
    service.wait(waiter, 2.0)
    lost = outcomes.Outcome(
        outcomes.OutcomeKind.SILENT,
        attempt_id='lost',
        until_s=service.clock.monotonic() + 0.5,
    )
    service.state.release(service.upstream, None, lost)
    assert waiter.granted == []
    due_s = service.state.next_change_s()
    assert due_s == service.clock.monotonic() + 0.5
    service.clock.advance(0.5)
    service.state.poll()
    assert waiter.granted == [service.upstream]
