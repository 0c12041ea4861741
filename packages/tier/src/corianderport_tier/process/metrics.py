"""corianderport_tier.process.metrics

Counters and latency histograms of one host.
"""

import bisect
import collections
import collections.abc
import threading

import attrs

from corianderport_tier.process import decision_log
from corianderport_tier import result_codes

__all__ = ['LATENCY_BOUNDS_S', 'Latencies', 'Metrics', 'Totals']

# Upper bounds of the buckets; the last bucket has none.
LATENCY_BOUNDS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2,
    0.3, 0.5, 1.0, 2.0, 5.0,
)  # fmt: skip

# Kinds of decisions that send one sub-request to a searcher.
_SUB_REQUEST_KINDS = ('route', 'hedge', 'retry', 'probe')
_HEDGE_KIND = 'hedge'


@attrs.frozen
class _Result:
    request: str
    code: result_codes.ResultCode


@attrs.frozen
class _Decided:
    kind: str


@attrs.frozen
class _Bucket:
    request: str
    number: int


@attrs.frozen
class _LatencySum:
    request: str


_Key = _Result | _Decided | _Bucket | _LatencySum


class _Counters:
    """Counts of each thread, added up when they are read.

    No lock is shared by the tasks that count.
    """

    def __init__(self) -> None:
        self._local = threading.local()
        self._lock = threading.Lock()
        self._threads: list[dict[_Key, float]] = []

    def add(self, key: _Key, amount: float = 1) -> None:
        """Add to the counts of the calling thread."""
        counts: dict[_Key, float] | None
        counts = getattr(self._local, 'counts', None)
        if counts is None:
            counts = {}
            self._local.counts = counts
            with self._lock:
                self._threads.append(counts)
        counts[key] = counts.get(key, 0) + amount

    def totals(self) -> dict[_Key, float]:
        """Return the sum over all threads."""
        with self._lock:
            threads = list(self._threads)
        total: collections.Counter[_Key] = collections.Counter()
        for counts in threads:
            total.update(counts.copy())
        return dict(total)


@attrs.frozen
class Latencies:
    """How long requests of one kind took.

    ``counts`` has one number for each of ``LATENCY_BOUNDS_S`` and one for
    requests above the last bound; they are not cumulative.
    """

    counts: tuple[int, ...]
    sum_s: float


@attrs.frozen
class Totals:
    """All counts since the start of the process."""

    results: collections.abc.Mapping[tuple[str, result_codes.ResultCode], int]
    decisions: collections.abc.Mapping[str, int]
    latencies: collections.abc.Mapping[str, Latencies]

    @property
    def sub_requests(self) -> int:
        """Sub-requests that this host sent to searchers."""
        return sum(self.decisions.get(kind, 0) for kind in _SUB_REQUEST_KINDS)

    @property
    def hedges(self) -> int:
        """Sub-requests that were hedges."""
        return self.decisions.get(_HEDGE_KIND, 0)

    @property
    def refusals(self) -> dict[result_codes.ResultCode, int]:
        """Requests of callers that were refused and did not run."""
        refused: collections.Counter[result_codes.ResultCode]
        refused = collections.Counter()
        for (_, code), count in self.results.items():
            if code.ran is result_codes.Ran.NO:
                refused[code] += count
        return dict(refused)


class Metrics:
    """Counts results and decisions on the tasks that make them."""

    def __init__(self) -> None:
        self._counters = _Counters()

    def finished(
        self, request: str, code: result_codes.ResultCode, latency_s: float
    ) -> None:
        """Count one request of a caller, by kind and result."""
        number = bisect.bisect_left(LATENCY_BOUNDS_S, latency_s)
        self._counters.add(_Result(request, code))
        self._counters.add(_Bucket(request, number))
        self._counters.add(_LatencySum(request), latency_s)

    def decided(self, decision: decision_log.Decision) -> None:
        """Count one decision by its kind."""
        self._counters.add(_Decided(decision.kind))

    def totals(self) -> Totals:
        """Return the counts since the start of the process."""
        results: dict[tuple[str, result_codes.ResultCode], int] = {}
        decisions: dict[str, int] = {}
        buckets: dict[str, list[int]] = {}
        sums_s: dict[str, float] = {}
        for key, count in self._counters.totals().items():
            if isinstance(key, _Result):
                results[key.request, key.code] = int(count)
            elif isinstance(key, _Decided):
                decisions[key.kind] = int(count)
            elif isinstance(key, _LatencySum):
                sums_s[key.request] = count
            else:
                empty = [0] * (len(LATENCY_BOUNDS_S) + 1)
                counts = buckets.setdefault(key.request, empty)
                counts[key.number] = int(count)
        latencies = {
            request: Latencies(tuple(counts), sums_s.get(request, 0.0))
            for request, counts in buckets.items()
        }
        return Totals(results, decisions, latencies)
