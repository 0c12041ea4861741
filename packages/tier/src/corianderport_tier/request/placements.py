"""corianderport_tier.request.placements

How the sends of a request were placed, for the log and the metrics.
"""

import collections.abc

from corianderport_tier.process import metrics
from corianderport_tier.process import service_searchers

__all__ = ['log_inputs', 'totals']

Choices = collections.abc.Sequence[service_searchers.Choice]


def totals(choices: Choices) -> dict[str, metrics.PlacementTotals]:
    """Return the sums over the choices by policy."""
    sums: dict[str, metrics.PlacementTotals] = {}
    for choice in choices:
        placed = sums.setdefault(choice.policy.name, metrics.PlacementTotals())
        placed.sends += 1
        placed.expected_s += choice.expected_s
        placed.outstanding_s += choice.outstanding_s
    return sums


def log_inputs(choices: Choices) -> dict[str, object]:
    """Return what the decision log records about the choices.

    The outstanding work is that of the chosen searchers, the least, the
    median and the greatest; the expected cost is that of the first send.
    """
    if not choices:
        return {}
    outstanding_s = sorted(choice.outstanding_s for choice in choices)
    chosen = (
        outstanding_s[0],
        outstanding_s[len(outstanding_s) // 2],
        outstanding_s[-1],
    )
    return {
        'placement': sorted({choice.policy.name for choice in choices}),
        'expected_ms': round(choices[0].expected_s * 1e3, 1),
        'outstanding_ms': [round(s * 1e3, 1) for s in chosen],
    }
