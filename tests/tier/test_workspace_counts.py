"""Counts of the requests of workspaces in a window."""

import threading

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import workspace_counts

Outcome = workspace_counts.Outcome


class _Counts:
    """Counts of a host that samples each quarter of a second."""

    def __init__(self, window_s: float = 5.0) -> None:
        self.clock = clock_module.ManualClock()
        self.names = {'alpha', 'beta'}
        self.granted: dict[str, int] = {}
        self.counts = workspace_counts.WorkspaceCounts(
            self.clock,
            lambda: window_s,
            lambda: self.names,
            lambda: self.granted,
        )

    def advance(self, seconds: float) -> None:
        for _ in range(int(seconds * 4)):
            self.clock.advance(0.25)
            self.counts.sample()

    def admitted(self, name: str | None = 'alpha') -> int:
        _, recent = self.counts.recent()
        return recent[name].outcomes[Outcome.ADMITTED]


def test_counts_are_those_of_the_window() -> None:
    """Guards against totals since the start that are shown as a rate."""
    host = _Counts()
    for _ in range(20):
        host.advance(0.5)
        host.counts.count('alpha', Outcome.ADMITTED)
    window_s, _ = host.counts.recent()
    assert 5.0 <= window_s <= 5.5
    assert host.admitted() in (10, 11)
    host.advance(6)
    assert host.admitted() == 0


def test_young_host_reports_a_shorter_window() -> None:
    """Guards against a sum that takes two seconds for five."""
    host = _Counts()
    host.counts.count('alpha', Outcome.OVER_QUOTA)
    host.advance(2)
    window_s, recent = host.counts.recent()
    assert window_s == pytest.approx(2)
    assert recent['alpha'].outcomes[Outcome.OVER_QUOTA] == 1
    assert recent['alpha'].outcomes[Outcome.ADMITTED] == 0


def test_tokens_are_those_of_the_window() -> None:
    """Guards against granted tokens that are never forgotten.

    A workspace that was removed and added again starts at 0.
    """
    host = _Counts()
    host.granted = {'alpha': 70}
    host.advance(6)
    host.granted = {'alpha': 75}
    assert host.counts.recent()[1]['alpha'].tokens_granted == 5
    host.granted = {'alpha': 3}
    assert host.counts.recent()[1]['alpha'].tokens_granted == 0


def test_unknown_workspaces_hold_no_memory() -> None:
    """Guards against memory that grows with each change of workspaces."""
    host = _Counts()
    for number in range(100):
        host.names = {f'w{number}'}
        host.counts.count(f'w{number}', Outcome.ADMITTED)
        host.counts.count(None, Outcome.KEY_REFUSED)
        host.advance(0.5)
    assert host.counts.size == 2
    host.names = {'w1'}
    host.counts.count('w1', Outcome.ADMITTED)
    assert host.admitted('w1') == 1


def test_long_window_holds_few_samples() -> None:
    """Guards against memory that grows with the length of the window."""
    host = _Counts(window_s=3_600.0)
    host.advance(4_000)
    assert len(host.counts._samples) <= 23


def test_no_count_is_lost_between_tasks() -> None:
    """Guards against increments that are lost without a lock."""
    host = _Counts()
    stopped = threading.Event()

    def count() -> None:
        for _ in range(20_000):
            host.counts.count('alpha', Outcome.ADMITTED)

    def read() -> None:
        while not stopped.wait(0.001):
            host.counts.recent()

    tasks = [threading.Thread(target=count) for _ in range(4)]
    reader = threading.Thread(target=read)
    for task in (*tasks, reader):
        task.start()
    for task in tasks:
        task.join()
    stopped.set()
    reader.join()
    assert host.admitted() == 80_000
