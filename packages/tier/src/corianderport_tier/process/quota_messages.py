"""corianderport_tier.process.quota_messages

Typed messages between hosts about quotas, independent of their encoding.
"""

import attrs

__all__ = ['QuotaGrant', 'QuotaRequest']


@attrs.frozen
class QuotaRequest:
    """Asks an owner for tokens of a workspace.

    ``rank`` is the position of the asked host in the asking host's order.
    """

    workspace: str
    tokens: int
    rank: int


@attrs.frozen
class QuotaGrant:
    """Tokens that an owner grants.

    ``retry_after_s`` is set if fewer tokens were granted than requested:
    the time after which the owner will have another one. Tokens can be used
    for ``valid_s`` from the sending of the request.
    """

    granted: int
    retry_after_s: float
    valid_s: float
