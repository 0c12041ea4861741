"""HostBounds and LimitEvents: sizes and notices of the limits on callers."""

import pytest

from corianderport_testkit import clock
from corianderport_tier.process import decision_log
from corianderport_tier.process import host_bounds
from corianderport_tier.process import limit_events
from corianderport_tier.process import metrics


@pytest.mark.parametrize('memory_mb', [60, 200, 300, 552, 4_000])
@pytest.mark.parametrize('descriptors', [256, 4_100, 10_436])
def test_bounds_fit_the_machine(memory_mb: float, descriptors: float) -> None:
    """Guards against bounds that together exceed the machine.

    A process takes about 60 MB before it serves, and 43 kB for each task.
    """
    bounds = host_bounds.HostBounds.from_machine(memory_mb, descriptors)
    callers, admin = bounds.callers, bounds.admin
    tasks = callers.tasks + 2 * admin.tasks + bounds.upstream_tasks
    used_mb = 43e-3 * tasks + 2 * callers.budget_bytes / 1e6
    if memory_mb >= 200:
        assert 60 + used_mb < 0.85 * memory_mb
    assert callers.connections + 2 * admin.connections < 0.85 * descriptors
    assert callers.tasks >= 32


# Resident bytes as measured by ``tests.adapter.held_sizes``,
# listed in docs/design/memory-held-for-callers.md.
_PROCESS_MB = 43.8
_SILENT_CONNECTION_MB = 0.9e-3
_CALLER_TASK_MB = 36e-3
_UPSTREAM_TASK_MB = 25e-3
_LOG_MB = 16.0
# Resident bytes for each byte that a budget counts.
_REQUEST_FACTOR = 1.4
_RESPONSE_FACTOR = 1.1
_REPLY_FACTOR = 2.0


@pytest.mark.parametrize(
    ('memory_mb', 'descriptors'), [(200, 4_100), (552, 10_436)]
)
def test_sum_of_what_is_held_for_callers_fits(
    memory_mb: float, descriptors: float
) -> None:
    """Guards against bounds that fit one by one, but not together."""
    bounds = host_bounds.HostBounds.from_machine(memory_mb, descriptors)
    callers = bounds.callers
    held_mb = (
        _PROCESS_MB
        + callers.connections * _SILENT_CONNECTION_MB
        + (callers.tasks + 2 * bounds.admin.tasks) * _CALLER_TASK_MB
        + bounds.upstream_tasks * _UPSTREAM_TASK_MB
        + callers.budget_bytes * (_REQUEST_FACTOR + _RESPONSE_FACTOR) / 1e6
        + bounds.reply_bytes * _REPLY_FACTOR / 1e6
        + _LOG_MB
    )
    assert held_mb < memory_mb


def test_events_are_counted_and_logged_at_intervals(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a crowd that fills the log, and against lost counts."""
    manual = clock.ManualClock()
    counts = metrics.Metrics()
    events = limit_events.LimitEvents(
        decision_log.DecisionLog(observer=counts), manual
    )
    for _ in range(5):
        events.record('caller_task_evicted')
    events.record('caller_bytes_refused')
    manual.advance(10)
    events.record('caller_task_evicted')
    assert [r.getMessage() for r in caplog.records] == [
        'caller_task_evicted: 1 since the last such line',
        'caller_bytes_refused: 1 since the last such line',
        'caller_task_evicted: 5 since the last such line',
    ]
    assert counts.totals().decisions == {
        'caller_task_evicted': 6,
        'caller_bytes_refused': 1,
    }
