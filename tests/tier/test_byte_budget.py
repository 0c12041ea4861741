"""ByteBudget and ByteCharge: memory that requests hold together."""

import concurrent.futures

import pytest

from corianderport_testkit import clock
from corianderport_tier.connection import byte_charge
from corianderport_tier.process import byte_budget

_TOTAL = 100_000
_SMALL = byte_budget.SMALL_REQUEST_BYTES


def test_last_quarter_is_reserved_for_small_requests() -> None:
    """Guards against large bodies that displace small requests."""
    budget = byte_budget.ByteBudget(_TOTAL, clock.ManualClock())
    assert budget.charge(50_000, 0)
    assert budget.charge(25_000, 0)
    assert not budget.charge(_SMALL, 0)
    assert budget.charge(_SMALL - 1, 0)
    assert not budget.charge(1, _SMALL - 1)
    assert budget.charge(8_000, 0)
    assert not budget.charge(8_000, 0)


def test_request_without_other_load_is_always_accepted() -> None:
    """Guards against a legal request that the budget can never hold."""
    budget = byte_budget.ByteBudget(_TOTAL, clock.ManualClock())
    assert budget.charge(_TOTAL, 0)
    assert budget.charge(_TOTAL, _TOTAL)
    assert not budget.charge(1, 0)


def test_charge_waits_for_released_bytes() -> None:
    """Guards against refusing a request for bytes that are being freed."""
    manual = clock.ManualClock()
    budget = byte_budget.ByteBudget(_TOTAL, manual)
    assert budget.charge(70_000, 0)
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        charged = executor.submit(budget.charge, 50_000, 0, 1.0)
        manual.await_waiters(1)
        budget.release(70_000)
        assert charged.result()
        late = executor.submit(budget.charge, 50_000, 0, 1.0)
        manual.await_waiters(1)
        manual.advance(1)
        assert not late.result()
    assert budget.used_bytes == 50_000


def test_response_is_charged_in_any_case() -> None:
    """Guards against memory that grows with responses that are not read.

    A response is sent even if the budget has no room; a stalled connection
    then makes room.
    """
    budget = byte_budget.ByteBudget(_TOTAL, clock.ManualClock())
    closed: list[bool] = []

    def close_stalled() -> bool:
        closed.append(True)
        return False

    charge = byte_charge.ByteCharge(budget, close_stalled)
    charge.add_in_any_case(_TOTAL)
    assert not closed
    other = byte_charge.ByteCharge(budget, close_stalled)
    other.add_in_any_case(1)
    assert len(closed) == 1
    charge.reduce_to(0)
    assert budget.used_bytes == 1


def test_stalled_request_makes_room() -> None:
    """Guards against refusing callers while stalled ones hold the budget."""
    budget = byte_budget.ByteBudget(_TOTAL, clock.ManualClock())
    stalled = byte_charge.ByteCharge(budget, lambda: False)
    stalled.add(70_000)

    def close_stalled() -> bool:
        held = stalled.held
        stalled.reduce_to(0)
        return held > 0

    charge = byte_charge.ByteCharge(budget, close_stalled)
    charge.add(60_000)
    assert (stalled.held, charge.held) == (0, 60_000)
    other = byte_charge.ByteCharge(budget, close_stalled)
    with pytest.raises(byte_charge.BudgetExceeded):
        other.add(20_000)
    charge.reduce_to(10_000)
    other.add(20_000)
    assert budget.used_bytes == 30_000
    charge.reduce_to(20_000)
    assert charge.held == 10_000
