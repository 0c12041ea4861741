"""The owner's bucket stays within its rate and its burst."""

import pytest

from corianderport_tier.process import quota_bucket
from corianderport_tier.version import workspaces

_BOUNDS = quota_bucket.QuotaBounds(window_s=5, excess=0.25, slack=20)


def _workspace(rate: float, burst: float) -> workspaces.Workspace:
    return workspaces.Workspace('kami', 0, rate, burst)


def test_new_bucket_holds_only_the_initial_tokens() -> None:
    """Guards against a second burst after a change of owners."""
    share = _BOUNDS.share(_workspace(40, 400), 1)
    bucket = quota_bucket.QuotaBucket(share, 10.0)
    assert bucket.take(share, 1_000, 10.0) == 5


def test_saved_tokens_are_bounded_by_the_burst() -> None:
    """Guards against tokens that are saved without a bound while unused."""
    share = _BOUNDS.share(_workspace(40, 80), 1)
    bucket = quota_bucket.QuotaBucket(share, 0.0)
    assert bucket.take(share, 10_000, 1e6) == int(80 * 1.125 + 5)
    assert bucket.take(share, 10_000, 1e6 + 1) == 45


def test_credit_fills_the_bucket_of_a_long_standing_owner() -> None:
    """Guards against a refused burst of the first request in an hour."""
    share = _BOUNDS.share(_workspace(10, 10), 1)
    bucket = quota_bucket.QuotaBucket(share, 0.0, credit_s=3_600)
    assert bucket.take(share, 100, 0.0) == int(10 * 1.125 + 5)


def test_lowered_rate_and_burst_apply_at_once() -> None:
    """Guards against tokens saved under the old quota being granted."""
    old = _BOUNDS.share(_workspace(100, 400), 1)
    new = _BOUNDS.share(_workspace(1, 0), 1)
    bucket = quota_bucket.QuotaBucket(old, 0.0)
    assert bucket.take(old, 1, 100.0) == 1
    assert bucket.take(new, 1_000, 100.0) == 5
    assert bucket.take(new, 1_000, 101.0) == 1


def test_raised_rate_does_not_apply_to_the_past() -> None:
    """Guards against a burst at the moment at which a rate is raised."""
    old = _BOUNDS.share(_workspace(1, 400), 1)
    new = _BOUNDS.share(_workspace(100, 400), 1)
    bucket = quota_bucket.QuotaBucket(old, 0.0)
    bucket.take(old, 5, 0.0)
    assert bucket.take(new, 1_000, 4.0) == 4
    assert bucket.take(new, 1_000, 5.0) == 113


@pytest.mark.parametrize('rate', [0.05, 0.5, 11, 400])
def test_token_is_available_when_the_retry_is_due(rate: float) -> None:
    """Guards against a retry time at which there is still no token."""
    share = _BOUNDS.share(_workspace(rate, rate), 4)
    bucket = quota_bucket.QuotaBucket(share, 0.0)
    bucket.take(share, 1_000, 0.0)
    after_s = bucket.retry_after_s(0.0)
    assert bucket.take(share, 1, after_s + 1e-6) == 1


def test_refused_hosts_get_different_retry_times() -> None:
    """Guards against all refused hosts calling the owner at once."""
    share = _BOUNDS.share(_workspace(40, 40), 4)
    bucket = quota_bucket.QuotaBucket(share, 0.0)
    bucket.take(share, 1_000, 0.0)
    times = [bucket.retry_after_s(0.0) for _ in range(8)]
    assert times == sorted(set(times))
    assert max(bucket.retry_after_s(0.0) for _ in range(80)) <= 1.0


@pytest.mark.parametrize(
    ('rate', 'burst', 'slack', 'owners'),
    [(11, 11, 20, 4), (11, 0, 20, 4), (11, 0, 8, 2), (11, 0, 0, 1)],
)
def test_every_owner_can_save_a_whole_token(
    rate: float, burst: float, slack: float, owners: int
) -> None:
    """Guards against owners whose part of a small quota is never a token."""
    bounds = quota_bucket.QuotaBounds(5, 0.25, slack)
    assert bounds.owners(_workspace(rate, burst), 80) == owners
    assert bounds.owners(_workspace(rate, burst), 2) == min(2, owners)


@pytest.mark.parametrize(
    ('window_s', 'excess', 'valid_s'),
    [(5, 0.25, 5 / 9), (60, 0.25, 1.0), (5, 0, 0.1)],
)
def test_time_for_which_tokens_are_valid(
    window_s: float, excess: float, valid_s: float
) -> None:
    """Guards against tokens of before a window that exceed its bound.

    With a validity of one second, the owners' rate of 1.125 and a window of
    five seconds, 6.75 times the rate could be used in a window that permits
    6.25 times.
    """
    bounds = quota_bucket.QuotaBounds(window_s, excess, 20)
    assert bounds.valid_s == pytest.approx(valid_s)
