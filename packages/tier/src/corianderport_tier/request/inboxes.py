"""corianderport_tier.request.inboxes

Thread-safe queue on which a request's task waits for results.
"""

import collections
import threading
import typing

from corianderport_tier import clocks
from corianderport_tier.request import deadlines

__all__ = ['Inbox']

T = typing.TypeVar('T')


class Inbox(typing.Generic[T]):
    """Results of one request, added by connection tasks."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._condition = threading.Condition()
        self._items: collections.deque[T] = collections.deque()
        self._closed = False

    def put(self, item: T) -> None:
        """Add an item and wake the request's task.

        The item is dropped if the inbox is closed.
        """
        self.offer(item)

    def offer(self, item: T) -> bool:
        """Add an item and wake the request's task.

        :return: False if the inbox is closed; the item is then dropped.
        """
        with self._condition:
            if self._closed:
                return False
            self._items.append(item)
            self._condition.notify()
            return True

    def close(self) -> tuple[T, ...]:
        """Reject further items and return those that were not taken."""
        with self._condition:
            self._closed = True
            untaken = tuple(self._items)
            self._items.clear()
            return untaken

    def take(self, until: deadlines.Deadline) -> T | None:
        """Wait for the next item.

        :return: the item, or None if ``until`` passed first.
        """
        with self._condition:
            return (
                self._items.popleft() if self._wait_for_item(until) else None
            )

    def take_all(self, until: deadlines.Deadline) -> tuple[T, ...]:
        """Wait for the next item and return all queued items.

        :return: the items in arrival order; empty if ``until`` passed first.
        """
        with self._condition:
            self._wait_for_item(until)
            items = tuple(self._items)
            self._items.clear()
            return items

    def _wait_for_item(self, until: deadlines.Deadline) -> bool:
        while not self._items:
            remaining_s = until.remaining(self._clock)
            if remaining_s <= 0:
                return False
            self._clock.wait(self._condition, remaining_s)
        return True
