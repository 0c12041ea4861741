"""corianderport_tier.process.capacity_queue

Queue of the requests that wait for capacity at a service's searchers.
"""

import bisect
import collections.abc
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import upstream as upstream_module
from corianderport_tier.request import deadlines
from corianderport_tier.version import configuration

__all__ = ['CapacityQueue', 'CapacityWaiter', 'QueuedRequest']

_WAITERS_PER_SLOT = 32

Upstream = upstream_module.Upstream


class CapacityWaiter(typing.Protocol):
    """A request that waits for capacity at a searcher."""

    def capacity_granted(
        self, service: str, upstream: Upstream | None
    ) -> bool:
        """Accept capacity at a searcher that already counts the request.

        :param upstream: None if the request can no longer finish in time.
        :return: False if the request has ended and must not be counted.
        """


@attrs.frozen
class QueuedRequest:
    """A waiting request and the searchers that it may use."""

    waiter: CapacityWaiter
    deadline: deadlines.Deadline
    allowed: collections.abc.Callable[[configuration.Searcher], bool]
    excluded: frozenset[str] = frozenset()


class CapacityQueue:
    """Waiting requests ordered by deadline."""

    def __init__(self) -> None:
        self._entries: list[QueuedRequest] = []

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> collections.abc.Iterator[QueuedRequest]:
        return iter(tuple(self._entries))

    def ahead_of(self, deadline: deadlines.Deadline) -> int:
        """Return how many requests have this deadline or an earlier one."""
        return bisect.bisect_right(
            self._entries, deadline, key=lambda e: e.deadline
        )

    def check(
        self,
        entry: QueuedRequest,
        eligible: collections.abc.Sequence[Upstream],
        median_s: float,
        clock: clocks.Clock,
    ) -> None:
        """Check that a request can be served by its deadline.

        :param eligible: the searchers that it may wait for.
        :param median_s: median latency of the service in seconds.
        :raises NoUpstream: every searcher backs off until after the deadline.
        :raises Overloaded: the requests ahead take too long.
        """
        _check_backoff_ends_in_time(entry, eligible)
        slots = sum(u.limit for u in eligible if u.health.normal) or 1
        if len(self._entries) >= _WAITERS_PER_SLOT * slots:
            raise errors.Overloaded(
                'too many requests are waiting for the service'
            )
        turns = (self.ahead_of(entry.deadline) + 1) / slots
        needed_s = (turns + 1) * median_s
        if needed_s >= entry.deadline.remaining(clock):
            raise errors.Overloaded(
                f'needs {needed_s * 1e3:.0f} ms, more than the deadline allows'
            )

    def add(self, entry: QueuedRequest) -> None:
        """Add a request after those with the same deadline."""
        self._entries.insert(self.ahead_of(entry.deadline), entry)

    def remove(self, entry: QueuedRequest) -> None:
        """Remove an entry; this is allowed during an iteration."""
        self._entries.remove(entry)

    def discard(self, waiter: CapacityWaiter) -> None:
        """Remove a request that has ended."""
        self._entries = [e for e in self._entries if e.waiter is not waiter]


def _check_backoff_ends_in_time(
    entry: QueuedRequest, eligible: collections.abc.Sequence[Upstream]
) -> None:
    retry_times_s = [
        u.health.retry_at_s for u in eligible if not u.health.normal
    ]
    if len(retry_times_s) < len(eligible):
        return
    # None marks a searcher with a running probe.
    first_retry_s = min(
        (at_s for at_s in retry_times_s if at_s is not None), default=None
    )
    if first_retry_s is not None and first_retry_s >= entry.deadline.at_s:
        raise errors.NoUpstream(
            'every searcher is backing off until after the deadline'
        )
