"""Tests for admission control: limits, worth, shares and deadlines."""

import threading

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from corianderport_testkit import clock as manual
from corianderport_tier import errors
from corianderport_tier.process import admission
from corianderport_tier.process import admission_limit
from corianderport_tier.process import admission_queue
from corianderport_tier.request import deadlines
from corianderport_tier.version import configuration

_ACCEPTED = configuration.Configuration(
    version=1,
    data_centres={},
    services={},
    indexes={},
    searches={},
    actions={},
    customers={
        'board': configuration.Customer('board', 1.0),
        'walkers': configuration.Customer('walkers', 1.0),
    },
)
_SMALL = admission_limit.AdmissionLimits.from_config(1, 2, 4, 3)
_STATES = admission_queue.State


def _queue(
    clock: manual.ManualClock,
    limits: admission_limit.AdmissionLimits = _SMALL,
) -> admission_queue.AdmissionQueue:
    return admission_queue.AdmissionQueue(limits, clock)


def _request(
    clock: manual.ManualClock,
    customer: str = 'board',
    worth: float = 1.0,
    seconds: float = 1.0,
) -> admission_queue.AdmissionRequest:
    deadline = deadlines.Deadline.after(clock, seconds)
    return admission_queue.AdmissionRequest(customer, 1.0, worth, deadline)


def test_lower_worth_is_refused_first() -> None:
    """A full queue must not keep a request of lower worth.

    The queue is full of such requests when one of higher worth arrives.
    """
    clock = manual.ManualClock()
    queue = _queue(clock)
    for _ in range(2):
        queue.offer(_request(clock))
    low = [queue.offer(_request(clock, worth=1.0))[0] for _ in range(3)]
    high, changed = queue.offer(_request(clock, worth=5.0))
    assert high.state is _STATES.WAITING
    assert changed == [low[-1]]
    assert isinstance(low[-1].refusal, errors.Overloaded)


def test_customer_over_its_share_does_not_starve_another() -> None:
    """A customer must not starve others by its request rate.

    It fills the host and the queue with requests of higher worth before
    another customer sends its first one.
    """
    clock = manual.ManualClock()
    queue = _queue(clock)
    running = [
        queue.offer(_request(clock, 'walkers', 9.0))[0] for _ in range(2)
    ]
    for _ in range(20):
        queue.offer(_request(clock, 'walkers', 9.0))
    other, _ = queue.offer(_request(clock, 'board', 1.0))
    clock.advance(0.01)
    assert queue.finish(running[0]) == [other]
    assert other.state is _STATES.RUNNING
    queue.offer(_request(clock, 'walkers', 9.0))
    refused, _ = queue.offer(_request(clock, 'walkers', 1.0))
    assert isinstance(refused.refusal, errors.QuotaExceeded)


def test_request_that_cannot_finish_is_refused_at_once() -> None:
    """A request must not wait if it cannot finish by its deadline.

    The known run time exceeds the time until the deadline.
    """
    clock = manual.ManualClock()
    queue = _queue(clock)
    for _ in range(30):
        entry, _ = queue.offer(_request(clock, seconds=5.0))
        clock.advance(0.5)
        queue.finish(entry)
    queue.offer(_request(clock, seconds=5.0))
    late, _ = queue.offer(_request(clock, seconds=0.1))
    assert late.state is _STATES.REFUSED
    assert isinstance(late.refusal, errors.Overloaded)


def test_idle_host_runs_a_request_after_slow_ones() -> None:
    """An outdated run time estimate must not refuse all requests.

    The only known run time exceeds the time until later deadlines, and
    without a further request no other run time would be measured.
    """
    clock = manual.ManualClock()
    queue = _queue(clock)
    entry, _ = queue.offer(_request(clock, seconds=5.0))
    clock.advance(5.0)
    queue.finish(entry)
    assert (
        queue.offer(_request(clock, seconds=0.1))[0].state is _STATES.RUNNING
    )


def test_limit_follows_requests_that_finish_in_time() -> None:
    """The limit must decrease under overload and recover afterwards.

    Requests that are in time do not show that the limit may increase if
    they run alone, so it must not change then.
    """
    limit = admission_limit.ConcurrencyLimit(
        admission_limit.AdmissionLimits.from_config(2, 20, 40, 0)
    )
    now_s = 0.0
    for _ in range(100):
        now_s += 1.0
        limit.on_finish(now_s, 0.95, 1.0, running=limit.value)
    assert limit.value == 2
    for _ in range(100):
        now_s += 1.0
        limit.on_finish(now_s, 0.05, 1.0, running=1)
    assert limit.value == 2
    for _ in range(2_000):
        now_s += 1.0
        limit.on_finish(now_s, 0.05, 1.0, running=limit.value)
    assert limit.value == 40


def test_past_deadline_raises_deadline_past() -> None:
    """The refusal must state that the deadline has passed.

    The request arrives after its deadline while the host has capacity.
    """
    clock = manual.ManualClock()
    controller = admission.AdmissionController(clock)
    past = deadlines.Deadline.after(clock, -1.0)
    with pytest.raises(errors.DeadlinePast):
        with controller.admit(_ACCEPTED, 'board', 1.0, past):
            raise AssertionError('the block ran')


def test_waiting_task_is_woken_by_capacity_and_by_timeout() -> None:
    """A wake-up must not be lost, nor a wait exceed the deadline.

    Another thread holds all capacity. It ends its requests in the first
    case, and only the clock advances in the second one.
    """
    clock = manual.ManualClock()
    controller = admission.AdmissionController(clock, _SMALL)
    outcomes: list[str] = []

    def run() -> None:
        deadline = deadlines.Deadline.after(clock, 1.0)
        try:
            with controller.admit(_ACCEPTED, 'unlisted', 1.0, deadline):
                outcomes.append('ran')
        except errors.Overloaded:
            outcomes.append('refused')

    for ending in ('ran', 'refused'):
        deadline = deadlines.Deadline.after(clock, 9.0)
        with controller.admit(_ACCEPTED, 'board', 1.0, deadline):
            with controller.admit(_ACCEPTED, 'board', 1.0, deadline):
                task = threading.Thread(target=run)
                task.start()
                while not clock.waiter_count:
                    assert task.is_alive()
                if ending == 'refused':
                    clock.advance(1.0)
                    task.join()
        task.join()
        assert outcomes[-1] == ending
    assert controller.running == 0


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Arrivals, completions and delays in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = manual.ManualClock()
        self.queue = _queue(self.clock)
        self.entries: list[admission_queue.QueueEntry] = []

    @stateful.rule(
        customer=strategies.sampled_from(['board', 'walkers', 'default']),
        worth=strategies.sampled_from([0.5, 1.0, 5.0]),
        seconds=strategies.floats(0.01, 2.0),
    )
    def arrive(self, customer: str, worth: float, seconds: float) -> None:
        """Offer a request."""
        entry, _ = self.queue.offer(
            _request(self.clock, customer, worth, seconds)
        )
        self.entries.append(entry)

    @stateful.rule(data=strategies.data())
    def finish(self, data: strategies.DataObject) -> None:
        """Finish one of the running requests."""
        running = [e for e in self.entries if e.state is _STATES.RUNNING]
        if running:
            self.queue.finish(data.draw(strategies.sampled_from(running)))

    @stateful.rule(seconds=strategies.floats(0.0, 1.0))
    def advance(self, seconds: float) -> None:
        """Advance the clock and expire waiting requests, as timeouts do."""
        self.clock.advance(seconds)
        self.queue.expire()

    @stateful.invariant()
    def counts_agree(self) -> None:
        """The counters match the states of the entries."""
        running = [e for e in self.entries if e.state is _STATES.RUNNING]
        waiting = [e for e in self.entries if e.state is _STATES.WAITING]
        assert self.queue.running == len(running) <= _SMALL.maximum
        assert set(self.queue.waiting) == set(waiting)
        assert len(waiting) <= _SMALL.queue
        assert _SMALL.minimum <= self.queue.limit <= _SMALL.maximum

    @stateful.invariant()
    def waiting_is_necessary(self) -> None:
        """No request waits despite free capacity or for too long.

        A wait must be shorter than a tenth of the time to the deadline.
        """
        now_s = self.clock.monotonic()
        for entry in self.queue.waiting:
            assert self.queue.running >= self.queue.limit
            assert now_s < self.queue.latest_start_s(entry)
            allowed_s = entry.request.deadline.at_s - entry.arrived_s
            assert now_s - entry.arrived_s < 0.1 * allowed_s

    @stateful.invariant()
    def refusals_have_a_reason(self) -> None:
        """A refused request has not started and has an error."""
        for entry in self.entries:
            refused = entry.state is _STATES.REFUSED
            assert refused == (entry.refusal is not None)
            assert not (refused and entry.started_s)


TestAdmissionMachine = hypothesis.settings(max_examples=60)(
    AdmissionMachine
).TestCase
