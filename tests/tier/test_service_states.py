"""State machine test of ServiceUpstreams: any order of events."""

import random

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from corianderport_testkit import clock as manual
from corianderport_tier import errors
from corianderport_tier.process import capacity_queue
from corianderport_tier.process import outcomes
from corianderport_tier.process import selection
from corianderport_tier.process import upstream as upstream_module
from corianderport_tier.process import upstreams
from corianderport_tier.request import deadlines
from corianderport_tier.version import configuration

_KIND = outcomes.OutcomeKind
_DEADLINE_S = 0.5


def _everywhere(searcher: configuration.Searcher) -> bool:
    return True


@attrs.define(eq=False)
class _Request:
    """A request at a searcher; abandoned ones run until their deadline."""

    upstream: upstream_module.Upstream
    number: int
    until_s: float
    abandoned: bool = False


@attrs.define(eq=False)
class _Waiter:
    machine: 'ServiceMachine'
    deadline: deadlines.Deadline
    ended: bool = False
    notified: bool = False

    def capacity_granted(
        self, service: str, upstream: upstream_module.Upstream | None
    ) -> bool:
        assert not self.notified
        self.notified = True
        if self.ended:
            return False
        if upstream is not None:
            self.machine.sent(upstream)
        return True


class ServiceMachine(stateful.RuleBasedStateMachine):
    """No searcher exceeds its limit or idles while requests wait."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = manual.ManualClock()
        self.service = configuration.Service(
            's',
            'r',
            configuration.Limits(2, 25),
            tuple(
                configuration.Searcher(f's{n}', f'127.0.0.1:{n}', 'dc')
                for n in range(2)
            ),
        )
        self.state = upstreams.ServiceUpstreams(
            self.service,
            selection.policy('power-of-two'),
            random.Random(1),
            self.clock,
        )
        self.requests: list[_Request] = []
        self.waiters: list[_Waiter] = []
        self.count = 0

    def sent(self, upstream: upstream_module.Upstream) -> None:
        """Check that the searcher can accept one more request."""
        now_s = self.clock.monotonic()
        self.requests = [
            r for r in self.requests if not r.abandoned or r.until_s > now_s
        ]
        running = sum(r.upstream.name == upstream.name for r in self.requests)
        if upstream.slow_start.lowest:
            assert running == 0
        awaited = sum(
            r.upstream.name == upstream.name and not r.abandoned
            for r in self.requests
        )
        assert awaited < upstream.limit
        self.count += 1
        self.requests.append(
            _Request(upstream, self.count, now_s + _DEADLINE_S)
        )

    @stateful.rule(
        kinds=strategies.lists(
            strategies.sampled_from(['first', 'first', 'hedge', 'probe']),
            min_size=1,
            max_size=5,
        )
    )
    def send(self, kinds: list[str]) -> None:
        for kind in kinds:
            self._send(kind)

    def _send(self, kind: str) -> None:
        self.state.count_request()
        if kind == 'hedge':
            upstream = self.state.try_hedge(_everywhere, ())
        elif kind == 'probe':
            upstream = self.state.try_probe(_everywhere, ())
        else:
            upstream = self.state.try_acquire(_everywhere)
        if upstream is not None:
            self.sent(upstream)

    @stateful.rule()
    def wait(self) -> None:
        waiter = _Waiter(
            self, deadlines.Deadline.after(self.clock, _DEADLINE_S)
        )
        try:
            self.state.add_waiter(
                capacity_queue.QueuedRequest(
                    waiter, waiter.deadline, _everywhere
                )
            )
        except errors.Refusal:
            return
        self.waiters.append(waiter)

    @stateful.precondition(lambda self: self.waiters)
    @stateful.rule(data=strategies.data(), removed=strategies.booleans())
    def end_waiter(self, data: strategies.DataObject, removed: bool) -> None:
        waiter = data.draw(strategies.sampled_from(self.waiters))
        waiter.ended = True
        if removed:
            self.state.discard_waiter(waiter)

    @stateful.rule(
        answers=strategies.integers(1, 40),
        elapsed_s=strategies.sampled_from([0.005, 0.01, 0.2]),
    )
    def serve(self, answers: int, elapsed_s: float) -> None:
        """Answer requests one by one, which raises the limits."""
        for _ in range(answers):
            self._send('first')
            awaited = [r for r in self.requests if not r.abandoned]
            if not awaited:
                return
            self.clock.advance(0.05)
            self._finish(awaited[0], _KIND.ANSWERED, elapsed_s, 'a')

    @stateful.precondition(
        lambda self: any(not r.abandoned for r in self.requests)
    )
    @stateful.rule(
        data=strategies.data(),
        kind=strategies.sampled_from([*_KIND, _KIND.SILENT, _KIND.ANSWERED]),
        elapsed_s=strategies.sampled_from([0.01, 0.3]),
        incarnation=strategies.sampled_from(['a', 'a', 'b']),
    )
    def finish(
        self,
        data: strategies.DataObject,
        kind: outcomes.OutcomeKind,
        elapsed_s: float,
        incarnation: str,
    ) -> None:
        awaited = [r for r in self.requests if not r.abandoned]
        request = data.draw(strategies.sampled_from(awaited))
        self._finish(request, kind, elapsed_s, incarnation)

    @stateful.precondition(
        lambda self: any(r.abandoned for r in self.requests)
    )
    @stateful.rule(data=strategies.data())
    def confirm_cancellation(self, data: strategies.DataObject) -> None:
        abandoned = [r for r in self.requests if r.abandoned]
        request = data.draw(strategies.sampled_from(abandoned))
        self.state.confirm_cancelled(request.upstream, f'{request.number}')
        self.send(['first'] * 3)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.5, 2.0, 40.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.state.poll()

    @stateful.rule(
        kept=strategies.integers(0, 2), in_service=strategies.booleans()
    )
    def configure(self, kept: int, in_service: bool) -> None:
        version = attrs.evolve(
            self.service, searchers=self.service.searchers[:kept]
        )
        self.state.update(version, lambda s: in_service)
        self.state.update(self.service, _everywhere)
        self.send(['first'] * 3)

    @stateful.invariant()
    def requests_in_flight_are_counted(self) -> None:
        for upstream in self.state.states():
            awaited = [
                r
                for r in self.requests
                if r.upstream.name == upstream.name and not r.abandoned
            ]
            assert upstream.in_flight == len(awaited)

    @stateful.invariant()
    def no_request_waits_while_there_is_capacity(self) -> None:
        now_s = self.clock.monotonic()
        waiting = [w for w in self.waiters if not (w.notified or w.ended)]
        if any(w.deadline.at_s > now_s for w in waiting):
            assert not any(
                u.can_accept_request(now_s) for u in self.state.states()
            )

    def _finish(
        self,
        request: _Request,
        kind: outcomes.OutcomeKind,
        elapsed_s: float,
        incarnation: str,
    ) -> None:
        if kind.may_be_running:
            request.abandoned = True
        else:
            self.requests.remove(request)
        answered = kind is _KIND.ANSWERED
        outcome = outcomes.Outcome(
            kind,
            elapsed_s,
            incarnation if answered else '',
            False,
            f'{request.number}',
            request.until_s,
        )
        self.state.release(request.upstream, None, outcome)


TestService = ServiceMachine.TestCase
TestService.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)
