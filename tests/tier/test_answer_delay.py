"""AnswerDelay: the margin that a slow host keeps before a goal."""

import pytest

from corianderport_tier.process import answer_delay


def test_delay_follows_the_latest_answers() -> None:
    """Guards against answers that leave just after the goal on slow hosts."""
    delay = answer_delay.AnswerDelay()
    for _ in range(64):
        delay.record(0.008)
    assert delay.expected_s == pytest.approx(0.008)
    for _ in range(64):
        delay.record(0.001)
    assert delay.expected_s == pytest.approx(0.001)


def test_first_answers_count_at_once() -> None:
    """Guards against late answers of a host that has few callers.

    A shorter delay needs more samples than a longer one.
    """
    delay = answer_delay.AnswerDelay()
    assumed_s = delay.expected_s
    delay.record(assumed_s / 2)
    assert delay.expected_s == assumed_s
    delay.record(2 * assumed_s)
    delay.record(assumed_s)
    assert delay.expected_s == 2 * assumed_s
    for _ in range(64):
        delay.record(assumed_s / 2)
    assert delay.expected_s == assumed_s / 2


def test_pause_of_the_process_is_no_delay() -> None:
    """Guards against a margin that a single pause makes useless."""
    delay = answer_delay.AnswerDelay()
    for _ in range(64):
        delay.record(0.002)
        delay.record(3.0)
    assert delay.expected_s == pytest.approx(0.002)
