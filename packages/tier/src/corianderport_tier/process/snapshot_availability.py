"""corianderport_tier.process.snapshot_availability

Remembers which snapshots the searchers of a service have released.
"""

import threading

import attrs

from corianderport_tier import clocks

__all__ = ['ServiceSnapshot', 'SnapshotAvailability']

# A searcher that loads a snapshot late holds it after some seconds, so a
# report is trusted only for a while.
_TRUST_S = 5.0


@attrs.frozen
class ServiceSnapshot:
    """One snapshot of an index at one service."""

    index: str
    service: str
    snapshot: int


class SnapshotAvailability:
    """Reports of released snapshots, shared by all searches of a host."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._reported_s: dict[ServiceSnapshot, float] = {}

    def report_gone(self, gone: frozenset[ServiceSnapshot]) -> None:
        """Note that no searcher of these services held the snapshot."""
        now_s = self._clock.monotonic()
        with self._lock:
            for item in gone:
                self._reported_s[item] = now_s

    def gone(self) -> frozenset[ServiceSnapshot]:
        """Return the reports that are still trusted."""
        oldest_s = self._clock.monotonic() - _TRUST_S
        with self._lock:
            expired = [
                item for item, at in self._reported_s.items() if at < oldest_s
            ]
            for item in expired:
                del self._reported_s[item]
            return frozenset(self._reported_s)
