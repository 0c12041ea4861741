"""corianderport_testkit.process.summaries

Summarizes the latency, coverage and worth of a measured load.
"""

import collections
import collections.abc

import attrs
from hdrh import histogram

__all__ = ['Sample', 'Second', 'Summary', 'summarize', 'summarize_by_second']

_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
# Answers may exceed the deadline by 5 %, for the return trip to the caller
# and the load generator's own delay.
_DEADLINE_TOLERANCE = 1.05
_ANSWERED = frozenset({'OK', 'PARTIAL'})
_REFUSED = frozenset({'OVERLOADED', 'QUOTA_EXCEEDED', 'NOT_READY'})


@attrs.frozen
class Sample:
    """Result of one search; ``name`` is the name of its result code.

    ``at_s`` is its scheduled time, in seconds after the start of the load.
    """

    at_s: float
    latency_s: float
    name: str
    coverage: float
    worth: float
    deadline_s: float

    @property
    def worth_answered(self) -> float:
        """Worth times coverage if the answer was on time, otherwise 0."""
        in_time = self.latency_s <= _DEADLINE_TOLERANCE * self.deadline_s
        return self.worth * self.coverage * (self.answered and in_time)

    @property
    def answered(self) -> bool:
        """Whether the caller received a complete or a partial answer."""
        return self.name in _ANSWERED

    @property
    def refused(self) -> bool:
        """Whether the tier refused the search for lack of capacity."""
        return self.name in _REFUSED


@attrs.frozen
class Summary:
    """Statistics of samples.

    ``whole`` counts complete answers. The latency percentiles and the
    coverage are those of answered searches, except ``refusal_p99_ms``, which
    is that of refusals. ``worth_share`` is the part of the worth of all
    searches that was answered.
    """

    requests: int
    answered: int
    whole: int
    p50_ms: float
    p99_ms: float
    coverage_mean: float
    coverage_least: float
    worth_answered: float
    worth_share: float
    refusal_p99_ms: float


@attrs.frozen
class Second:
    """Statistics of the searches that were scheduled in one second.

    ``second`` counts from the start of the load; ``errors`` is the number of
    searches without an answer.
    """

    second: int
    p99_ms: float
    coverage: float
    errors: int


def _latency_histogram(
    samples: collections.abc.Iterable[Sample],
) -> histogram.HdrHistogram:
    latencies = histogram.HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for sample in samples:
        latencies.record_value(max(1, int(sample.latency_s * 1e6)))
    return latencies


def _percentile_ms(
    latencies: histogram.HdrHistogram, percentile: float
) -> float:
    return float(latencies.get_value_at_percentile(percentile)) / 1e3


def summarize(samples: collections.abc.Sequence[Sample]) -> Summary:
    """Return the statistics of the samples."""
    answered = [s for s in samples if s.answered]
    latencies = _latency_histogram(answered)
    worth = sum(s.worth_answered for s in answered)
    coverage = [s.coverage for s in answered] or [0.0]
    return Summary(
        requests=len(samples),
        answered=len(answered),
        whole=sum(s.name == 'OK' for s in samples),
        p50_ms=_percentile_ms(latencies, 50),
        p99_ms=_percentile_ms(latencies, 99),
        coverage_mean=sum(coverage) / len(coverage),
        coverage_least=min(coverage),
        worth_answered=worth,
        worth_share=worth / (sum(s.worth for s in samples) or 1.0),
        refusal_p99_ms=_percentile_ms(
            _latency_histogram(s for s in samples if s.refused), 99
        ),
    )


def summarize_by_second(
    samples: collections.abc.Iterable[Sample],
) -> list[Second]:
    """Return the statistics of each second, in order."""
    grouped: dict[int, list[Sample]] = collections.defaultdict(list)
    for sample in samples:
        grouped[int(sample.at_s)].append(sample)
    seconds = []
    for second, scheduled in sorted(grouped.items()):
        summary = summarize(scheduled)
        failed = summary.requests - summary.answered
        seconds.append(
            Second(second, summary.p99_ms, summary.coverage_mean, failed)
        )
    return seconds
