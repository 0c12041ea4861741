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


def test_task_sleeps_until_enough_results_are_in() -> None:
    """Guards against a wake-up for each part of a wide gather."""
    clock = manual_clock.ManualClock()
    inbox: inboxes.Inbox[int] = inboxes.Inbox(clock)
    deadline = deadlines.Deadline.after(clock, 1.0)
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        taken = executor.submit(inbox.take_all, deadline, 3)
        clock.await_waiters(1)
        inbox.put(1, urgent=False)
        inbox.put(2, urgent=False)
        assert not taken.done()
        inbox.put(3, urgent=False)
        assert taken.result(timeout=20) == (1, 2, 3)


def test_urgent_result_and_deadline_end_the_wait_for_more() -> None:
    """Guards against a failure or a timer that waits for other results."""
    clock = manual_clock.ManualClock()
    inbox: inboxes.Inbox[int] = inboxes.Inbox(clock)
    deadline = deadlines.Deadline.after(clock, 1.0)
    inbox.put(1, urgent=False)
    inbox.put(2)
    assert inbox.take_all(deadline, 3) == (1, 2)
    inbox.put(4, urgent=False)
    clock.advance(2.0)
    assert inbox.take_all(deadline, 3) == (4,)


def test_next_take_waits_after_an_urgent_result() -> None:
    """Guards against a wait that ends at once as if its time were over."""
    clock = manual_clock.ManualClock()
    inbox: inboxes.Inbox[int] = inboxes.Inbox(clock)
    deadline = deadlines.Deadline.after(clock, 1.0)
    inbox.put(1)
    assert inbox.take(deadline) == 1
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        taken = executor.submit(inbox.take, deadline)
        clock.await_waiters(1)
        inbox.put(2)
        assert taken.result(timeout=20) == 2
