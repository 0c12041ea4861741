"""corianderport_tier.process.seed_contact

Keeps a starting host and one seed informed of each other.
"""

import collections.abc
import logging

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import periodic_task

__all__ = ['LEASE_S', 'QUERY_TIMEOUT_S', 'SeedContact']

_LOG = logging.getLogger(__name__)
# A host that has just started relies on a reply of a seed for this time from
# the sending of its query, and lets other hosts learn of it for as long. With
# the period below, replies that take up to 0.25 s do no harm; a host whose
# processor is limited to half a core may stand still for 0.1 s.
LEASE_S = 0.7
_PERIOD_S = 0.2
_RETRY_S = 0.1
# Links of a data centre take up to 50 ms at first, and a query on a new
# connection needs two round trips. A machine that is off does not reply at
# all, and may start at any moment.
QUERY_TIMEOUT_S = 0.4
# Clocks of two hosts may run at slightly different speeds.
_MARGIN_S = 0.05
# Name of a host of which only the seed address is known.
_UNKNOWN_NAME = 'seed'


class SeedContact(periodic_task.PeriodicTask):
    """Queries one seed for changes over a persistent connection.

    :param on_reply: called with the address after each reply.
    :param on_failure: called with the address and the error.
    """

    def __init__(
        self,
        address: str,
        exchange: heartbeats.HeartbeatExchange,
        dialer: transports.PeerDialer,
        clock: clocks.Clock,
        on_reply: collections.abc.Callable[[str], None],
        on_failure: collections.abc.Callable[
            [str, errors.CorianderportError], None
        ],
    ) -> None:
        super().__init__(clock)
        self.address = address
        self._exchange = exchange
        self._dialer = dialer
        self._on_reply = on_reply
        self._on_failure = on_failure
        self._transport: transports.PeerTransport | None = None
        self._known_change = 0
        # The seed's process, and the refutation of this host that it knows,
        # since ``_registered_s``.
        self._registered: tuple[str, int] | None = None
        self._registered_s = float('inf')
        self._current_s = float('-inf')

    @property
    def current_s(self) -> float:
        """Time of ``boottime`` until which what the seed knew is known.

        Only counted once the seed has known this host for ``LEASE_S``. A
        seed that has just started may have forgotten hosts that still rely
        on being known; by then they have told it again.
        """
        return self._current_s

    @property
    def current_in_s(self) -> float:
        """Time until what the seed knows may be counted, if it replies."""
        waited_s = self._clock.boottime() - self._registered_s
        if waited_s < 0:
            # A seed that starts now is found after this time at most.
            waited_s = -QUERY_TIMEOUT_S
        return max(0.0, LEASE_S + _MARGIN_S - waited_s) + _PERIOD_S

    def step(self) -> float:
        """Query the seed once."""
        try:
            self._query()
        except errors.CorianderportError as error:
            self._disconnect()
            self._on_failure(self.address, error)
            return _RETRY_S
        self._on_reply(self.address)
        return _PERIOD_S

    def _query(self) -> None:
        sent_s = self._clock.boottime()
        sent_monotonic_s = self._clock.monotonic()
        seed = membership.Member(_UNKNOWN_NAME, '', self.address)
        if self._transport is None:
            self._transport = self._dialer.dial(seed, QUERY_TIMEOUT_S)
        known_change = self._known_change
        query = self._exchange.build_query(known_change)
        reply = self._transport.heartbeat(query, QUERY_TIMEOUT_S)
        self._exchange.on_reply(reply, sent_monotonic_s)
        seed_process = reply.sender.member.incarnation
        registered = (seed_process, query.sender.refutation)
        if registered != self._registered:
            replaced = self._registered
            self._registered = registered
            self._registered_s = self._clock.boottime()
            if replaced is not None and replaced[0] != seed_process:
                # The number of the change was that of an earlier process.
                _LOG.info('seed %s has restarted', self.address)
                self._known_change = 0
                return
        if reply.last_change is None:
            return
        self._known_change = reply.last_change
        if sent_s >= self._registered_s + LEASE_S + _MARGIN_S:
            self._current_s = sent_s

    def _disconnect(self) -> None:
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.close()

    def _release_resources(self) -> None:
        self._disconnect()
