"""corianderport_testkit.process.bench_output

Tables, JSON and plots of an experiment's runs.
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

_SHOWN = frozenset({
    'answered', 'cold_in_flight', 'configuration_calls_per_s',
    'coverage_least', 'cpu_ms', 'cpu_percent', 'decode_us_a_searcher',
    'document_bytes_a_searcher', 'extra', 'failed', 'full_share_s',
    'heartbeat_bytes', 'late_searches', 'memory_mb', 'overruns', 'p50_ms',
    'p99_ms', 'rank_us_a_pair', 'recovered_s', 'refusal_p99_ms',
    'rumour_bytes', 'state_bytes_a_searcher', 'worst_second_p99_ms',
    'worth_answered', 'worth_share',
})  # fmt: skip


def figures_table(runs: collections.abc.Sequence[Run]) -> str:
    """Return the median and spread of each figure, one column a variant."""
    variants = list(runs[0])
    names = sorted(
        {name for variant in variants for name in runs[0][variant].figures}
        & _SHOWN
    )
    rows = []
    for name in names:
        cells = [
            tables.format_median_and_range(
                [run[variant].figures[name] for run in runs]
            )
            if name in runs[0][variant].figures
            else ''
            for variant in variants
        ]
        rows.append((name, *cells))
    return tables.format_markdown(('figure', *variants), rows)


def bounds_table(
    bounds: collections.abc.Iterable[experiments.Bound],
    runs: collections.abc.Sequence[Run],
) -> str:
    """Return each bound with its value, the median over the runs."""
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
    """Write all figures of all runs."""
    content = [
        {variant: attrs.asdict(outcome) for variant, outcome in run.items()}
        for run in runs
    ]
    path.write_text(json.dumps(content, indent=1), 'utf-8')


def plot(path: pathlib.Path, title: str, run: Run) -> bool:
    """Draw p99, coverage and errors of each second of one run.

    :return: False when the experiment has no course over time.
    """
    variants = {name: o.seconds for name, o in run.items() if o.seconds}
    if not variants:
        return False
    matplotlib.use('svg')
    figure = matplotlib.figure.Figure((8, 7), layout='constrained')
    latency, coverage, failed = figure.subplots(3, sharex=True)
    for name, seconds in variants.items():
        at = [s.second for s in seconds]
        latency.plot(at, [s.p99_ms for s in seconds], label=name)
        coverage.plot(at, [s.coverage for s in seconds], label=name)
        failed.plot(at, [s.errors for s in seconds], label=name)
    latency.set_ylabel('p99, ms')
    latency.set_yscale('log')
    coverage.set_ylabel('mean coverage')
    failed.set_ylabel('errors in a second')
    failed.set_xlabel('seconds')
    latency.set_title(title)
    latency.legend()
    figure.savefig(path)
    return True
