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
# Weights of the moving average of a searcher's excess, which is at most the
# expected run time for each reply. A single request of unexpected cost must
# count little: with the weights of the latency and without the bound, requests
# with a heavy tail of costs took 40% longer in the simulation.
_EXCESS_RISE_WEIGHT = 0.2
_EXCESS_FALL_WEIGHT = 0.5
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
# Ratio of the cost factors of the last and the first searcher of a service for
# expensive requests. In the simulation of 76 hosts with costs of 1:10, these
# took 15% longer with 3 than with 2 on average; with 1.6, the p99 of the cheap
# ones fell by less than half as much.
_SEPARATION = 2.0
# Latency and failures of a searcher that counts as slow, relative to the usual
# ones. Opening a connection to another searcher takes longer than a lesser
# delay.
_SLOW_FACTOR = 4.0

# Start, usual latency, expected run time and expected wait for other requests
# of this host, in seconds.
_Pending = tuple[float, float, float, float]
_NOT_PENDING: _Pending = (0.0, 0.0, 0.0, 0.0)


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

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""

    def close(self) -> None:
        """Close idle connections now and busy ones after use."""


@attrs.frozen
class SendResult:
    """Result of one send.

    ``full`` is True if the searcher refused the request; ``elapsed_s`` is
    None if the send is no measure of the latency; ``median_s`` is the usual
    latency of the request, as the placement policy defines it. ``leaving`` and
    ``pause_s`` are what the searcher stated; see ``stated_availability``.
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
        self.name = registration.searcher
        self.pool = pool
        self.availability = availability
        self.warm_up = warm_up.WarmUp()
        # Maximum number of connections from this host; 0 if the searcher is
        # left to other hosts.
        self.connections = 0
        # Half-life of what is known of the searcher's latency, in seconds.
        self.latency_half_life_s = MIN_LATENCY_HALF_LIFE_S
        self.in_flight = 0
        # Properties for the placement; see ``placement.Searcher``.
        self.slots = float(registration.slots)
        self.separation = 1.0
        self.failure_factor = 1.0
        self.distance_factor = 1.0
        self._relative_latency = 1.0
        self._relative_latency_at_s = float('-inf')
        self._failure_rate = 0.0
        self._failures = 0
        self._retry_at_s = float('-inf')
        # Expected cost of the requests in flight, in seconds.
        self._in_flight_s = 0.0
        # Wait for the requests of other hosts, as in the latest replies.
        self._excess_s = 0.0
        self._pending: dict[int, _Pending] = {}

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
        self,
        registration: registrations.Registration,
        own_data_centre: str,
        hosts: int,
    ) -> None:
        """Replace the registration of the instance.

        :param hosts: number of hosts that may be sending.
        """
        self.registration = registration
        self.slots = max(1.0, registration.slots / hosts)
        local = registration.data_centre == own_data_centre
        self.distance_factor = 1.0 if local else _OTHER_DATA_CENTRE_COST

    def set_position(self, position: int, searchers: int) -> None:
        """Set the position in the order of the service's searchers."""
        # From -0.5 to 0.5; 0 for a single searcher.
        relative = position / (searchers - 1) - 0.5 if searchers > 1 else 0.0
        self.separation = _SEPARATION**relative

    def relative_latency(self, now_s: float) -> float:
        """Return the latency relative to the usual one of the requests.

        It includes that of a pending request which is overdue.
        """
        return max(self._decayed_latency(now_s), self._overdue(now_s))

    def is_slow(self, now_s: float) -> bool:
        """Whether a searcher that is left to other hosts may be better."""
        factor = self.relative_latency(now_s) * self.failure_factor
        return factor >= _SLOW_FACTOR

    def outstanding_s(self, now_s: float) -> float:
        """Return the work that the searcher still has to do, in seconds."""
        if not self._excess_s:
            return self._in_flight_s
        return (
            self._in_flight_s
            + self._excess_s * self.slots * self._latency_decay(now_s)
        )

    def reply_age_s(self, now_s: float) -> float | None:
        """Return the seconds since the latest reply, None without any."""
        age_s = now_s - self._relative_latency_at_s
        return None if math.isinf(age_s) else age_s

    def start(
        self, key: int, now_s: float, median_s: float, expected_s: float
    ) -> None:
        """Record the start of a send.

        :param median_s: usual latency of the request in seconds.
        :param expected_s: expected run time of the request in seconds.
        """
        self.in_flight += 1
        wait_s = self._in_flight_s / self.slots
        self._pending[key] = (now_s, median_s, expected_s, wait_s)
        self._in_flight_s += expected_s
        self.warm_up.record_send(now_s)

    def finish(self, key: int, result: SendResult, now_s: float) -> None:
        """Record the end of a send."""
        self.in_flight -= 1
        expected_s, wait_s = self._pending.pop(key, _NOT_PENDING)[2:]
        # Without the reset, rounding errors would add up.
        self._in_flight_s = (
            self._in_flight_s - expected_s if self._pending else 0.0
        )
        if result.leaving or result.pause_s > 0:
            self.availability.record(result.leaving, result.pause_s, now_s)
        if result.elapsed_s is not None and result.median_s > 0:
            self._record_latency(
                result.elapsed_s / result.median_s,
                min(expected_s, result.elapsed_s - expected_s - wait_s),
                now_s,
            )
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

    def _record_latency(
        self, ratio: float, excess_s: float, now_s: float
    ) -> None:
        decay = self._latency_decay(now_s)
        relative = 1.0 + (self._relative_latency - 1.0) * decay
        ratio = min(ratio, _MAX_RELATIVE_LATENCY)
        rising = ratio > relative
        weight = _RISE_WEIGHT if rising else _FALL_WEIGHT
        self._relative_latency = relative + weight * (ratio - relative)
        self._relative_latency_at_s = now_s
        previous_s = self._excess_s * decay
        rising = excess_s > previous_s
        weight = _EXCESS_RISE_WEIGHT if rising else _EXCESS_FALL_WEIGHT
        self._excess_s = previous_s + weight * (
            max(0.0, excess_s) - previous_s
        )

    def _decayed_latency(self, now_s: float) -> float:
        return 1.0 + (self._relative_latency - 1.0) * self._latency_decay(
            now_s
        )

    def _latency_decay(self, now_s: float) -> float:
        # Without the decay, a searcher that was slow once would never be
        # chosen again.
        age_s = now_s - self._relative_latency_at_s
        return math.exp2(-age_s / self.latency_half_life_s)

    def _overdue(self, now_s: float) -> float:
        worst = 0.0
        for started_s, median_s, _, _ in self._pending.values():
            if median_s > 0:
                worst = max(worst, (now_s - started_s) / median_s)
        return worst if worst >= _OVERDUE_RATIO else 0.0
