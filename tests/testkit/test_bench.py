"""Tests of the benchmark's statistics, bounds, load and output."""

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
    """Quick refusals must not improve the latency percentiles.

    An overloaded tier refuses within milliseconds.
    """
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
    """An answer after the deadline must have no worth.

    An overloaded tier may answer all searches, but too late for the caller.
    """
    summary = summaries.summarize([_sample(0.0, 0.9), _sample(0.1, 1.2)])
    assert (summary.worth_answered, summary.worth_share) == (2.0, 0.5)


def test_seconds_group_by_the_scheduled_time() -> None:
    """A slow search must count in the second for which it was scheduled.

    Otherwise a stall would be reported in a later second.
    """
    seconds = summaries.summarize_by_second(
        [_sample(0.9, 3.0), _sample(1.1, 0.1, 'NO_REPLY', 0.0)]
    )
    assert [(s.second, s.errors) for s in seconds] == [(0, 0), (1, 1)]
    assert seconds[0].p99_ms == pytest.approx(3_000, rel=0.01)


def test_latency_counts_from_the_scheduled_time() -> None:
    """A tier that is down must not delay the arrivals of the load.

    In a closed loop, slow answers would reduce the load that is measured.
    """
    planned = load.Load(rate=200.0, seconds=0.5, seed=3)
    with socket.socket() as closed_port:
        # The socket is bound but not listening: connections are refused.
        closed_port.bind(('127.0.0.1', 0))
        address = f'127.0.0.1:{closed_port.getsockname()[1]}'
        samples = load.send(planned, [address])
        repeated = load.send(planned, [address])
    assert {s.name for s in samples} == {'NO_REPLY'}
    assert [s.at_s for s in samples] == [s.at_s for s in repeated]
    assert all(s.latency_s > 0 for s in samples)


def test_bound_is_a_ratio_to_its_baseline() -> None:
    """A bound with a baseline must apply to the ratio of both figures.

    If the baseline were left out, the limit of a ratio would be compared
    with a figure in milliseconds.
    """
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
    """The table of experiments and the bounds must name what exists.

    Both hold strings: the table modules and classes, the bounds variants.
    """
    for name in experiments.names():
        experiment = experiments.open_experiment(name)
        for bound in experiment.bounds:
            assert bound.variant in experiment.variants
            assert bound.baseline in (None, *experiment.variants)


def test_outputs_are_written(tmp_path: pathlib.Path) -> None:
    """The figures of a run must be in its JSON, its plot and its tables.

    They are written only after the last run, where an error may cost the
    figures of all runs.
    """
    second = summaries.Second(0, 10.0, 1.0, 0)
    runs = [{'tier': experiments.Outcome({'p99_ms': 10.0}, (second,))}]
    bench_output.write_json(tmp_path / 'x.json', runs)
    assert bench_output.plot(tmp_path / 'x.svg', 'x', runs[0])
    assert '10.0' in (tmp_path / 'x.json').read_text('utf-8')
    assert (tmp_path / 'x.svg').stat().st_size > 1_000
    bound = experiments.Bound('tier', 'p99_ms', 9.0)
    assert '| NO |' in bench_output.bounds_table([bound], runs)
    assert 'p99_ms' in bench_output.figures_table(runs)


def test_many_variants_have_a_row_each() -> None:
    """Guards against a table that is too wide to be read."""
    outcome = experiments.Outcome({'p99_ms': 2.0, 'peak_mb': 50.0})
    run = {f'v{number}': outcome for number in range(20)}
    lines = bench_output.figures_table([run]).splitlines()
    assert lines[0] == '| variant | p99_ms | peak_mb |'
    assert len(lines) == 22
