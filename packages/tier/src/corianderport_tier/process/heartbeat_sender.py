"""corianderport_tier.process.heartbeat_sender

One task for each host that this host sends heartbeats to.
"""

import collections.abc
import logging

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import periodic_task

__all__ = ['HeartbeatSender', 'HeartbeatTimes']

_LOG = logging.getLogger(__name__)


@attrs.frozen
class HeartbeatTimes:
    """Timing of heartbeats, in seconds."""

    period_s: float = 1.0
    timeout_s: float = 1.0


class HeartbeatSender(periodic_task.PeriodicTask):
    """Sends heartbeats to one host over a persistent connection.

    :param failed: called after the host could not be reached.
    """

    def __init__(
        self,
        member: membership.Member,
        exchange: heartbeats.HeartbeatExchange,
        members: membership.Membership,
        dialer: transports.PeerDialer,
        clock: clocks.Clock,
        times: HeartbeatTimes,
        failed: collections.abc.Callable[[], None],
    ) -> None:
        super().__init__(clock)
        self.member = member
        self._exchange = exchange
        self._members = members
        self._dialer = dialer
        self._times = times
        self._failed = failed
        self._transport: transports.PeerTransport | None = None
        self._tried = False

    @property
    def tried(self) -> bool:
        """Whether the first exchange has ended."""
        return self._tried

    def step(self) -> float:
        """Exchange heartbeats once."""
        self.exchange()
        return self._times.period_s

    def exchange(self) -> None:
        """Exchange heartbeats once; suspect the host when it is silent.

        A silent connection says nothing of the host: it is suspected only
        when a new connection fails as well.
        """
        self._exchange_once()
        self._tried = True

    def _exchange_once(self) -> None:
        if self._transport is not None:
            try:
                self._send(self._transport)
                return
            except errors.TransportError as error:
                _LOG.info('new connection to %s: %s', self.member.name, error)
                self._drop()
        try:
            self._transport = self._dialer.dial(
                self.member, self._times.timeout_s
            )
            self._send(self._transport)
        except errors.ConnectRefused:
            self._drop()
            self._members.suspect(self.member, gone=True)
            self._failed()
        except errors.CorianderportError as error:
            self._drop()
            _LOG.info('%s suspected: %s', self.member.name, error)
            self._members.suspect(self.member)
            self._failed()

    def _send(self, transport: transports.PeerTransport) -> None:
        sent_s = self._clock.monotonic()
        message = self._exchange.message(self.member, not self._tried)
        reply = transport.heartbeat(message, self._times.timeout_s)
        answering = reply.sender.member
        if answering.name != self.member.name:
            raise errors.ConnectionBroken(
                f'{self.member.peer_address} belongs to {answering.name}'
            )
        self.member = answering
        self._exchange.replied(reply, sent_s)

    def _drop(self) -> None:
        transport = self._transport
        self._transport = None
        if transport is not None:
            transport.close()

    def _ended(self) -> None:
        self._drop()
