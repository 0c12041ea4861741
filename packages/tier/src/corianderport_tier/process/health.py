"""corianderport_tier.process.health

Circuit breaker, drain and probation state of one searcher.
"""

import enum
import random

import attrs

__all__ = ['Health', 'HealthState']

_FAILURES_TO_OPEN = 5
_PROBES_TO_RECOVER = 2
_INITIAL_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 8.0
_PROBE_INTERVAL_S = 0.1


class HealthState(enum.Enum):
    """Health of a searcher; only a normal one gets regular requests."""

    NORMAL = 'normal'
    SLOW = 'slow'
    FAILING = 'failing'
    DRAINING = 'draining'


@attrs.define
class Health:
    """Decides whether a searcher gets requests, probes or nothing.

    A searcher that is not normal gets nothing during a backoff, and then
    one probe at a time. A failed probe doubles the backoff.
    """

    _rng: random.Random
    _state: HealthState = HealthState.NORMAL
    _retry_at_s: float = 0.0
    _backoff_s: float = _INITIAL_BACKOFF_S
    _probing: bool = False
    _failures: int = 0
    _successful_probes: int = 0

    @property
    def state(self) -> HealthState:
        """The current state."""
        return self._state

    @property
    def normal(self) -> bool:
        """Whether the searcher gets regular requests."""
        return self._state is HealthState.NORMAL

    @property
    def retry_at_s(self) -> float | None:
        """Time of the next probe; None if normal or during a probe."""
        return None if self.normal or self._probing else self._retry_at_s

    def probe_due(self, now_s: float) -> bool:
        """Whether a probe may be sent now."""
        return (
            not self.normal and not self._probing and now_s >= self._retry_at_s
        )

    def start_probe(self) -> None:
        """Mark a probe as running; no other one is sent before it ends."""
        self._probing = True

    def on_success(self, now_s: float) -> bool:
        """Record a success; return whether the searcher has recovered."""
        self._failures = 0
        if self.normal or not self._probing:
            return False
        self._probing = False
        self._successful_probes += 1
        if self._successful_probes < self._probes_needed():
            self._retry_at_s = now_s + _PROBE_INTERVAL_S
            return False
        self._state = HealthState.NORMAL
        self._backoff_s = _INITIAL_BACKOFF_S
        return True

    def on_failure(self, now_s: float) -> None:
        """Record a failure; several in a row open the circuit breaker."""
        self._failures += 1
        if not self.normal:
            self._enter(self._state, now_s)
        elif self._failures >= _FAILURES_TO_OPEN:
            self._enter(HealthState.FAILING, now_s)

    def on_draining(self, now_s: float) -> None:
        """Stop sending regular requests to a draining searcher."""
        if self._state is not HealthState.DRAINING or self._probing:
            self._enter(HealthState.DRAINING, now_s)

    def on_slow(self, now_s: float) -> None:
        """Put a slow searcher on probation."""
        if self.normal or self._probing:
            self._enter(HealthState.SLOW, now_s)

    def end_probe(self) -> None:
        """Discard a probe that was not sent or was inconclusive."""
        self._probing = False

    def _probes_needed(self) -> int:
        # A single fast answer of a slow searcher may be a coincidence; any
        # answer of a failing or draining one proves that it is available.
        return _PROBES_TO_RECOVER if self._state is HealthState.SLOW else 1

    def _enter(self, state: HealthState, now_s: float) -> None:
        if self.normal:
            self._backoff_s = _INITIAL_BACKOFF_S
        elif self._probing:
            self._backoff_s = min(_MAX_BACKOFF_S, 2 * self._backoff_s)
        self._state = state
        self._probing = False
        self._successful_probes = 0
        self._retry_at_s = now_s + self._backoff_s * self._rng.uniform(
            0.8, 1.2
        )
