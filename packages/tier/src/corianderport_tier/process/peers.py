"""corianderport_tier.process.peers

Connections to the other hosts, and their aggregators.
"""

import collections.abc
import concurrent.futures
import threading
import types
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import pool
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import aggregator
from corianderport_tier.process import membership
from corianderport_tier.request import messages

__all__ = ['PeerAggregator', 'Peers']

_CONNECTIONS_PER_PEER = 32
_DIAL_TIMEOUT_S = 1.0
# An owner that reports at the deadline is still heard.
_REPLY_MARGIN_S = 0.003

PeerPool = pool.ConnectionPool[transports.PeerTransport]
Dial = collections.abc.Callable[[float], transports.PeerTransport]


@attrs.frozen
class _SearchJob:
    """A batch for one peer connection."""

    batch: messages.SubQueryBatch
    deliver: aggregator.Deliver
    clock: clocks.Clock

    def perform(
        self, transport: transports.PeerTransport
    ) -> messages.BatchAnswer:
        """Send the batch and wait for its answer."""
        timeout_s = self.batch.deadline.remaining(self.clock)
        if timeout_s <= 0:
            raise errors.DeadlinePast('no time left to send the batch')
        answer = transport.search(self.batch, timeout_s)
        if answer.request_id != self.batch.request_id:
            raise errors.ConnectionBroken('answer belongs to another request')
        return answer

    def finish(self, reply: object) -> None:
        """Deliver the answer to the request."""
        assert isinstance(
            reply, messages.BatchAnswer | errors.CorianderportError
        )
        self.deliver(aggregator.BatchResult(self.batch, reply))


class PeerAggregator:
    """The aggregator of another host."""

    def __init__(
        self, connections: PeerPool, dial: Dial, clock: clocks.Clock
    ) -> None:
        self._connections = connections
        self._dial = dial
        self._clock = clock

    def submit(
        self, batch: messages.SubQueryBatch, deliver: aggregator.Deliver
    ) -> None:
        """Send the batch on a connection to the peer."""
        job = _SearchJob(batch, deliver, self._clock)
        try:
            self._connections.submit(job)
        except errors.CorianderportError as error:
            job.finish(error)

    def act(self, call: messages.ActionCall) -> messages.ActionAnswer:
        """Send the action on a connection of its own."""
        deadline = call.request.deadline
        transport = self._dial(deadline.remaining(self._clock))
        try:
            timeout_s = deadline.remaining(self._clock)
            if timeout_s <= 0:
                raise errors.DeadlinePast('no time left to send the action')
            answer = transport.act(call, timeout_s + _REPLY_MARGIN_S)
        finally:
            transport.close()
        if answer.request_id != call.request.request_id:
            raise errors.OutcomeUnknown('answer belongs to another request')
        return answer


class Peers:
    """The connections of this host to all other hosts."""

    def __init__(
        self,
        dialer: transports.PeerDialer,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
    ) -> None:
        self._dialer = dialer
        self._executor = executor
        self._clock = clock
        self._lock = threading.Lock()
        self._pools: dict[str, PeerPool] = {}

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        with self._lock:
            pools = list(self._pools.values())
            self._pools.clear()
        for old in pools:
            old.close()

    def aggregator(self, member: membership.Member) -> PeerAggregator:
        """Return the aggregator of a host."""
        return PeerAggregator(
            self.pool(member),
            lambda timeout_s: self.dial(member, timeout_s),
            self._clock,
        )

    def dial(
        self, member: membership.Member, timeout_s: float
    ) -> transports.PeerTransport:
        """Open a connection that the caller uses alone and closes.

        :raises ConnectFailed: no connection within the timeout.
        """
        limit_s = min(_DIAL_TIMEOUT_S, timeout_s)
        if limit_s <= 0:
            raise errors.ConnectFailed('no time left to connect')
        return self._dialer.dial(member, limit_s)

    def pool(self, member: membership.Member) -> PeerPool:
        """Return the connections to a host's present address."""
        with self._lock:
            found = self._pools.get(member.peer_address)
            if found is None:
                found = pool.ConnectionPool(
                    lambda: self._dialer.dial(member, _DIAL_TIMEOUT_S),
                    self._executor,
                    self._clock,
                    pool.PoolLimits(_CONNECTIONS_PER_PEER),
                )
                self._pools[member.peer_address] = found
            return found
