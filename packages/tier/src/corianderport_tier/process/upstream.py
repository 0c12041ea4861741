"""corianderport_tier.process.upstream

Load, limit, latency and health of one searcher.
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

__all__ = ['Peers', 'Upstream']

_SLOW_FACTOR = 4.0
# Scheduling noise of the own process must not look like a slow searcher.
_SLOW_MARGIN_S = 0.005
_SLOW_TO_COOL = 2
_SLOW_TO_PROBATION = 3
_UNUSED_S = 30.0
# A searcher that was restarted is left to the host that warms it up for
# this long; warming takes at least one second at the lowest limit.
_WARMING_S = 3.0
_SAMPLES_TO_COMPARE = 5
# Attempts are hedged after a high quantile of the latency, so that a few
# in a row are unlikely to be superseded by chance.
_SUPERSEDED_TO_PROBATION = 4


@attrs.frozen
class Peers:
    """What a searcher is measured against.

    ``usual_s`` is the latency of its replicas in seconds, None when it is
    unknown; ``may_hold`` is False when too many of them are on probation.
    """

    usual_s: float | None = None
    may_hold: bool = False

    @classmethod
    def of(
        cls,
        upstream: 'Upstream',
        replicas: collections.abc.Collection['Upstream'],
    ) -> 'Peers':
        """Return what one of the replicas is measured against now."""
        # The last answer counts as well as the average: a pause of this
        # host delays the answers of all searchers at once.
        latencies = sorted(
            max(u.latency.recent_s, u.latency.last_s)
            for u in replicas
            if u is not upstream and u.comparable
        )
        if not latencies:
            return cls()
        # Where most searchers are slow, none is a straggler.
        held = sum(not u.health.normal for u in replicas if u is not upstream)
        return cls(
            usual_s=latencies[len(latencies) // 2],
            may_hold=held + 1 <= len(replicas) // 2,
        )


class Upstream:
    """One searcher; guarded by the lock of its ``ServiceUpstreams``."""

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
        """Requests whose answer is awaited."""
        return self.occupancy.in_flight

    @property
    def latency_s(self) -> float:
        """Latency to expect, seconds; as of the last choice."""
        return self._expected_s

    @property
    def limit(self) -> int:
        """How many requests may be at the searcher now."""
        return self.slow_start.limit

    @property
    def comparable(self) -> bool:
        """Whether other searchers are measured against this one."""
        return (
            self.health.normal and self.latency.samples >= _SAMPLES_TO_COMPARE
        )

    def is_at(self, searcher: configuration.Searcher) -> bool:
        """Whether the state is that of a searcher's address."""
        return self.searcher.address == searcher.address

    def update(
        self,
        searcher: configuration.Searcher,
        slots: int,
        permitted: bool,
        now_s: float,
    ) -> None:
        """Take over a new version of the configuration.

        :param permitted: whether it and its data centre are in service.
        """
        self.searcher = searcher
        self.slow_start.slots = slots
        if permitted and not self._permitted:
            self.slow_start.start_over()
            self.note_restart(now_s)
        self._permitted = permitted

    def note_restart(self, now_s: float) -> None:
        """Learn that the searcher may have been started just now."""
        self._restarted_s = now_s

    def restarted(self, now_s: float) -> bool:
        """Whether the searcher may have been started just now."""
        return (
            now_s - self._restarted_s < _WARMING_S
            and self.limit == slow_start.LOWEST_LIMIT
        )

    def warming(self, now_s: float) -> bool:
        """Whether a reply has shown that the searcher was restarted."""
        return self.restarted(now_s) and not self.slow_start.suspected

    def load(self, now_s: float) -> int:
        """Return how many requests may be running at the searcher."""
        return self.occupancy.total(now_s, self.slow_start.lowest)

    def has_capacity(self, now_s: float) -> bool:
        """Whether one more request may be sent."""
        return self.load(now_s) < self.limit

    def ready(self, now_s: float) -> bool:
        """Whether an ordinary request may be sent."""
        self._start_over_when_unused(now_s)
        return self.health.normal and self.has_capacity(now_s)

    def refresh(self, now_s: float) -> None:
        """Bring the expected latency up to date before a choice."""
        self._expected_s = self.latency.expected_s(now_s)

    def probe_ready(self, now_s: float) -> bool:
        """Whether a probe may be sent, with nothing else running."""
        return self.health.probe_due(now_s) and self.load(now_s) == 0

    def next_change_s(self, now_s: float) -> float | None:
        """Return when room may appear without an answer; None if never."""
        points = (
            self.health.retry_at_s,
            self.occupancy.next_expiry_s(now_s),
        )
        later = [p for p in points if p is not None and p > now_s]
        return min(later, default=None)

    def start(self, now_s: float) -> None:
        """Count a request that is about to be sent."""
        self._started_s = now_s
        if not self.health.normal:
            self.health.start_probe()
        self.occupancy.start()

    def finish(
        self,
        outcome: outcomes.Outcome,
        peers: Peers,
        now_s: float,
    ) -> None:
        """Count the end of a request."""
        if outcome.kind.may_be_running:
            self.occupancy.abandon(outcome.attempt_id, outcome.until_s)
        else:
            self.occupancy.finish()
        known = self.slow_start.incarnation
        if self.slow_start.observe_incarnation(outcome.incarnation):
            self._slow_streak = self._lost_streak = 0
            # The first reply does not tell how long ago it was started.
            self._restarted_s = now_s if known else float('-inf')
        _HANDLERS[outcome.kind](self, outcome, peers, now_s)

    def on_superseded(self, peers: Peers, now_s: float) -> None:
        """Count an attempt whose hedge was answered first.

        A searcher that stops cancelled requests at once shows no high
        latency, because its slow requests are those that are cancelled.
        """
        self._superseded_streak += 1
        if (
            peers.may_hold
            and self._superseded_streak >= _SUPERSEDED_TO_PROBATION
        ):
            self._superseded_streak = 0
            self.slow_start.start_over()
            self.health.on_slow(now_s)

    def _start_over_when_unused(self, now_s: float) -> None:
        # It may have been restarted.
        if self._started_s is not None and now_s - self._started_s > _UNUSED_S:
            self._started_s = None
            self.note_restart(now_s)
            self.slow_start.start_over()

    def _on_answered(
        self, outcome: outcomes.Outcome, peers: Peers, now_s: float
    ) -> None:
        if self._is_slow(outcome.elapsed_s, peers):
            self.latency.record(outcome.elapsed_s, now_s)
            self._on_slow(peers, now_s)
            return
        self._slow_streak = self._lost_streak = 0
        if not outcome.superseded:
            self._superseded_streak = 0
        if self.health.on_success(now_s):
            # The average of the time before the probation would keep
            # requests away.
            self.latency = latency.LatencyAverage()
            self.slow_start.start_over()
        self.latency.record(outcome.elapsed_s, now_s)
        self.slow_start.on_success(now_s)

    def _on_shed(
        self, outcome: outcomes.Outcome, peers: Peers, now_s: float
    ) -> None:
        if self.slow_start.lowest:
            self.health.on_failure(now_s)
        else:
            self.health.end_probe()
        self.slow_start.on_shed(now_s)

    def _on_draining(
        self, outcome: outcomes.Outcome, peers: Peers, now_s: float
    ) -> None:
        self.health.on_draining(now_s)
        self.slow_start.start_over()

    def _on_unreachable(
        self, outcome: outcomes.Outcome, peers: Peers, now_s: float
    ) -> None:
        self.health.on_failure(now_s)
        self._on_suspected(now_s)

    def _on_broken(
        self, outcome: outcomes.Outcome, peers: Peers, now_s: float
    ) -> None:
        self._on_suspected(now_s)
        self._on_lost(outcome, peers, now_s)

    def _on_suspected(self, now_s: float) -> None:
        if not self.slow_start.suspected:
            self.note_restart(now_s)
        self.slow_start.suspect()

    def _on_lost(
        self, outcome: outcomes.Outcome, peers: Peers, now_s: float
    ) -> None:
        # A connection that had worked may be half-open, which is no fault
        # of the searcher.
        if outcome.fresh:
            self.health.on_failure(now_s)
        else:
            self.health.end_probe()
        if not self._is_slow(outcome.elapsed_s, peers):
            return
        # Half-open connections can delay as many requests as there are
        # slots before the pool closes the others.
        self._lost_streak += 1
        if self._lost_streak > self.slow_start.slots:
            self.slow_start.start_over()
            if peers.may_hold:
                self.health.on_slow(now_s)

    def _on_neutral(
        self, outcome: outcomes.Outcome, peers: Peers, now_s: float
    ) -> None:
        self.health.end_probe()

    def _is_slow(self, elapsed_s: float, peers: Peers) -> bool:
        reference_s = peers.usual_s
        if reference_s is None:
            if self.latency.samples < _SAMPLES_TO_COMPARE:
                return False
            reference_s = self.latency.long_term_s
        return elapsed_s > _SLOW_FACTOR * reference_s + _SLOW_MARGIN_S

    def _on_slow(self, peers: Peers, now_s: float) -> None:
        self._slow_streak += 1
        if self._slow_streak >= _SLOW_TO_COOL:
            self.slow_start.start_over()
        else:
            self.slow_start.on_slow()
        if peers.may_hold and (
            self._slow_streak >= _SLOW_TO_PROBATION or not self.health.normal
        ):
            self.health.on_slow(now_s)


_HANDLERS: dict[
    outcomes.OutcomeKind,
    collections.abc.Callable[[Upstream, outcomes.Outcome, Peers, float], None],
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
