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
        # Number of items that wake the request's task, and whether a queued
        # item does so alone.
        self._awaited = 1
        self._urgent = False
        self._closed = False

    def put(self, item: T, urgent: bool = True) -> None:
        """Add an item and wake the request's task.

        The item is dropped if the inbox is closed.

        :param urgent: False if the item needs to be handled only together
            with as many items as the task waits for.
        """
        self.offer(item, urgent)

    def offer(self, item: T, urgent: bool = True) -> bool:
        """Add an item and wake the request's task.

        :return: False if the inbox is closed; the item is then dropped.
        """
        with self._condition:
            if self._closed:
                return False
            self._items.append(item)
            self._urgent = self._urgent or urgent
            if self._may_be_taken:
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
            self._wait_for_items(until, 1)
            item = self._items.popleft() if self._items else None
            self._urgent = self._urgent and bool(self._items)
            return item

    def take_all(
        self, until: deadlines.Deadline, count: int = 1
    ) -> tuple[T, ...]:
        """Wait for items and return all queued ones.

        Each wake-up of the task costs as much as handling several items.

        :param count: number of items to wait for; an urgent item ends the
            wait at once.
        :return: the items in arrival order; those queued so far if ``until``
            passed first.
        """
        with self._condition:
            self._wait_for_items(until, count)
            items = tuple(self._items)
            self._items.clear()
            self._urgent = False
            return items

    @property
    def _may_be_taken(self) -> bool:
        return self._urgent or len(self._items) >= self._awaited

    def _wait_for_items(self, until: deadlines.Deadline, count: int) -> None:
        self._awaited = count
        while not self._may_be_taken:
            remaining_s = until.remaining(self._clock)
            if remaining_s <= 0:
                return
            self._clock.wait(self._condition, remaining_s)
