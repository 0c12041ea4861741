"""corianderport_tier.request.send_history

What has been sent of one part of a request.
"""

import attrs

from corianderport_tier.connection import pool
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.request import forward_send
from corianderport_tier import result_codes
from corianderport_tier.version import routes

__all__ = ['SendHistory']

# An idle connection that carried a reply this recently is assumed open.
_VERIFIED_MAX_AGE_S = 1.0
# Without this limit, one request to a service that refuses every send would
# use up the budget of extra sends shared by all requests.
_MAX_SENDS_PER_PART = 4

Code = result_codes.ResultCode


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

    def permits_another(self, route: routes.Route) -> bool:
        """Whether the request may be sent again after a failed send."""
        if self.ran and not route.idempotent:
            return False
        return self.ran < route.attempts and self.sent < _MAX_SENDS_PER_PART

    def record_end(self, send: forward_send.SendAttempt) -> None:
        """Record the end of a send."""
        if send.carrier is not None:
            self.carriers.append(send.carrier)
            self.sent += 1

    def record_error(
        self, send: forward_send.SendAttempt, error: object
    ) -> tuple[Code, str]:
        """Record what the error of an ended send says about it.

        :return: the code and the reason of the failure.
        """
        if not send.sent or isinstance(
            error, errors.ConnectFailed | errors.ConnectionStale
        ):
            # Nothing was sent.
            if send.sent:
                self.sent -= 1
            if isinstance(error, errors.ConnectionStale):
                # The connection was stale; the searcher may be tried again.
                self.tried.remove(send.searcher)
            return Code.NO_UPSTREAM, str(error)
        self.ran += 1
        code = Code.OUTCOME_UNKNOWN
        if isinstance(error, errors.ReplyInvalid):
            code = error.code
        return code, f'{type(error).__name__}: {error}'
