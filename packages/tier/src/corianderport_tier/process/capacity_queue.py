"""corianderport_tier.process.capacity_queue

Queue of the requests that wait for capacity at a service's searchers.
"""

import bisect
import collections.abc
import typing

import attrs

from corianderport_tier.request import deadlines
from corianderport_tier.version import configuration

if typing.TYPE_CHECKING:
    from corianderport_tier.process import upstreams

__all__ = ['CapacityQueue', 'CapacityWaiter', 'QueuedRequest']


class CapacityWaiter(typing.Protocol):
    """A request that waits for capacity at a searcher."""

    def capacity_granted(
        self, service: str, upstream: 'upstreams.Upstream | None'
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

    def add(self, entry: QueuedRequest) -> None:
        """Add a request after those with the same deadline."""
        self._entries.insert(self.ahead_of(entry.deadline), entry)

    def remove(self, entry: QueuedRequest) -> None:
        """Remove an entry; this is allowed during an iteration."""
        self._entries.remove(entry)

    def discard(self, waiter: CapacityWaiter) -> None:
        """Remove a request that has ended."""
        self._entries = [e for e in self._entries if e.waiter is not waiter]
