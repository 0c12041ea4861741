"""StoreFreshness: the age of what a host knows of the store."""

import collections
import time

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import clocks
from corianderport_tier.process import decision_log
from corianderport_tier.process import store_freshness


class _Setting:
    def __init__(self, revoke_s: float | None = 5.0) -> None:
        self.clock = clock_module.ManualClock()
        self.log = decision_log.DecisionLog()
        self.needed = True
        self.freshness = store_freshness.StoreFreshness(
            self.clock, self.log, lambda: self.needed, revoke_s
        )

    @property
    def kinds(self) -> list[str]:
        return [d.kind for d in self.log.recent()]


def test_limit_is_the_revocation_time_less_the_margin() -> None:
    """Guards against a key that is accepted after the revocation time."""
    setting = _Setting()
    assert not setting.freshness.fresh
    setting.freshness.record(setting.clock.boottime())
    setting.clock.advance(4.49)
    assert setting.freshness.fresh
    setting.clock.advance(0.01)
    assert not setting.freshness.fresh
    assert setting.freshness.refuses_keys


def test_no_age_is_checked_outside_strict_mode() -> None:
    """Guards against refusals in a deployment that did not ask for them."""
    setting = _Setting(revoke_s=None)
    assert setting.freshness.fresh
    setting.freshness.record(None)
    setting.clock.advance(1e6)
    assert setting.freshness.fresh
    assert not setting.freshness.refuses_keys
    assert setting.freshness.relay_suffices(None)
    assert setting.freshness.longest_watch_s == float('inf')
    assert setting.kinds == []


def test_suspension_makes_the_knowledge_older() -> None:
    """Guards against old keys accepted by a machine that has just resumed.

    The monotonic clock does not count the time of a suspension.
    """
    setting = _Setting()
    setting.freshness.record(setting.clock.boottime())
    before_s = setting.clock.monotonic()
    setting.clock.suspend(10.0)
    assert setting.clock.monotonic() == before_s
    assert not setting.freshness.fresh
    assert setting.freshness.age_s == pytest.approx(10.0)


def test_jump_of_the_time_of_day_changes_nothing() -> None:
    """Guards against keys refused or kept because an operator set the time."""

    class _JumpingClock(clock_module.ManualClock):
        def time(self) -> float:
            raise AssertionError('the time of day must not be read')

    clock = _JumpingClock()
    freshness = store_freshness.StoreFreshness(
        clock, decision_log.DecisionLog(), lambda: True, 5.0
    )
    freshness.record(clock.boottime())
    assert freshness.fresh


def test_older_reply_does_not_make_the_knowledge_older() -> None:
    """Guards against refusals after a change to a reader that is behind."""
    setting = _Setting()
    now_s = setting.clock.boottime()
    setting.freshness.record(now_s)
    setting.freshness.record(now_s - 3.0)
    setting.freshness.record(None)
    assert setting.freshness.age_s == 0.0


def test_each_change_is_logged_and_counted_once() -> None:
    """Guards against a log line for each refused request."""
    setting = _Setting()
    setting.freshness.record(setting.clock.boottime())
    assert setting.kinds == []
    setting.clock.advance(5.0)
    for _ in range(3):
        setting.freshness.observe()
    setting.freshness.record(setting.clock.boottime())
    setting.freshness.observe()
    assert setting.kinds == ['keys-refused', 'keys-accepted']
    assert setting.log.recent()[0].inputs == {'age_ms': 5_000}


def test_period_that_no_task_has_noticed_is_logged() -> None:
    """Guards against refusals without a trace in the log.

    A process that resumes may read the store before any other task runs.
    """
    setting = _Setting()
    setting.freshness.record(setting.clock.boottime())
    setting.clock.suspend(60.0)
    setting.freshness.record(setting.clock.boottime())
    assert setting.kinds == ['keys-refused', 'keys-accepted']


def test_host_that_never_learns_the_age_says_so() -> None:
    """Guards against silent refusals behind hosts of an earlier version."""
    setting = _Setting()
    setting.freshness.record(None)
    assert setting.kinds == ['keys-refused']
    assert setting.log.recent()[0].inputs == {'age_ms': None}


def test_deployment_without_workspaces_is_never_refused() -> None:
    """Guards against a host not ready although no request needs a key."""
    setting = _Setting()
    setting.needed = False
    setting.freshness.observe()
    assert not setting.freshness.refuses_keys
    assert setting.kinds == []


def test_limit_follows_the_settings() -> None:
    """Guards against strict mode that needs a restart."""
    setting = _Setting(revoke_s=None)
    setting.freshness.record(setting.clock.boottime())
    setting.clock.advance(20.0)
    setting.freshness.set_revoke_s(5.0)
    assert not setting.freshness.fresh
    setting.freshness.set_revoke_s(60.0)
    assert setting.freshness.fresh


def test_age_stays_below_the_limit_with_one_lost_call() -> None:
    """Guards against refusals in a calm network.

    Just before a reply arrives, the knowledge dates from the sending of the
    watch before. A lost call is abandoned a second after its watch.
    """
    longest_s = _Setting().freshness.longest_watch_s
    assert longest_s == 1.5
    limit_s = 5.0 - store_freshness.MARGIN_S
    assert longest_s + (longest_s + 1.0) < limit_s


def test_reader_with_old_knowledge_does_not_suffice() -> None:
    """Guards against a follower that becomes too old behind its reader."""
    setting = _Setting()
    now_s = setting.clock.boottime()
    assert setting.freshness.relay_suffices(now_s - 2.4)
    assert not setting.freshness.relay_suffices(now_s - 3.0)
    assert not setting.freshness.relay_suffices(None)


def test_refusals_are_counted() -> None:
    """Guards against a condition that no metric shows."""
    counted: collections.Counter[str] = collections.Counter()

    class _Observer:
        def decided(self, decision: decision_log.Decision) -> None:
            counted[decision.kind] += 1

    clock = clock_module.ManualClock()
    freshness = store_freshness.StoreFreshness(
        clock, decision_log.DecisionLog(observer=_Observer()), lambda: True, 5
    )
    freshness.record(clock.boottime())
    clock.advance(5.0)
    freshness.observe()
    assert counted == {'keys-refused': 1}


def test_system_clock_counts_suspensions() -> None:
    """Guards against an age on the clock that stops with the machine."""
    clock = clocks.SystemClock()
    before_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert clock.boottime() >= before_s
    assert clock.boottime() <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_manual_clock_advances_both_clocks() -> None:
    """Guards against tests in which time passes on one clock only."""
    clock = clock_module.ManualClock()
    apart_s = clock.boottime() - clock.monotonic()
    clock.advance(3.0)
    assert clock.boottime() - clock.monotonic() == apart_s
