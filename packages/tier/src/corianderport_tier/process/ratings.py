"""corianderport_tier.process.ratings

How the searchers of a service are rated for one more request.
"""

import attrs

from corianderport_tier.process import cost_estimates
from corianderport_tier.process import placement
from corianderport_tier.process import searcher_state

__all__ = ['Rating', 'ServiceRatings', 'rate']


@attrs.frozen
class Rating:
    """A searcher as a policy rates it for one more request.

    ``excluded`` is the reason for which it can't be chosen, empty for a
    candidate. ``reply_age_s`` is the age of the latest reply, None without
    any.
    """

    searcher: str
    data_centre: str
    excluded: str
    in_flight: int
    outstanding_s: float
    relative_latency: float
    cost: float
    reply_age_s: float | None


@attrs.frozen
class ServiceRatings:
    """All searchers of a service, and whether an extra send is permitted."""

    service: str
    policy: str
    extra_permitted: bool
    searchers: tuple[Rating, ...]


def rate(
    policy: placement.PlacementPolicy,
    state: searcher_state.SearcherState,
    excluded: str,
    request_class: cost_estimates.RequestClass,
    half_life_s: float,
    now_s: float,
) -> Rating:
    """Return the rating of a searcher, whose state is left as it is.

    :param half_life_s: half-life of the searcher's latency at a choice now.
    """
    previous_s = state.latency_half_life_s
    state.latency_half_life_s = half_life_s
    try:
        return Rating(
            state.name,
            state.registration.data_centre,
            excluded,
            state.in_flight,
            state.outstanding_s(now_s),
            state.relative_latency(now_s),
            policy.cost(state, request_class, now_s),
            state.reply_age_s(now_s),
        )
    finally:
        state.latency_half_life_s = previous_s
