"""The bound on extra sends on simulated time, however they are charged."""

import pytest

from . import hedge_charge_cases


@pytest.mark.parametrize('charge', hedge_charge_cases.CHARGES)
def test_hedges_of_all_hosts_stay_within_the_bound(charge: str) -> None:
    """Guards against a charge by cost that permits more sends.

    The bound is a count over all hosts. The run takes one window.
    """
    simulation = hedge_charge_cases.HedgedSimulation(
        hedge_charge_cases.CASES['load 0.6'], 1, charge
    )
    bounds = hedge_charge_cases.CASES['load 0.6'].bounds
    simulation.run(bounds.extra_window_s)
    requests = sum(simulation.arrived.values())
    hedges = sum(simulation.hedges.values())
    assert 0 < hedges <= bounds.extra_ratio * requests + bounds.extra_slack
