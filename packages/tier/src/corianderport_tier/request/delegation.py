"""corianderport_tier.request.delegation

Gives a gather to a host with a wider link.

The host that a load balancer picks may have a link on which the replies of a
wide gather take most of the time until the goal. A host with a wider link
receives them in a fraction of it, and returns only the merged records.
"""

import collections.abc
import threading

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import gather_hosts
from corianderport_tier.request import deadlines
from corianderport_tier.request import forward_messages
from corianderport_tier.request import gather_messages
from corianderport_tier.request import records
from corianderport_tier import result_codes
from corianderport_tier.version import routes

__all__ = ['Delegation', 'Delegator', 'expected_bytes']

# A host that has not accepted an offer by then is left out, while there is
# still time to gather the parts here.
_OFFER_TIMEOUT_S = 0.015
# When the call for availability itself ends.
_OFFER_CALL_TIMEOUT_S = 0.25
# Time for the merged answer to return and to be decoded.
_RETURN_S = 0.006
# Header fields of a searcher's reply.
_PART_HEAD_BYTES = 350
# A larger request takes too long to be passed on over a small link.
_MAX_BODY_BYTES = 16_384

Failure = forward_messages.Failure
Code = result_codes.ResultCode


def expected_bytes(target: routes.Gather) -> int:
    """Return the bytes that the replies of a gather are expected to have."""
    part = target.max_records * records.RECORD_BYTES + _PART_HEAD_BYTES
    return len(target.services) * part


class Delegation:
    """Connection job that offers a gather to a host, then gives it.

    Nothing is sent to a searcher before the host has accepted. From then on
    the attempts of all parts are the host's: if it does not answer, they may
    all have been used, and the parts are not sent again.

    :param on_end: called once with the reply or the error, on the task of the
        connection.
    """

    def __init__(
        self,
        host: gather_hosts.GatherHost,
        call: gather_messages.GatherCall,
        clock: clocks.Clock,
        on_end: collections.abc.Callable[[object], None],
    ) -> None:
        self.host_name = host.member.name
        self.offered_until_s = clock.monotonic() + _OFFER_TIMEOUT_S
        self._host = host
        self._call = call
        self._clock = clock
        self._on_end = on_end
        self._lock = threading.Lock()
        self._withdrawn = False
        self._given = False
        # Set only while the host has the gather.
        self._transport: transports.PeerTransport | None = None

    @property
    def given(self) -> bool:
        """Whether the host may have begun to send the parts."""
        return self._given

    def start(self) -> None:
        """Offer the gather.

        :raises CorianderportError: no connection can carry the offer.
        """
        self._host.submit(self)

    def perform(
        self, transport: transports.PeerTransport
    ) -> forward_messages.ForwardAnswer:
        """Offer the gather and wait for the answer.

        :raises Refusal: the host does not take it, or it was withdrawn.
        """
        offered = transport.gather_availability(_OFFER_CALL_TIMEOUT_S)
        if offered.version != self._call.version:
            raise errors.NotReady(f'has version {offered.version}')
        if not offered.accepts:
            raise errors.Overloaded('takes no gathers now')
        with self._lock:
            if self._withdrawn:
                raise errors.DeadlinePast('the offer was withdrawn')
            self._transport = transport
            self._given = True
        try:
            remaining_s = self._call.request.deadline.remaining(self._clock)
            return transport.gather(self._call, remaining_s)
        finally:
            with self._lock:
                self._transport = None

    def finish(self, reply: object) -> None:
        """Pass on the answer or the error."""
        self._host.ended(not isinstance(reply, errors.TransportError))
        self._on_end(reply)

    def withdraw(self) -> bool:
        """Withdraw an offer that was not accepted in time.

        :return: False if the host has the gather.
        """
        with self._lock:
            if self._given:
                return False
            self._withdrawn = True
        self._host.suspect()
        return True

    def cancel(self) -> None:
        """Withdraw the offer, or end the gather at the host.

        The host notices that its connection is closed.
        """
        with self._lock:
            self._withdrawn = True
            if self._transport is not None:
                self._transport.abort()

    def answer(self, reply: object) -> forward_messages.ForwardAnswer | None:
        """Return what a reply means for the caller.

        :return: None if nothing was sent to a searcher, so that the parts can
            be gathered here.
        """
        if isinstance(reply, forward_messages.Gathered):
            return reply
        if isinstance(reply, Failure):
            return None if reply.code.ran is result_codes.Ran.NO else reply
        if not self._given or isinstance(reply, errors.Refusal):
            return None
        return Failure(
            Code.OUTCOME_UNKNOWN, f'{self.host_name} did not answer: {reply}'
        )


class Delegator:
    """Decides which gathers are given to which hosts."""

    def __init__(
        self,
        hosts: gather_hosts.GatherHosts,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
    ) -> None:
        self._hosts = hosts
        self._clock = clock
        self._log = log

    def offer(
        self,
        request: forward_messages.ForwardRequest,
        route: routes.Route,
        version: int,
        goal_s: float,
        on_end: collections.abc.Callable[[object], None],
    ) -> Delegation | None:
        """Offer a gather to a host; None if the parts are gathered here."""
        target = route.target
        if not isinstance(target, routes.Gather):
            return None
        if len(request.payload.body) > _MAX_BODY_BYTES:
            return None
        size_bytes = expected_bytes(target)
        left_s = goal_s - self._clock.monotonic()
        host = self._hosts.choose(size_bytes, left_s)
        if host is None:
            return None
        call = gather_messages.GatherCall(
            self._hosts.own_name,
            version,
            request,
            deadlines.Deadline(goal_s - _RETURN_S),
        )
        delegation = Delegation(host, call, self._clock, on_end)
        try:
            delegation.start()
        except errors.CorianderportError as error:
            self.not_given(request.request_id, delegation, str(error))
            return None
        self._log.record(
            decision_log.Decision(
                'gather-offered',
                request.request_id,
                host.member.name,
                '',
                inputs={
                    'version': version,
                    'expected_bytes': size_bytes,
                    'left_ms': round(left_s * 1e3, 1),
                    'in_flight': host.in_flight,
                },
            )
        )
        return delegation

    def not_given(
        self, request_id: str, delegation: Delegation, reason: str
    ) -> None:
        """Log why the parts of an offered gather are sent by this host."""
        self._log.record(
            decision_log.Decision(
                'gather-not-given', request_id, delegation.host_name, reason
            )
        )
