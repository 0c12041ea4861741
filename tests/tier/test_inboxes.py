"""Inboxes deliver results to a request's task until its deadline."""

import concurrent.futures

from corianderport_testkit import clock as manual_clock
from corianderport_tier.request import deadlines
from corianderport_tier.request import inboxes


def test_wait_ends_at_the_deadline_without_an_item() -> None:
    """Guards against waiting past the deadline.

    No item arrives at all.
    """
    clock = manual_clock.ManualClock()
    inbox: inboxes.Inbox[int] = inboxes.Inbox(clock)
    deadline = deadlines.Deadline.after(clock, 1.0)
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        taken = executor.submit(inbox.take, deadline)
        while not clock.waiter_count:
            assert not taken.done()
        clock.advance(0.5)
        assert not taken.done()
        clock.advance(0.5)
        assert taken.result(timeout=20) is None


def test_items_come_in_order_even_after_the_deadline() -> None:
    """Guards against dropping results that arrived in time.

    The task takes them only after the deadline, such as after a pause.
    """
    clock = manual_clock.ManualClock()
    inbox: inboxes.Inbox[int] = inboxes.Inbox(clock)
    deadline = deadlines.Deadline.after(clock, 1.0)
    inbox.put(1)
    inbox.put(2)
    clock.advance(2.0)
    assert [inbox.take(deadline) for _ in range(3)] == [1, 2, None]


def test_all_that_has_arrived_is_taken_at_once() -> None:
    """Guards against handling results one by one when several have arrived.

    Two results are queued while the task is busy.
    """
    clock = manual_clock.ManualClock()
    inbox: inboxes.Inbox[int] = inboxes.Inbox(clock)
    deadline = deadlines.Deadline.after(clock, 1.0)
    inbox.put(1)
    inbox.put(2)
    clock.advance(2.0)
    assert inbox.take_all(deadline) == (1, 2)
    assert inbox.take_all(deadline) == ()
