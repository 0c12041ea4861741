"""corianderport_tier.request.send_history

What has been sent of one part of a request.
"""

import attrs

from corianderport_tier.connection import pool
from corianderport_tier.connection import transports

__all__ = ['SendHistory']

# An idle connection that carried a reply this recently is assumed open.
_VERIFIED_MAX_AGE_S = 1.0


@attrs.define
class SendHistory:
    """Sends of one part so far.

    ``tried`` are the names of the searchers chosen, ``sent`` is the number of
    sends of which any bytes may have been sent, ``ran`` the number of those
    that have ended and may have run. ``carriers`` are their connections.
    """

    tried: list[str] = attrs.Factory(list)
    sent: int = 0
    ran: int = 0
    carriers: list[transports.SearcherTransport] = attrs.Factory(list)

    def reuse(self, idempotent: bool, now_s: float) -> pool.Reuse:
        """Return which idle connections may carry the next send.

        All sends of a request have the same id. On a connection that has
        carried one, a late second copy of the response to it would be taken
        for the response to the next send.

        An idle connection may have been closed unnoticed. A non-idempotent
        request that is lost on one cannot be sent again.
        """
        verified_since_s = float('-inf')
        if not idempotent:
            verified_since_s = now_s - _VERIFIED_MAX_AGE_S
        return pool.Reuse(verified_since_s, tuple(self.carriers))
