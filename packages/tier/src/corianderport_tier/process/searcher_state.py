"""corianderport_tier.process.searcher_state

Load, latency and health of one searcher, as observed by this host.
"""

import math
import typing

import attrs

from corianderport_tier.connection import pool
from corianderport_tier.process import stated_availability
from corianderport_tier.process import warm_up
from corianderport_tier.version import registrations

__all__ = [
    'MIN_LATENCY_HALF_LIFE_S',
    'SearcherState',
    'SendPool',
    'SendResult',
]

# Weights of the moving average of a searcher's relative latency. One slow
# reply raises it immediately; it decays, so that the searcher is tried again.
_RISE_WEIGHT = 0.5
_FALL_WEIGHT = 0.2
MIN_LATENCY_HALF_LIFE_S = 1.5
_MAX_RELATIVE_LATENCY = 40.0
_FAILURE_WEIGHT = 0.2
# A searcher that refuses or fails every second request costs as much as one
# with four more requests in flight.
_FAILURE_COST = 8.0
_FAILURES_TO_BACK_OFF = 3
_INITIAL_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0
# Backoff after a refusal by a full searcher, which has a free slot again after
# about one request.
_FULL_BACKOFF_S = 0.02
# A pending request counts as slow once it has taken this many times the
# median latency of its route.
_OVERDUE_RATIO = 2.0
# Cost factor of searchers in other data centres: a local searcher is
# preferred unless it is busier or slower by this factor.
_OTHER_DATA_CENTRE_COST = 1.6


class SendPool(typing.Protocol):
    """Connection pool of one searcher."""

    def submit(
        self, job: typing.Any, reuse: pool.Reuse = pool.ANY_CONNECTION
    ) -> None:
        """Run a job on a permitted idle connection or on a new one."""

    def limit_connections(self, limit: int) -> None:
        """Change the maximum number of open connections."""

    def limit_idle_time(self, idle_s: float) -> None:
        """Change the time after which an idle connection is closed."""

    def close(self) -> None:
        """Close idle connections now and busy ones after use."""


@attrs.frozen
class SendResult:
    """Result of one send.

    ``full`` is True if the searcher refused the request; ``elapsed_s`` is
    None if the send is no measure of the latency; ``median_s`` is the median
    latency of the route. ``leaving`` and ``pause_s`` are what the searcher
    stated; see ``stated_availability``.
    """

    failed: bool
    answered: bool = False
    unreachable: bool = False
    full: bool = False
    elapsed_s: float | None = None
    median_s: float = 0.0
    leaving: bool = False
    pause_s: float = 0.0


class SearcherState:
    """State of one instance of a searcher; guarded by its service's lock.

    :param availability: what the searcher's lifetime has stated.
    """

    def __init__(
        self,
        registration: registrations.Registration,
        pool: SendPool,
        availability: stated_availability.StatedAvailability,
    ) -> None:
        self.registration = registration
        self.pool = pool
        self.availability = availability
        self.warm_up = warm_up.WarmUp()
        # Maximum number of connections from this host; 0 if the searcher is
        # left to other hosts.
        self.connections = 0
        # Half-life of what is known of the searcher's latency, in seconds.
        self.latency_half_life_s = MIN_LATENCY_HALF_LIFE_S
        self.in_flight = 0
        # Cost factors; see ``placement.Searcher``.
        self.failure_factor = 1.0
        self.distance_factor = 1.0
        self._relative_latency = 1.0
        self._relative_latency_at_s = float('-inf')
        self._failure_rate = 0.0
        self._failures = 0
        self._retry_at_s = float('-inf')
        self._pending: dict[int, tuple[float, float]] = {}

    @property
    def name(self) -> str:
        """The searcher's name."""
        return self.registration.searcher

    @property
    def has_capacity(self) -> bool:
        """Whether a connection is available for one more request."""
        return self.in_flight < max(1, self.connections)

    @property
    def retry_at_s(self) -> float:
        """End of the backoff; no request is sent before it."""
        return self._retry_at_s

    @property
    def available_at_s(self) -> float:
        """End of the backoff and of the pause that the searcher asked for."""
        return max(self._retry_at_s, self.availability.paused_until_s)

    def may_receive(self, now_s: float) -> bool:
        """Whether neither a statement nor a backoff forbids requests."""
        return self._retry_at_s <= now_s and self.availability.permits_request(
            now_s
        )

    def set_registration(
        self, registration: registrations.Registration, own_data_centre: str
    ) -> None:
        """Replace the registration of the instance."""
        self.registration = registration
        local = registration.data_centre == own_data_centre
        self.distance_factor = 1.0 if local else _OTHER_DATA_CENTRE_COST

    def relative_latency(self, now_s: float) -> float:
        """Return the latency relative to the median of the route.

        It includes that of a pending request which is overdue.
        """
        return max(self._decayed_latency(now_s), self._overdue(now_s))

    def start(self, key: int, now_s: float, median_s: float) -> None:
        """Record the start of a send."""
        self.in_flight += 1
        self._pending[key] = (now_s, median_s)
        self.warm_up.record_send(now_s)

    def finish(self, key: int, result: SendResult, now_s: float) -> None:
        """Record the end of a send."""
        self.in_flight -= 1
        self._pending.pop(key, None)
        if result.leaving or result.pause_s > 0:
            self.availability.record(result.leaving, result.pause_s, now_s)
        if result.elapsed_s is not None and result.median_s > 0:
            self._record_latency(result.elapsed_s / result.median_s, now_s)
        if result.full:
            self._retry_at_s = max(self._retry_at_s, now_s + _FULL_BACKOFF_S)
        if result.failed or result.full:
            self._set_failure_rate(
                self._failure_rate + _FAILURE_WEIGHT * (1 - self._failure_rate)
            )
        if result.failed:
            self._failures += 1
            if result.unreachable or self._failures >= _FAILURES_TO_BACK_OFF:
                self._back_off(now_s)
        elif result.answered:
            self._failures = 0
            self._set_failure_rate(
                self._failure_rate - _FAILURE_WEIGHT * self._failure_rate
            )

    def _set_failure_rate(self, rate: float) -> None:
        self._failure_rate = rate
        self.failure_factor = 1 + _FAILURE_COST * rate

    def _back_off(self, now_s: float) -> None:
        backoff_s = _INITIAL_BACKOFF_S * 2.0 ** min(self._failures - 1, 10)
        self._retry_at_s = now_s + min(_MAX_BACKOFF_S, backoff_s)

    def _record_latency(self, ratio: float, now_s: float) -> None:
        relative = self._decayed_latency(now_s)
        ratio = min(ratio, _MAX_RELATIVE_LATENCY)
        rising = ratio > relative
        weight = _RISE_WEIGHT if rising else _FALL_WEIGHT
        self._relative_latency = relative + weight * (ratio - relative)
        self._relative_latency_at_s = now_s

    def _decayed_latency(self, now_s: float) -> float:
        # Without the decay, a searcher that was slow once would never be
        # chosen again.
        age_s = now_s - self._relative_latency_at_s
        return 1.0 + (self._relative_latency - 1.0) * math.exp2(
            -age_s / self.latency_half_life_s
        )

    def _overdue(self, now_s: float) -> float:
        worst = 0.0
        for started_s, median_s in self._pending.values():
            if median_s > 0:
                worst = max(worst, (now_s - started_s) / median_s)
        return worst if worst >= _OVERDUE_RATIO else 0.0
