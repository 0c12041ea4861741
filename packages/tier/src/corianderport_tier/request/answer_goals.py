"""corianderport_tier.request.answer_goals

When the answer to a request has to leave this host to be in time.
"""

from corianderport_tier.request import deadlines
from corianderport_tier.request import forward_messages
from corianderport_tier.version import routes

__all__ = ['leave_by']

# Assumed time that a request and its answer spend outside this host if the
# connection does not tell. A route's latency goal includes it.
_DEFAULT_PATH_S = 0.0065
# Variation of that time. From busy hosts with links of 20 Mbit/s, answers
# reach their callers 4 ms later than the round trip explains.
_PATH_MARGIN_S = 0.005


def leave_by(
    request: forward_messages.ForwardRequest, route: routes.Route
) -> deadlines.Deadline:
    """Return when an answer has to leave to reach its caller by the goal."""
    return deadlines.Deadline(
        request.received_s
        + route.goal_s
        - (request.path_s or _DEFAULT_PATH_S)
        - _PATH_MARGIN_S
    )
