"""State tests of slow start, occupancy and budgets."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from corianderport_tier.process import budgets
from corianderport_tier.process import limits
from corianderport_tier.process import slow_start

_SETTINGS = hypothesis.settings(max_examples=60, stateful_step_count=40)
_SECONDS = strategies.floats(0.0, 3.0)


class SlowStartMachine(stateful.RuleBasedStateMachine):
    """The limit is bounded and grows only after enough successes.

    Guards against overload of a searcher that is cold, has restarted or is
    slow, and against a limit that never reaches the slots.
    """

    @stateful.initialize(slots=strategies.integers(1, 16))
    def start(self, slots: int) -> None:
        self.slots = slots
        self.now_s = 0.0
        self.slow_start = slow_start.SlowStart(slots)
        self.successes = 0
        self.last_change_s = 0.0

    @stateful.rule(seconds=_SECONDS)
    def advance(self, seconds: float) -> None:
        self.now_s += seconds

    @stateful.rule(
        count=strategies.integers(1, 30), seconds=strategies.floats(0.0, 0.1)
    )
    def succeed(self, count: int, seconds: float) -> None:
        for _ in range(count):
            before = self.slow_start.limit
            self.now_s += seconds
            self.successes += 1
            self.slow_start.on_success(self.now_s)
            if self.slow_start.limit > before:
                assert self.slow_start.limit <= 2 * before
                assert self.successes >= 8
                assert self.now_s - self.last_change_s >= 0.25
                self.successes = 0
                self.last_change_s = self.now_s

    @stateful.rule()
    def shed(self) -> None:
        before = self.slow_start.limit
        self.slow_start.on_shed(self.now_s)
        assert self.slow_start.limit <= max(1, before // 2)
        self._reset()

    @stateful.rule()
    def slow(self) -> None:
        before = self.slow_start.limit
        self.slow_start.on_slow()
        assert self.slow_start.limit == before
        self._reset()

    @stateful.rule(incarnation=strategies.sampled_from(['', 'a', 'b']))
    def observe_incarnation(self, incarnation: str) -> None:
        previous_incarnation = self.slow_start.incarnation
        if self.slow_start.observe_incarnation(incarnation):
            assert incarnation not in ('', previous_incarnation)
            assert self.slow_start.limit == 1
            self._reset()

    @stateful.rule()
    def start_over(self) -> None:
        self.slow_start.start_over()
        assert self.slow_start.limit == 1
        self._reset()

    @stateful.rule(incarnation=strategies.sampled_from(['a', 'b']))
    def suspect(self, incarnation: str) -> None:
        previous_incarnation = self.slow_start.incarnation
        before = self.slow_start.limit
        self.slow_start.suspect_restart()
        assert self.slow_start.limit == 1
        if self.slow_start.observe_incarnation(incarnation):
            self._reset()
        else:
            assert incarnation == previous_incarnation
            assert self.slow_start.limit == before

    @stateful.invariant()
    def limit_is_bounded(self) -> None:
        assert 1 <= self.slow_start.limit <= self.slots

    def teardown(self) -> None:
        """A searcher with only successes reaches its full slots."""
        for _ in range(200):
            self.now_s += 0.025
            self.slow_start.observe_incarnation(
                self.slow_start.incarnation or 'a'
            )
            self.slow_start.on_success(self.now_s)
        assert self.slow_start.limit == self.slots

    def _reset(self) -> None:
        self.successes = 0
        self.last_change_s = self.now_s


class OccupancyMachine(stateful.RuleBasedStateMachine):
    """The count includes every request that may be running.

    Guards against overload by requests that still run after their
    connections were closed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.occupancy = limits.Occupancy()
        self.now_s = 0.0
        self.in_flight = 0
        self.attempts = 0
        self.abandoned: dict[str, float] = {}
        self.cancelled: set[str] = set()

    @stateful.rule(seconds=_SECONDS)
    def advance(self, seconds: float) -> None:
        self.now_s += seconds
        self.abandoned = {
            k: u for k, u in self.abandoned.items() if u > self.now_s
        }

    @stateful.rule()
    def start(self) -> None:
        self.occupancy.start()
        self.in_flight += 1

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule()
    def finish(self) -> None:
        self.occupancy.finish()
        self.in_flight -= 1

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(seconds=_SECONDS)
    def abandon(self, seconds: float) -> None:
        name = f'attempt-{self.attempts}'
        self.attempts += 1
        until_s = self.now_s + seconds
        self.occupancy.abandon(name, until_s)
        self.in_flight -= 1
        if until_s > self.now_s:
            self.abandoned[name] = until_s

    @stateful.precondition(lambda self: self.abandoned)
    @stateful.rule(data=strategies.data())
    def cancel(self, data: strategies.DataObject) -> None:
        name = data.draw(strategies.sampled_from(sorted(self.abandoned)))
        self.occupancy.confirm_cancelled(name)
        self.cancelled.add(name)

    @stateful.invariant()
    def count_is_right(self) -> None:
        strict = self.in_flight + len(self.abandoned)
        assert self.occupancy.total(self.now_s, True) == strict
        running = self.in_flight + len(set(self.abandoned) - self.cancelled)
        assert self.occupancy.total(self.now_s, False) == running


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Spending stays within the ratio of the counted requests.

    Guards against spending for requests that have left the window.
    """

    @stateful.initialize(
        ratio=strategies.sampled_from([0.05, 0.2, 1.0]),
        minimum=strategies.integers(0, 3),
    )
    def start(self, ratio: float, minimum: int) -> None:
        self.ratio = ratio
        self.minimum = minimum
        self.budget = budgets.Budget(budgets.BudgetRatio(ratio, minimum))
        self.now_s = 0.0
        self.requests: list[float] = []
        self.spent: list[float] = []

    @stateful.rule(seconds=_SECONDS)
    def advance(self, seconds: float) -> None:
        self.now_s += seconds

    @stateful.rule(count=strategies.integers(1, 50))
    def request(self, count: int) -> None:
        for _ in range(count):
            self.budget.count_request(self.now_s)
        self.requests += [self.now_s] * count

    @stateful.rule(count=strategies.integers(1, 10))
    def spend(self, count: int) -> None:
        for _ in range(count):
            if self.budget.try_spend(self.now_s):
                self.spent.append(self.now_s)

    @stateful.invariant()
    def spending_is_limited(self) -> None:
        # A window covers between nine and ten seconds.
        spent = sum(at > self.now_s - 9.0 for at in self.spent)
        counted = sum(at > self.now_s - 20.0 for at in self.requests)
        assert spent <= max(self.ratio * counted, self.minimum)


TestSlowStart = SlowStartMachine.TestCase
TestSlowStart.settings = _SETTINGS
TestOccupancy = OccupancyMachine.TestCase
TestOccupancy.settings = _SETTINGS
TestBudget = BudgetMachine.TestCase
TestBudget.settings = _SETTINGS
