"""corianderport_tier.process.metrics

Counters and latency histograms of a host.
"""

import bisect
import collections
import collections.abc
import enum

import attrs

from corianderport_tier.process import decision_log
from corianderport_tier.process import thread_counters
from corianderport_tier import result_codes

__all__ = [
    'LATENCY_BOUNDS_S',
    'LatencyHistogram',
    'Metrics',
    'PlacementTotals',
    'Totals',
]

# Upper bounds of the histogram buckets; a further bucket has no bound.
LATENCY_BOUNDS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2,
    0.3, 0.5, 1.0, 2.0, 5.0,
)  # fmt: skip

# Decision kinds that send one sub-request to a searcher.
_SUB_REQUEST_KINDS = ('route', 'hedge', 'retry', 'probe')
_HEDGE_KIND = 'hedge'


@attrs.frozen
class _ResultKey:
    request: str
    code: result_codes.ResultCode


@attrs.frozen
class _DecisionKey:
    kind: str


@attrs.frozen
class _BucketKey:
    request: str
    bucket: int


@attrs.frozen
class _LatencySumKey:
    request: str


class _PlacementQuantity(enum.Enum):
    SENDS = enum.auto()
    EXPECTED_S = enum.auto()
    OUTSTANDING_S = enum.auto()


@attrs.frozen
class _PlacementKey:
    policy: str
    quantity: _PlacementQuantity


_Key = _ResultKey | _DecisionKey | _BucketKey | _LatencySumKey | _PlacementKey


@attrs.frozen
class LatencyHistogram:
    """Latency histogram of one kind of requests.

    ``counts`` has one number for each of ``LATENCY_BOUNDS_S`` and one for
    requests above the last bound. The numbers are not cumulative.
    """

    counts: tuple[int, ...]
    sum_s: float


@attrs.define
class PlacementTotals:
    """Sends that a placement policy has chosen a searcher for.

    ``expected_s`` is the sum of their expected run times, ``outstanding_s``
    that of the work which the chosen searchers still had to do.
    """

    sends: int = 0
    expected_s: float = 0.0
    outstanding_s: float = 0.0


@attrs.frozen
class Totals:
    """Values of all counters since the start of the process."""

    results: collections.abc.Mapping[tuple[str, result_codes.ResultCode], int]
    decisions: collections.abc.Mapping[str, int]
    latencies: collections.abc.Mapping[str, LatencyHistogram]
    placements: collections.abc.Mapping[str, PlacementTotals] = attrs.Factory(
        dict
    )

    @property
    def sub_requests(self) -> int:
        """Number of sub-requests sent to searchers."""
        return sum(self.decisions.get(kind, 0) for kind in _SUB_REQUEST_KINDS)

    @property
    def hedges(self) -> int:
        """Number of sub-requests that were hedges."""
        return self.decisions.get(_HEDGE_KIND, 0)

    @property
    def refusals(self) -> dict[result_codes.ResultCode, int]:
        """Number of callers' requests that did not run, by result code."""
        refused: collections.Counter[result_codes.ResultCode]
        refused = collections.Counter()
        for (_, code), count in self.results.items():
            if code.ran is result_codes.Ran.NO:
                refused[code] += count
        return dict(refused)


class Metrics:
    """Counts results and decisions on the calling tasks."""

    def __init__(self) -> None:
        self._counters = thread_counters.ThreadCounters[_Key]()

    def finished(
        self, request: str, code: result_codes.ResultCode, latency_s: float
    ) -> None:
        """Count a finished request of a caller by kind and result code."""
        bucket = bisect.bisect_left(LATENCY_BOUNDS_S, latency_s)
        self._counters.add(_ResultKey(request, code))
        self._counters.add(_BucketKey(request, bucket))
        self._counters.add(_LatencySumKey(request), latency_s)

    def decided(self, decision: decision_log.Decision) -> None:
        """Count a decision by its kind."""
        self._counters.add(_DecisionKey(decision.kind))

    def placed(self, policy: str, placements: PlacementTotals) -> None:
        """Count the sends of a request by the policy that placed them."""
        add, quantity = self._counters.add, _PlacementQuantity
        add(_PlacementKey(policy, quantity.SENDS), placements.sends)
        add(_PlacementKey(policy, quantity.EXPECTED_S), placements.expected_s)
        add(
            _PlacementKey(policy, quantity.OUTSTANDING_S),
            placements.outstanding_s,
        )

    def totals(self) -> Totals:
        """Return the totals since the start of the process."""
        results: dict[tuple[str, result_codes.ResultCode], int] = {}
        decisions: dict[str, int] = {}
        buckets: dict[str, list[int]] = {}
        sums_s: dict[str, float] = {}
        placements: dict[str, PlacementTotals] = {}
        for key, count in self._counters.totals().items():
            if isinstance(key, _ResultKey):
                results[key.request, key.code] = int(count)
            elif isinstance(key, _DecisionKey):
                decisions[key.kind] = int(count)
            elif isinstance(key, _LatencySumKey):
                sums_s[key.request] = count
            elif isinstance(key, _PlacementKey):
                placed = placements.setdefault(key.policy, PlacementTotals())
                if key.quantity is _PlacementQuantity.SENDS:
                    placed.sends = int(count)
                elif key.quantity is _PlacementQuantity.EXPECTED_S:
                    placed.expected_s = count
                else:
                    placed.outstanding_s = count
            else:
                empty = [0] * (len(LATENCY_BOUNDS_S) + 1)
                counts = buckets.setdefault(key.request, empty)
                counts[key.bucket] = int(count)
        latencies = {
            request: LatencyHistogram(tuple(counts), sums_s.get(request, 0.0))
            for request, counts in buckets.items()
        }
        return Totals(results, decisions, latencies, placements)
