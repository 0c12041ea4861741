"""The bench's arithmetic: percentiles, seconds, bounds, open loop."""

import pathlib
import socket

import pytest

from corianderport_testkit.process import bench_output
from corianderport_testkit.process import experiments
from corianderport_testkit.process import load
from corianderport_testkit.process import summaries


def _sample(
    at_s: float, latency_s: float, name: str = 'OK', coverage: float = 1.0
) -> summaries.Sample:
    return summaries.Sample(at_s, latency_s, name, coverage, 2.0, 1.0)


def test_summary_keeps_refusals_out_of_the_latency() -> None:
    """Guards against quick refusals that improve the percentiles."""
    samples = [_sample(0.1, 0.1) for _ in range(50)]
    samples += [_sample(0.2, 0.2, 'PARTIAL', 0.5) for _ in range(50)]
    samples += [_sample(0.3, 0.001, 'OVERLOADED', 0.0) for _ in range(100)]
    summary = summaries.summarize(samples)
    assert (summary.requests, summary.answered, summary.whole) == (
        200,
        100,
        50,
    )
    assert summary.p50_ms == pytest.approx(100, rel=0.01)
    assert summary.p99_ms == pytest.approx(200, rel=0.01)
    assert summary.refusal_p99_ms == pytest.approx(1, rel=0.01)
    assert summary.coverage_mean == 0.75
    assert summary.worth_answered == 2.0 * 50 + 2.0 * 0.5 * 50


def test_late_answers_have_no_worth() -> None:
    """Guards against an overloaded tier that answers after the deadline."""
    summary = summaries.summarize([_sample(0.0, 0.9), _sample(0.1, 1.2)])
    assert (summary.worth_answered, summary.worth_share) == (2.0, 0.5)


def test_seconds_group_by_the_scheduled_time() -> None:
    """Guards against a stall that hides in a later second."""
    seconds = summaries.by_second(
        [_sample(0.9, 3.0), _sample(1.1, 0.1, 'NO_REPLY', 0.0)]
    )
    assert [(s.second, s.errors) for s in seconds] == [(0, 0), (1, 1)]
    assert seconds[0].p99_ms == pytest.approx(3_000, rel=0.01)


def test_latency_counts_from_the_scheduled_time() -> None:
    """Guards against a closed loop: a dead tier must not slow arrivals."""
    planned = load.Load(rate=200.0, seconds=0.5, seed=3)
    with socket.socket() as deaf:
        # Bound but not listening, so that each connection is refused.
        deaf.bind(('127.0.0.1', 0))
        address = f'127.0.0.1:{deaf.getsockname()[1]}'
        samples = load.send(planned, [address])
        again = load.send(planned, [address])
    assert {s.name for s in samples} == {'NO_REPLY'}
    assert [s.at_s for s in samples] == [s.at_s for s in again]
    assert all(s.latency_s > 0 for s in samples)


def test_bound_is_a_ratio_to_its_baseline() -> None:
    """Guards against a bound that compares the wrong variants."""
    run = {
        'tier': experiments.Outcome({'p99_ms': 10.0}),
        'tier-slow': experiments.Outcome({'p99_ms': 16.0}),
    }
    bound = experiments.Bound('tier-slow', 'p99_ms', 1.5, 'tier')
    assert bound.value(run) == pytest.approx(1.6)
    assert not bound.holds(1.6) and bound.holds(1.5)
    at_least = experiments.Bound('tier', 'p99_ms', 9.0, None, True)
    assert at_least.holds(at_least.value(run))


def test_every_experiment_can_be_opened() -> None:
    """Guards against a table that names a missing class or variant."""
    for name in experiments.names():
        experiment = experiments.open_experiment(name)
        for bound in experiment.bounds:
            assert bound.variant in experiment.variants
            assert bound.baseline in (None, *experiment.variants)


def test_outputs_are_written(tmp_path: pathlib.Path) -> None:
    """Guards against a run whose figures are lost at its end."""
    second = summaries.Second(0, 10.0, 1.0, 0)
    runs = [{'tier': experiments.Outcome({'p99_ms': 10.0}, (second,))}]
    bench_output.write_json(tmp_path / 'x.json', runs)
    assert bench_output.plot(tmp_path / 'x.svg', 'x', runs[0])
    assert '10.0' in (tmp_path / 'x.json').read_text('utf-8')
    assert (tmp_path / 'x.svg').stat().st_size > 1_000
    bound = experiments.Bound('tier', 'p99_ms', 9.0)
    assert '| NO |' in bench_output.bounds_table([bound], runs)
    assert 'p99_ms' in bench_output.figures_table(runs)
