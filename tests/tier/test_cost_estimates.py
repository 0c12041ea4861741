"""Tests of the expected run times by class of request."""

import pytest

from corianderport_tier.process import cost_estimates
from corianderport_tier.process import route_latency

from . import entries

_LATENCY = route_latency.RouteLatency(0.01)


def _class(
    estimates: cost_estimates.CostEstimates,
    body_bytes: int = 0,
    path: str = '/find/x',
    **fields: object,
) -> cost_estimates.RequestClass:
    route = entries.route(**fields)
    return estimates.request_class(route, _LATENCY, body_bytes, path)


@pytest.mark.parametrize(
    ('body_bytes', 'expected'),
    [(0, 0), (1, 1), (3, 1), (4, 2), (15, 2), (16, 3), (262_144, 10)],
)
def test_sizes_are_classed_by_powers_of_four(
    body_bytes: int, expected: int
) -> None:
    assert cost_estimates.size_class(body_bytes) == expected


def test_class_is_the_route_the_size_and_the_path() -> None:
    """Guards against one estimate for requests of different costs."""
    estimates = cost_estimates.CostEstimates()
    first = _class(estimates)
    assert _class(estimates) is first
    assert _class(estimates, body_bytes=1_000) is not first
    assert _class(estimates, name='other') is not first
    of_paths = {id(_class(estimates, path=f'/find/{n}')) for n in range(99)}
    assert len(of_paths) == 8


def test_new_class_starts_with_a_quarter_of_the_goal() -> None:
    estimates = cost_estimates.CostEstimates()
    assert _class(estimates, goal_s=0.2).expected_s == pytest.approx(0.05)


def test_estimate_is_a_run_without_load() -> None:
    """Guards against estimates that include the wait for other requests."""
    found = _class(cost_estimates.CostEstimates())
    for _ in range(16):
        for seconds in (0.01, 0.03, 0.05, 0.2):
            found.record(seconds)
    assert found.expected_s == pytest.approx(0.03)


def test_estimate_follows_the_first_replies_and_a_change() -> None:
    """Guards against an estimate that stays false."""
    found = _class(cost_estimates.CostEstimates(), goal_s=1.0)
    found.record(0.01)
    assert found.expected_s == pytest.approx(0.01)
    for _ in range(64):
        found.record(0.1)
    assert found.expected_s == pytest.approx(0.1)


def test_estimate_is_bounded_by_the_timeout() -> None:
    """Guards against one class that blocks a searcher for all others."""
    estimates = cost_estimates.CostEstimates()
    found = _class(estimates, timeout_s=0.5, goal_s=100.0)
    assert found.expected_s == 0.5
    found.record(1e9)
    assert found.expected_s == 0.5
    # A later version of the route.
    assert _class(estimates, timeout_s=0.3) is found
    found.record(1e9)
    assert found.expected_s == 0.3


def test_number_of_classes_is_bounded() -> None:
    """Guards against memory that grows with the number of routes.

    The class that was unused longest is dropped.
    """
    estimates = cost_estimates.CostEstimates()
    kept = _class(estimates, name='kept')
    dropped = _class(estimates, name='dropped')
    for number in range(300):
        _class(estimates, name=f'r{number}')
        assert _class(estimates, name='kept') is kept
    assert len(estimates) == 256
    assert _class(estimates, name='dropped') is not dropped
