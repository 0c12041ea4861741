"""corianderport_tier.request.gather_messages

Typed messages between hosts about gathers, independent of their encoding.
"""

import attrs

from corianderport_tier.request import deadlines
from corianderport_tier.request import forward_messages

__all__ = ['GatherAvailability', 'GatherCall']


@attrs.frozen
class GatherAvailability:
    """Whether a host takes a gather of another host now.

    ``version`` is the routing version that it would use, 0 for none.
    """

    version: int
    accepts: bool


@attrs.frozen
class GatherCall:
    """A gather that one host gives to another.

    ``sender`` is the name of the host that received the request. ``version``
    is the routing version under which it was accepted; no other may answer
    it. ``goal`` is the time by which the answer must leave.
    """

    sender: str
    version: int
    request: forward_messages.ForwardRequest
    goal: deadlines.Deadline
