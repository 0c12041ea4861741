"""corianderport_tier.process.snapshot_availability

Tracks which snapshots the searchers of a service have released.
"""

import threading

import attrs

from corianderport_tier import clocks

__all__ = ['ServiceSnapshot', 'SnapshotAvailability']

# A searcher that is still loading a snapshot holds it a few seconds later, so
# reports expire.
_REPORT_LIFETIME_S = 5.0


@attrs.frozen
class ServiceSnapshot:
    """A snapshot of an index at one service."""

    index: str
    service: str
    snapshot: int


class SnapshotAvailability:
    """Unexpired reports of released snapshots, shared by all searches."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._reported_s: dict[ServiceSnapshot, float] = {}

    def report_gone(self, gone: frozenset[ServiceSnapshot]) -> None:
        """Record snapshots that no searcher of the service held."""
        now_s = self._clock.monotonic()
        with self._lock:
            for item in gone:
                self._reported_s[item] = now_s

    def gone(self) -> frozenset[ServiceSnapshot]:
        """Return the snapshots whose reports have not expired."""
        oldest_s = self._clock.monotonic() - _REPORT_LIFETIME_S
        with self._lock:
            expired = [
                item for item, at in self._reported_s.items() if at < oldest_s
            ]
            for item in expired:
                del self._reported_s[item]
            return frozenset(self._reported_s)
