"""corianderport_tier.process.heartbeat_sender

Sends heartbeats to one host.
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
    """Timing of heartbeats in seconds."""

    period_s: float = 1.0
    timeout_s: float = 1.0


class HeartbeatSender(periodic_task.PeriodicTask):
    """Sends heartbeats to one host over a persistent connection.

    :param on_failure: called after the host could not be reached.
    """

    def __init__(
        self,
        member: membership.Member,
        exchange: heartbeats.HeartbeatExchange,
        members: membership.Membership,
        dialer: transports.PeerDialer,
        clock: clocks.Clock,
        times: HeartbeatTimes,
        on_failure: collections.abc.Callable[[], None],
    ) -> None:
        super().__init__(clock)
        self.member = member
        self._exchange = exchange
        self._members = members
        self._dialer = dialer
        self._times = times
        self._on_failure = on_failure
        self._transport: transports.PeerTransport | None = None
        self._attempted = False

    @property
    def attempted(self) -> bool:
        """Whether the first exchange has completed or failed."""
        return self._attempted

    def step(self) -> float:
        """Exchange heartbeats once."""
        self.exchange()
        return self._times.period_s

    def exchange(self) -> None:
        """Exchange heartbeats once and suspect the host on a failure.

        A failure of the existing connection does not imply that the host
        has failed: it is suspected only if a new connection fails as well.
        """
        self._exchange_once()
        self._attempted = True

    def _exchange_once(self) -> None:
        if self._transport is not None:
            try:
                self._send(self._transport)
                return
            except errors.TransportError as error:
                _LOG.info(
                    'connection to host %s lost, reconnecting: %s',
                    self.member.name,
                    error,
                )
                self._disconnect()
        try:
            self._transport = self._dialer.dial(
                self.member, self._times.timeout_s
            )
            self._send(self._transport)
        except errors.ConnectRefused:
            self._disconnect()
            self._members.suspect(self.member, gone=True)
            self._on_failure()
        except errors.CorianderportError as error:
            self._disconnect()
            _LOG.info('host %s is suspected: %s', self.member.name, error)
            self._members.suspect(self.member)
            self._on_failure()

    def _send(self, transport: transports.PeerTransport) -> None:
        sent_s = self._clock.monotonic()
        message = self._exchange.build(self.member, not self._attempted)
        reply = transport.heartbeat(message, self._times.timeout_s)
        responder = reply.sender.member
        if responder.name != self.member.name:
            raise errors.ConnectionBroken(
                f'{self.member.peer_address} belongs to host {responder.name}'
            )
        self.member = responder
        self._exchange.on_reply(reply, sent_s)

    def _disconnect(self) -> None:
        transport = self._transport
        self._transport = None
        if transport is not None:
            transport.close()

    def _release_resources(self) -> None:
        self._disconnect()
