"""corianderport_testkit.process.bench_output

Writes the runs of an experiment as tables, JSON and plots.
"""

import collections.abc
import json
import pathlib
import statistics

import attrs
import matplotlib
import matplotlib.figure

from corianderport_testkit.process import experiments
from corianderport_testkit import tables

__all__ = ['bounds_table', 'figures_table', 'plot', 'write_json']

Run = collections.abc.Mapping[str, experiments.Outcome]

# More variants than this don't fit side by side.
_MAX_COLUMNS = 8

_TABLE_FIGURES = frozenset({
    'answered', 'chunked_reply_allocated', 'chunked_reply_peak_bytes',
    'chunked_reply_us', 'cold_in_flight', 'configuration_calls_per_s',
    'after_mb', 'before_mb', 'not_served', 'p50_ratio', 'p99_alone_ms',
    'p99_ratio', 'peak_mb', 'ready_failed', 'ready_longest_ms', 'served',
    'threads',
    'coverage_least', 'cpu_ms', 'cpu_percent', 'decode_us_a_searcher',
    'document_bytes_a_searcher', 'extra', 'failed', 'full_share_s',
    'heartbeat_bytes', 'late_searches', 'memory_mb', 'overruns', 'p50_ms',
    'p99_ms', 'rank_us_a_pair', 'recovered_s', 'refusal_p99_ms',
    'reply_allocated', 'reply_peak_bytes', 'reply_us', 'request_allocated',
    'request_peak_bytes', 'request_us', 'rumour_bytes',
    'state_bytes_a_searcher', 'worst_second_p99_ms', 'worth_answered',
    'worth_share',
})  # fmt: skip


def figures_table(runs: collections.abc.Sequence[Run]) -> str:
    """Return the median and spread of each figure, one column per variant.

    Many variants have a row each.
    """
    variants = list(runs[0])
    names = sorted(
        {name for variant in variants for name in runs[0][variant].figures}
        & _TABLE_FIGURES
    )

    def cell(name: str, variant: str) -> str:
        if name not in runs[0][variant].figures:
            return ''
        return tables.format_median_and_range(
            [run[variant].figures[name] for run in runs]
        )

    if len(variants) > _MAX_COLUMNS:
        return tables.format_markdown(
            ('variant', *names),
            [(v, *(cell(name, v) for name in names)) for v in variants],
        )
    return tables.format_markdown(
        ('figure', *variants),
        [(name, *(cell(name, v) for v in variants)) for name in names],
    )


def bounds_table(
    bounds: collections.abc.Iterable[experiments.Bound],
    runs: collections.abc.Sequence[Run],
) -> str:
    """Return each bound, its median value with spread, and whether it holds.

    The median over the runs decides.
    """
    rows = []
    for bound in bounds:
        values = [bound.value(run) for run in runs]
        met = bound.holds(statistics.median(values))
        rows.append(
            (
                bound.describe(),
                tables.format_median_and_range(values),
                'yes' if met else 'NO',
            )
        )
    return tables.format_markdown(('bound', 'value', 'met'), rows)


def write_json(
    path: pathlib.Path, runs: collections.abc.Sequence[Run]
) -> None:
    """Write all figures of all runs as JSON."""
    content = [
        {variant: attrs.asdict(outcome) for variant, outcome in run.items()}
        for run in runs
    ]
    path.write_text(json.dumps(content, indent=1), 'utf-8')


def plot(path: pathlib.Path, title: str, run: Run) -> bool:
    """Plot p99, coverage and errors of one run against time.

    :return: whether the run has figures for each second.
    """
    variants = {
        name: outcome.seconds
        for name, outcome in run.items()
        if outcome.seconds
    }
    if not variants:
        return False
    matplotlib.use('svg')
    figure = matplotlib.figure.Figure((8, 7), layout='constrained')
    latency, coverage, errors = figure.subplots(3, sharex=True)
    for name, seconds in variants.items():
        times = [second.second for second in seconds]
        latency.plot(times, [second.p99_ms for second in seconds], label=name)
        coverage.plot(
            times, [second.coverage for second in seconds], label=name
        )
        errors.plot(times, [second.errors for second in seconds], label=name)
    latency.set_ylabel('p99, ms')
    latency.set_yscale('log')
    coverage.set_ylabel('mean coverage')
    errors.set_ylabel('errors in a second')
    errors.set_xlabel('seconds')
    latency.set_title(title)
    latency.legend()
    figure.savefig(path)
    return True
