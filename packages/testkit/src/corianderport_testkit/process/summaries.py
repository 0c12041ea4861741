"""corianderport_testkit.process.summaries

Latency, coverage and worth of a load that was sent.
"""

import collections
import collections.abc

import attrs
from hdrh import histogram

__all__ = ['Sample', 'Second', 'Summary', 'by_second', 'summarize']

_MAX_US = 120_000_000
_DIGITS = 3
# A share of the deadline for the way back and the sender's own delay.
_ALLOWANCE = 1.05
_ANSWERED = frozenset({'OK', 'PARTIAL'})
_REFUSED = frozenset({'OVERLOADED', 'QUOTA_EXCEEDED', 'NOT_READY'})


@attrs.frozen
class Sample:
    """One search; ``name`` is that of its result code."""

    at_s: float
    latency_s: float
    name: str
    coverage: float
    worth: float
    deadline_s: float

    @property
    def worth_answered(self) -> float:
        """Worth times coverage of an answer that came in time."""
        in_time = self.latency_s <= _ALLOWANCE * self.deadline_s
        return self.worth * self.coverage * (self.answered and in_time)

    @property
    def answered(self) -> bool:
        """Whether the caller got an answer, whole or not."""
        return self.name in _ANSWERED

    @property
    def refused(self) -> bool:
        """Whether the tier refused the search for lack of capacity."""
        return self.name in _REFUSED


@attrs.frozen
class Summary:
    """Figures of several samples; latency in ms of answered ones."""

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
    """Figures of the searches scheduled in one second."""

    second: int
    p99_ms: float
    coverage: float
    errors: int


def _recorded(
    samples: collections.abc.Iterable[Sample],
) -> histogram.HdrHistogram:
    recorded = histogram.HdrHistogram(1, _MAX_US, _DIGITS)
    for sample in samples:
        recorded.record_value(max(1, int(sample.latency_s * 1e6)))
    return recorded


def _ms(recorded: histogram.HdrHistogram, percentile: float) -> float:
    return float(recorded.get_value_at_percentile(percentile)) / 1e3


def summarize(samples: collections.abc.Sequence[Sample]) -> Summary:
    """Return the figures of a load."""
    answered = [s for s in samples if s.answered]
    recorded = _recorded(answered)
    worth = sum(s.worth_answered for s in answered)
    coverage = [s.coverage for s in answered] or [0.0]
    return Summary(
        requests=len(samples),
        answered=len(answered),
        whole=sum(s.name == 'OK' for s in samples),
        p50_ms=_ms(recorded, 50),
        p99_ms=_ms(recorded, 99),
        coverage_mean=sum(coverage) / len(coverage),
        coverage_least=min(coverage),
        worth_answered=worth,
        worth_share=worth / (sum(s.worth for s in samples) or 1.0),
        refusal_p99_ms=_ms(_recorded(s for s in samples if s.refused), 99),
    )


def by_second(samples: collections.abc.Iterable[Sample]) -> list[Second]:
    """Return the figures of each second."""
    grouped: dict[int, list[Sample]] = collections.defaultdict(list)
    for sample in samples:
        grouped[int(sample.at_s)].append(sample)
    seconds = []
    for second, found in sorted(grouped.items()):
        summary = summarize(found)
        failed = summary.requests - summary.answered
        seconds.append(
            Second(second, summary.p99_ms, summary.coverage_mean, failed)
        )
    return seconds
