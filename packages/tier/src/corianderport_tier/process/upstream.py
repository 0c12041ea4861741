"""corianderport_tier.process.upstream

Load, concurrency limit, latency and health of one searcher.
"""

import collections.abc
import random

import attrs

from corianderport_tier.process import health
from corianderport_tier.process import latency
from corianderport_tier.process import limits
from corianderport_tier.process import outcomes
from corianderport_tier.process import slow_start
from corianderport_tier.version import configuration

__all__ = ['LatencyBaseline', 'Upstream']

_SLOW_FACTOR = 4.0
# Scheduling delays in this process must not be mistaken for a slow searcher.
_SLOW_MARGIN_S = 0.005
_SLOW_TO_RESET = 2
_SLOW_TO_PROBATION = 3
_IDLE_RESET_S = 30.0
# For this long after a restart, a searcher is left to the host that warms it
# up; the warm-up takes at least one second at the lowest limit.
_RESTART_WINDOW_S = 3.0
_SAMPLES_TO_COMPARE = 5
# Attempts are hedged after a high quantile of the latency, so several in a
# row are unlikely to be superseded by chance.
_SUPERSEDED_TO_PROBATION = 4


@attrs.frozen
class LatencyBaseline:
    """Latency that a searcher is compared with, from its replicas.

    ``median_s`` is the median latency of the comparable ones in seconds, None
    if there are none; ``probation_allowed`` is False if too many replicas
    are on probation.
    """

    median_s: float | None = None
    probation_allowed: bool = False

    @classmethod
    def of(
        cls,
        upstream: 'Upstream',
        replicas: collections.abc.Collection['Upstream'],
    ) -> 'LatencyBaseline':
        """Return the current baseline for one of the replicas."""
        # Include the last reply besides the average: a pause of this host
        # delays the replies of all searchers at once.
        latencies = sorted(
            max(u.latency.recent_s, u.latency.last_s)
            for u in replicas
            if u is not upstream and u.comparable
        )
        if not latencies:
            return cls()
        # If most searchers are slow, none of them is an outlier.
        on_probation = sum(
            not u.health.normal for u in replicas if u is not upstream
        )
        return cls(
            median_s=latencies[len(latencies) // 2],
            probation_allowed=on_probation + 1 <= len(replicas) // 2,
        )


class Upstream:
    """State of one searcher; guarded by its ``ServiceUpstreams`` lock."""

    def __init__(
        self, searcher: configuration.Searcher, rng: random.Random
    ) -> None:
        self.searcher = searcher
        self.slow_start = slow_start.SlowStart(slow_start.LOWEST_LIMIT)
        self.health = health.Health(rng)
        self.occupancy = limits.Occupancy()
        self.latency = latency.LatencyAverage()
        self._expected_s = 0.0
        self._permitted = True
        self._started_s: float | None = None
        self._restarted_s = float('-inf')
        self._slow_streak = 0
        self._lost_streak = 0
        self._superseded_streak = 0

    @property
    def name(self) -> str:
        """Name of the searcher."""
        return self.searcher.name

    @property
    def in_flight(self) -> int:
        """Number of requests awaiting a reply."""
        return self.occupancy.in_flight

    @property
    def latency_s(self) -> float:
        """Expected latency in seconds, as of the last update."""
        return self._expected_s

    @property
    def limit(self) -> int:
        """Maximum number of concurrent requests at the searcher now."""
        return self.slow_start.limit

    @property
    def comparable(self) -> bool:
        """Whether other searchers may be compared with this one."""
        return (
            self.health.normal and self.latency.samples >= _SAMPLES_TO_COMPARE
        )

    def has_address_of(self, searcher: configuration.Searcher) -> bool:
        """Whether the searcher has the same address."""
        return self.searcher.address == searcher.address

    def update(
        self,
        searcher: configuration.Searcher,
        slots: int,
        permitted: bool,
        now_s: float,
    ) -> None:
        """Apply a new version of the configuration.

        :param permitted: whether the searcher and its data centre are in
            service.
        """
        self.searcher = searcher
        self.slow_start.slots = slots
        if permitted and not self._permitted:
            self.slow_start.start_over()
            self.record_possible_restart(now_s)
        self._permitted = permitted

    def record_possible_restart(self, now_s: float) -> None:
        """Record that the searcher may have been restarted just now."""
        self._restarted_s = now_s

    def may_have_restarted(self, now_s: float) -> bool:
        """Whether the searcher may have been restarted recently."""
        return (
            now_s - self._restarted_s < _RESTART_WINDOW_S
            and self.limit == slow_start.LOWEST_LIMIT
        )

    def restart_confirmed(self, now_s: float) -> bool:
        """Whether a reply has confirmed a recent restart."""
        return (
            self.may_have_restarted(now_s)
            and not self.slow_start.restart_suspected
        )

    def load(self, now_s: float) -> int:
        """Return the number of requests that may be running there."""
        return self.occupancy.total(now_s, self.slow_start.lowest)

    def has_capacity(self, now_s: float) -> bool:
        """Whether one more request may be sent."""
        return self.load(now_s) < self.limit

    def free_after_replies(self, now_s: float) -> bool:
        """Whether the replies in flight will leave room for a request."""
        return self.load(now_s) - self.in_flight < self.limit

    def can_accept_request(self, now_s: float) -> bool:
        """Whether a regular request may be sent."""
        self._start_over_when_idle(now_s)
        return self.health.normal and self.has_capacity(now_s)

    def refresh_expected_latency(self, now_s: float) -> None:
        """Update the expected latency before a choice."""
        self._expected_s = self.latency.expected_s(now_s)

    def can_accept_probe(self, now_s: float) -> bool:
        """Whether a probe may be sent; no other request may be running."""
        return self.health.probe_due(now_s) and self.load(now_s) == 0

    def next_change_s(self, now_s: float) -> float | None:
        """Return when capacity may appear without a reply; None if never."""
        change_times_s = (
            self.health.retry_at_s,
            self.occupancy.next_expiry_s(now_s),
        )
        later = [t for t in change_times_s if t is not None and t > now_s]
        return min(later, default=None)

    def start(self, now_s: float) -> None:
        """Record a request that is about to be sent."""
        self._started_s = now_s
        if not self.health.normal:
            self.health.start_probe()
        self.occupancy.start()

    def finish(
        self,
        outcome: outcomes.Outcome,
        baseline: LatencyBaseline,
        now_s: float,
    ) -> None:
        """Record the end of a request."""
        if outcome.kind.may_be_running:
            self.occupancy.abandon(outcome.attempt_id, outcome.until_s)
        else:
            self.occupancy.finish()
        previous_incarnation = self.slow_start.incarnation
        if self.slow_start.observe_incarnation(outcome.incarnation):
            self._slow_streak = self._lost_streak = 0
            # The first reply does not show when the searcher was started.
            self._restarted_s = (
                now_s if previous_incarnation else float('-inf')
            )
        _HANDLERS[outcome.kind](self, outcome, baseline, now_s)

    def on_superseded(self, baseline: LatencyBaseline, now_s: float) -> None:
        """Record an attempt whose hedge was answered first.

        A searcher that stops cancelled requests promptly never shows high
        latency, because its slow requests are the ones that are cancelled.
        """
        self._superseded_streak += 1
        if (
            baseline.probation_allowed
            and self._superseded_streak >= _SUPERSEDED_TO_PROBATION
        ):
            self._superseded_streak = 0
            self.slow_start.start_over()
            self.health.on_slow(now_s)

    def _start_over_when_idle(self, now_s: float) -> None:
        # The searcher may have been restarted in the meantime.
        if (
            self._started_s is not None
            and now_s - self._started_s > _IDLE_RESET_S
        ):
            self._started_s = None
            self.record_possible_restart(now_s)
            self.slow_start.start_over()

    def _on_answered(
        self,
        outcome: outcomes.Outcome,
        baseline: LatencyBaseline,
        now_s: float,
    ) -> None:
        if self._is_slow(outcome.elapsed_s, baseline):
            self.latency.record(outcome.elapsed_s, now_s)
            self._on_slow(baseline, now_s)
            return
        self._slow_streak = self._lost_streak = 0
        if not outcome.superseded:
            self._superseded_streak = 0
        if self.health.on_success(now_s):
            # The average from before the probation would keep the
            # searcher from being chosen.
            self.latency = latency.LatencyAverage()
            self.slow_start.start_over()
        self.latency.record(outcome.elapsed_s, now_s)
        self.slow_start.on_success(now_s)

    def _on_shed(
        self,
        outcome: outcomes.Outcome,
        baseline: LatencyBaseline,
        now_s: float,
    ) -> None:
        if self.slow_start.lowest:
            self.health.on_failure(now_s)
        else:
            self.health.end_probe()
        self.slow_start.on_shed(now_s)

    def _on_draining(
        self,
        outcome: outcomes.Outcome,
        baseline: LatencyBaseline,
        now_s: float,
    ) -> None:
        self.health.on_draining(now_s)
        self.slow_start.start_over()

    def _on_unreachable(
        self,
        outcome: outcomes.Outcome,
        baseline: LatencyBaseline,
        now_s: float,
    ) -> None:
        self.health.on_failure(now_s)
        self._on_possible_restart(now_s)

    def _on_broken(
        self,
        outcome: outcomes.Outcome,
        baseline: LatencyBaseline,
        now_s: float,
    ) -> None:
        self._on_possible_restart(now_s)
        self._on_lost(outcome, baseline, now_s)

    def _on_possible_restart(self, now_s: float) -> None:
        if not self.slow_start.restart_suspected:
            self.record_possible_restart(now_s)
        self.slow_start.suspect_restart()

    def _on_lost(
        self,
        outcome: outcomes.Outcome,
        baseline: LatencyBaseline,
        now_s: float,
    ) -> None:
        # A connection that had worked may be half-open, which is not the
        # fault of the searcher.
        if outcome.fresh:
            self.health.on_failure(now_s)
        else:
            self.health.end_probe()
        if not self._is_slow(outcome.elapsed_s, baseline):
            return
        # Half-open connections can delay as many requests as there are
        # slots before the pool closes the others.
        self._lost_streak += 1
        if self._lost_streak > self.slow_start.slots:
            self.slow_start.start_over()
            if baseline.probation_allowed:
                self.health.on_slow(now_s)

    def _on_neutral(
        self,
        outcome: outcomes.Outcome,
        baseline: LatencyBaseline,
        now_s: float,
    ) -> None:
        self.health.end_probe()

    def _is_slow(self, elapsed_s: float, baseline: LatencyBaseline) -> bool:
        reference_s = baseline.median_s
        if reference_s is None:
            if self.latency.samples < _SAMPLES_TO_COMPARE:
                return False
            reference_s = self.latency.long_term_s
        return elapsed_s > _SLOW_FACTOR * reference_s + _SLOW_MARGIN_S

    def _on_slow(self, baseline: LatencyBaseline, now_s: float) -> None:
        self._slow_streak += 1
        if self._slow_streak >= _SLOW_TO_RESET:
            self.slow_start.start_over()
        else:
            self.slow_start.on_slow()
        if baseline.probation_allowed and (
            self._slow_streak >= _SLOW_TO_PROBATION or not self.health.normal
        ):
            self.health.on_slow(now_s)


_HANDLERS: dict[
    outcomes.OutcomeKind,
    collections.abc.Callable[
        [Upstream, outcomes.Outcome, LatencyBaseline, float], None
    ],
] = {
    outcomes.OutcomeKind.ANSWERED: Upstream._on_answered,
    outcomes.OutcomeKind.SHED: Upstream._on_shed,
    outcomes.OutcomeKind.DRAINING: Upstream._on_draining,
    outcomes.OutcomeKind.REFUSED: Upstream._on_neutral,
    outcomes.OutcomeKind.NOT_SENT: Upstream._on_neutral,
    outcomes.OutcomeKind.UNREACHABLE: Upstream._on_unreachable,
    outcomes.OutcomeKind.BROKEN: Upstream._on_broken,
    outcomes.OutcomeKind.SILENT: Upstream._on_lost,
}
