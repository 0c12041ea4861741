"""Tests for the metrics."""

import concurrent.futures

import pytest

from corianderport_tier.process import decision_log
from corianderport_tier.process import metrics
from corianderport_tier import result_codes

_Code = result_codes.ResultCode


def test_counts_of_all_tasks_are_added_up() -> None:
    """Concurrent increments must not be lost.

    Several threads increment the same counters.
    """
    counters = metrics.Metrics()

    def work(number: int) -> None:
        for _ in range(500):
            counters.finished('search', _Code.OK, 0.004)
            counters.decided(decision_log.Decision('route', 'r', 's', ''))
        counters.decided(decision_log.Decision('hedge', 'r', 's', ''))

    with concurrent.futures.ThreadPoolExecutor(8) as executor:
        list(executor.map(work, range(8)))
    totals = counters.totals()
    assert totals.results == {('search', _Code.OK): 4000}
    assert (totals.sub_requests, totals.hedges) == (4008, 8)
    latencies = totals.latencies['search']
    assert latencies.counts[2] == sum(latencies.counts) == 4000
    assert latencies.sum_s == pytest.approx(16.0)


def test_only_requests_that_did_not_run_are_refusals() -> None:
    """Failures after a start must not be counted as refusals.

    A request with an unknown outcome has failed but may have run.
    """
    counters = metrics.Metrics()
    for code in (_Code.OK, _Code.OVERLOADED, _Code.OUTCOME_UNKNOWN):
        counters.finished('search', code, 0.1)
    counters.finished('action', _Code.OVERLOADED, 100.0)
    totals = counters.totals()
    assert totals.refusals == {_Code.OVERLOADED: 2}
    assert totals.latencies['action'].counts[-1] == 1


def test_placements_are_summed_by_policy() -> None:
    """Guards against sums that mix the policies of different services."""
    counters = metrics.Metrics()
    for _ in range(2):
        counters.placed('a', metrics.PlacementTotals(3, 0.5, 0.25))
    counters.placed('b', metrics.PlacementTotals(1, 0.1, 0.0))
    assert counters.totals().placements == {
        'a': metrics.PlacementTotals(6, 1.0, 0.5),
        'b': metrics.PlacementTotals(1, 0.1, 0.0),
    }
