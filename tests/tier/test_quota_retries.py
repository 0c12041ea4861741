"""Delays of requests that are refused until owners grant tokens."""

import random

from corianderport_tier.process import quota_retries
from corianderport_tier.version import workspaces

_HOSTS = 80
_NOW_S = 100.0


def _delays(
    rank: int, rate: float, count: int, wait_s: float = 0.5, hosts: int = 1
) -> list[float]:
    workspace = workspaces.Workspace('kami', rank, rate, 1)
    retries = quota_retries.QuotaRetries(random.Random(rank))
    return [
        retries.retry_after_s(workspace, wait_s, hosts, _NOW_S)
        for _ in range(count)
    ]


def test_no_caller_comes_back_before_the_owners_may_grant() -> None:
    """Guards against repeated refusals of the same request."""
    assert min(_delays(0, 11, 100)) >= 0.5
    assert min(_delays(0, 11, 100, wait_s=0.0)) > 0


def test_callers_come_back_as_fast_as_owners_gain_tokens() -> None:
    """Guards against callers that all come back at once."""
    delays = _delays(0, 20, 20)
    steps = [b - a for a, b in zip(delays, delays[1:], strict=False)]
    assert all(abs(step - 0.05) < 1e-9 for step in steps)


def test_callers_of_many_hosts_are_spread() -> None:
    """Guards against one caller of each host coming back at once."""
    workspace = workspaces.Workspace('kami', 0, 11, 11)
    delays = sorted(
        quota_retries.QuotaRetries(random.Random(n)).retry_after_s(
            workspace, 0.5, _HOSTS, _NOW_S
        )
        for n in range(_HOSTS)
    )
    assert delays[0] >= 0.5 and delays[-1] <= 1.5
    for tenth in range(10):
        begin_s = 0.5 + tenth / 10
        assert 2 <= sum(begin_s <= d < begin_s + 0.1 for d in delays) <= 16


def test_callers_of_higher_priority_come_back_earlier() -> None:
    """Guards against urgent requests that wait behind others."""
    means = [sum(_delays(rank, 40, 20)) / 20 for rank in range(4)]
    assert means == sorted(means)
    assert means[1] > means[0] + 0.1
    assert max(_delays(7, 40, 200)) <= 0.5 + 0.75 + 1.0


def test_delays_do_not_grow_without_bound() -> None:
    """Guards against callers that give up because of a long delay."""
    assert max(_delays(0, 0.01, 50)) <= 2.5
    assert max(_delays(0, 40, 1_000)) <= 1.6
