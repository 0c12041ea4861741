"""State machine test of sends that wait for capacity: any order of events."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import fleet_share
from corianderport_tier.process import searcher_state
from corianderport_tier.process import send_order
from corianderport_tier.process import service_searchers

from . import entries
from . import placement_simulation

_NAMES = ('s0', 's1', 's2')
Choice = service_searchers.Choice
NoChoice = service_searchers.NoChoice


class CapacityMachine(stateful.RuleBasedStateMachine):
    """Capacity is neither lost nor given twice, and none waits in vain."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock_module.ManualClock()
        self.service = service_searchers.ServiceSearchers(
            'stock',
            'dc-a',
            fleet_share.FleetShare(
                placement_simulation.BOUNDS, 'h1', lambda: ('h1',), self.clock
            ),
            lambda registration, limit: placement_simulation.Pool(),
            self.clock,
            random.Random(1),
        )
        self.running: list[Choice] = []
        self.waiting: list[send_order.WaitingSend] = []
        # Sends that were given capacity and have not used it yet.
        self.given: list[send_order.WaitingSend] = []
        # Whether a searcher may have ended its backoff unnoticed.
        self.time_passed = False
        self.update(_NAMES, False)

    @stateful.rule(
        names=strategies.sets(strategies.sampled_from(_NAMES)),
        by_urgency=strategies.booleans(),
    )
    def update(self, names: set[str], by_urgency: bool) -> None:
        self.service.update(
            entries.parameters(connections=18),
            [entries.registration(name) for name in sorted(names)],
            by_urgency=by_urgency,
        )
        self.time_passed = False

    @stateful.rule(excluded=strategies.sets(strategies.sampled_from(_NAMES)))
    def choose(self, excluded: set[str]) -> None:
        choice = self.service.choose(excluded, entries.request_class(0.01))
        self.time_passed = False
        if isinstance(choice, Choice):
            self.running.append(choice)
        elif choice is NoChoice.FULL:
            self.wait(excluded)

    @stateful.rule(excluded=strategies.sets(strategies.sampled_from(_NAMES)))
    def wait(self, excluded: set[str]) -> None:
        number = len(self.waiting)
        send = send_order.WaitingSend(
            frozenset(excluded),
            entries.request_class(0.01),
            send_order.Urgency(
                number % 3, self.clock.monotonic() + number % 4 * 0.1, 0.5
            ),
            self._notified,
        )
        self.waiting.append(send)
        self.service.wait_for_capacity(send)
        self.time_passed = False

    def _notified(self, send: send_order.WaitingSend) -> None:
        self.waiting.remove(send)
        if send.choice is not None:
            assert send.choice.state.name not in send.excluded
            self.given.append(send)

    @stateful.precondition(lambda self: self.given)
    @stateful.rule()
    def use(self) -> None:
        choice = self.given.pop(0).choice
        assert choice is not None
        self.running.append(choice)

    @stateful.precondition(lambda self: self.given)
    @stateful.rule()
    def end_before_use(self) -> None:
        self.service.stop_waiting(self.given.pop())
        self.time_passed = False

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(position=strategies.integers(0, 5))
    def end_while_waiting(self, position: int) -> None:
        send = self.waiting.pop(position % len(self.waiting))
        self.service.stop_waiting(send)
        assert send.choice is None

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        position=strategies.integers(0, 5),
        unreachable=strategies.booleans(),
    )
    def finish(self, position: int, unreachable: bool) -> None:
        choice = self.running.pop(position % len(self.running))
        self.service.finish(
            choice,
            searcher_state.SendResult(
                failed=unreachable, unreachable=unreachable
            ),
        )
        self.time_passed = False

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.4, 2.5]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.time_passed = True

    @stateful.invariant()
    def capacity_in_use_is_known(self) -> None:
        used = [*self.running, *(send.choice for send in self.given)]
        for state in self.service._states.values():
            in_flight = sum(
                choice is not None and choice.state is state for choice in used
            )
            assert state.in_flight == in_flight <= state.connections

    @stateful.invariant()
    def none_waits_in_vain(self) -> None:
        assert len(self.service._waits) == len(self.waiting)
        if self.time_passed:
            return
        now_s = self.clock.monotonic()
        for send in self.waiting:
            found = self.service._filter.candidates(
                self.service._states.values(), send.excluded, now_s
            )
            assert found is NoChoice.FULL

    def teardown(self) -> None:
        while self.running or self.given:
            if self.given:
                self.end_before_use()
            else:
                self.finish(0, False)
        assert all(s.in_flight == 0 for s in self.service._states.values())


TestCapacity = CapacityMachine.TestCase
TestCapacity.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
