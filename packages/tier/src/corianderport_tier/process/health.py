"""corianderport_tier.process.health

Circuit breaker, drain and probation of one searcher.
"""

import enum
import random

import attrs

__all__ = ['Health', 'HealthState']

_FAILURES_TO_OPEN = 5
_PROBES_TO_RETURN = 2
_FIRST_HOLD_S = 1.0
_LONGEST_HOLD_S = 8.0
_NEXT_PROBE_S = 0.1


class HealthState(enum.Enum):
    """Why a searcher gets requests or only probes."""

    NORMAL = 'normal'
    SLOW = 'slow'
    FAILING = 'failing'
    DRAINING = 'draining'


@attrs.define
class Health:
    """Decides whether a searcher gets requests, probes or nothing.

    A searcher that is not normal gets nothing while it is on hold, and
    then one probe at a time. A failed probe doubles the hold.
    """

    _rng: random.Random
    _state: HealthState = HealthState.NORMAL
    _retry_at_s: float = 0.0
    _hold_s: float = _FIRST_HOLD_S
    _probing: bool = False
    _failures: int = 0
    _good_probes: int = 0

    @property
    def state(self) -> HealthState:
        """The present state."""
        return self._state

    @property
    def normal(self) -> bool:
        """Whether the searcher gets requests."""
        return self._state is HealthState.NORMAL

    @property
    def retry_at_s(self) -> float | None:
        """When the next probe is due; None when none is awaited."""
        return None if self.normal or self._probing else self._retry_at_s

    def probe_due(self, now_s: float) -> bool:
        """Whether a probe may be sent now."""
        return (
            not self.normal and not self._probing and now_s >= self._retry_at_s
        )

    def start_probe(self) -> None:
        """Count a probe; no other one is sent before it ends."""
        self._probing = True

    def on_success(self, now_s: float) -> bool:
        """Count a good answer; True when the searcher is normal again."""
        self._failures = 0
        if self.normal or not self._probing:
            return False
        self._probing = False
        self._good_probes += 1
        if self._good_probes < self._probes_needed():
            self._retry_at_s = now_s + _NEXT_PROBE_S
            return False
        self._state = HealthState.NORMAL
        self._hold_s = _FIRST_HOLD_S
        return True

    def on_failure(self, now_s: float) -> None:
        """Count a failure; several in a row open the circuit breaker."""
        self._failures += 1
        if not self.normal:
            self._hold(self._state, now_s)
        elif self._failures >= _FAILURES_TO_OPEN:
            self._hold(HealthState.FAILING, now_s)

    def on_draining(self, now_s: float) -> None:
        """Stop sending to a searcher that is leaving."""
        if self._state is not HealthState.DRAINING or self._probing:
            self._hold(HealthState.DRAINING, now_s)

    def on_slow(self, now_s: float) -> None:
        """Put a searcher on probation."""
        if self.normal or self._probing:
            self._hold(HealthState.SLOW, now_s)

    def end_probe(self) -> None:
        """Forget a probe that was not sent or told nothing."""
        self._probing = False

    def _probes_needed(self) -> int:
        # One fast answer of a straggler may be luck; an answer of a
        # failing or draining searcher is proof.
        return _PROBES_TO_RETURN if self._state is HealthState.SLOW else 1

    def _hold(self, state: HealthState, now_s: float) -> None:
        if self.normal:
            self._hold_s = _FIRST_HOLD_S
        elif self._probing:
            self._hold_s = min(_LONGEST_HOLD_S, 2 * self._hold_s)
        self._state = state
        self._probing = False
        self._good_probes = 0
        self._retry_at_s = now_s + self._hold_s * self._rng.uniform(0.8, 1.2)
