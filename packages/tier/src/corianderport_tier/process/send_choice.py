"""corianderport_tier.process.send_choice

The searcher that was chosen for one send.
"""

import attrs

from corianderport_tier.process import cost_estimates
from corianderport_tier.process import placement
from corianderport_tier.process import searcher_state

__all__ = ['Choice']


@attrs.frozen
class Choice:
    """A chosen searcher and the key of the send.

    ``expected_s`` is the expected run time of the request, and
    ``outstanding_s`` the searcher's outstanding work before it.
    ``workspace`` is None for a request without a workspace.
    """

    state: searcher_state.SearcherState
    key: int
    policy: placement.PlacementPolicy
    expected_s: float
    outstanding_s: float
    request_class: cost_estimates.RequestClass
    workspace: str | None
