"""Requests that compete for too few connections, on simulated time."""

import attrs
import pytest

from . import placement_simulation
from . import urgency_cases

_SECONDS = 20.0


def _run(
    name: str, by_urgency: bool, seed: int = 1
) -> dict[str, urgency_cases.Result]:
    return urgency_cases.run(
        urgency_cases.CASES[name], by_urgency, seed, _SECONDS
    )


@pytest.mark.parametrize('name', ['load 0.7', 'load 0.9'])
def test_urgent_requests_are_served_earlier(name: str) -> None:
    """Guards against urgent requests that wait behind tolerant ones."""
    by_arrival = _run(name, by_urgency=False)
    by_urgency = _run(name, by_urgency=True)
    assert by_urgency['urgent'].p99_s < 0.9 * by_arrival['urgent'].p99_s
    assert by_urgency['urgent'].in_time > by_arrival['urgent'].in_time
    for kind in ('census', 'tolerant'):
        # Their goals leave them time to wait.
        assert by_urgency[kind].in_time > by_arrival[kind].in_time - 0.005, (
            kind
        )


def test_tolerant_requests_do_not_wait_forever() -> None:
    """Guards against urgent requests that take all connections.

    A quarter of the timeout is 0.375 s. Those that have waited for so long
    are served in the order of arrival, after what is ahead of them.
    """
    by_urgency = _run('load 0.9, mostly urgent', by_urgency=True)
    for result in by_urgency.values():
        assert result.not_sent == 0
        assert result.wait_s < 0.375 + 0.175


@pytest.mark.parametrize('by_urgency', [False, True])
def test_every_request_is_answered_or_given_up(by_urgency: bool) -> None:
    """Guards against requests that are forgotten in the queue.

    Searchers are overloaded, so that some requests end while they wait.
    """
    simulation = placement_simulation.Simulation(
        attrs.evolve(urgency_cases.CASES['load 1.1'], by_urgency=by_urgency),
        'least-loaded',
        1,
    )
    simulation.run(10.0)
    assert sum(simulation.not_sent.values()) > 0
    for name, arrived in simulation.arrived.items():
        answered = len(simulation.latencies_s[name])
        assert answered + simulation.not_sent[name] == arrived > 0
