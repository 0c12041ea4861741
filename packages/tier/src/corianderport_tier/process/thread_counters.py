"""corianderport_tier.process.thread_counters

Counters that tasks increase without waiting for each other.
"""

import collections
import threading
import typing

__all__ = ['ThreadCounters']

K = typing.TypeVar('K')


class ThreadCounters(typing.Generic[K]):
    """Counters for each thread, which are summed when they are read.

    Counting does not contend for a shared lock.
    """

    def __init__(self) -> None:
        self._local = threading.local()
        self._lock = threading.Lock()
        self._threads: list[dict[K, float]] = []

    def add(self, key: K, amount: float = 1) -> None:
        """Add to a counter of the calling thread."""
        counts = self.own()
        counts[key] = counts.get(key, 0) + amount

    def own(self) -> dict[K, float]:
        """Return the counters of the calling thread, which only it changes."""
        counts: dict[K, float] | None
        counts = getattr(self._local, 'counts', None)
        if counts is None:
            counts = {}
            self._local.counts = counts
            with self._lock:
                self._threads.append(counts)
        return counts

    def totals(self) -> dict[K, float]:
        """Return the sums over all threads."""
        with self._lock:
            threads = list(self._threads)
        total: collections.Counter[K] = collections.Counter()
        for counts in threads:
            total.update(counts.copy())
        return dict(total)
