"""corianderport_tier.connection.owner_connection

Connection to a host that owns parts of quotas.
"""

import collections
import collections.abc
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import limit_events
from corianderport_tier.process import quota_messages

__all__ = ['IDLE_S', 'OwnerConnection']

# A connection without a call for this time is closed.
IDLE_S = 20.0

Dial = collections.abc.Callable[[float], transports.PeerTransport]


@attrs.define(eq=False)
class _Call:
    """One call that a request's task waits for."""

    request: quota_messages.QuotaRequest
    deadline_s: float
    outcome: quota_messages.QuotaGrant | Exception | None = None


class OwnerConnection:
    """Makes the calls of all tasks one after the other, on its own task.

    :param dial: opens a connection within a number of seconds.
    :param events: counts calls that failed unexpectedly.
    """

    def __init__(
        self, dial: Dial, clock: clocks.Clock, events: limit_events.LimitEvents
    ) -> None:
        self._events = events
        self._dial = dial
        self._clock = clock
        self._condition = threading.Condition()
        self._calls: collections.deque[_Call] = collections.deque()
        self._closed = False
        self._transport: transports.PeerTransport | None = None

    @property
    def closed(self) -> bool:
        """Whether the connection takes no more calls."""
        return self._closed

    def call(
        self, request: quota_messages.QuotaRequest, timeout_s: float
    ) -> quota_messages.QuotaGrant:
        """Ask for tokens and wait for the reply.

        :raises ConnectionStale: the connection is closed; nothing was sent.
        :raises TransportError: the host did not reply.
        :raises Refusal: the host does not grant tokens of the workspace.
        """
        call = _Call(request, self._clock.monotonic() + timeout_s)
        with self._condition:
            if self._closed:
                raise errors.ConnectionStale('the connection is closed')
            self._calls.append(call)
            self._condition.notify_all()
            while call.outcome is None:
                left_s = call.deadline_s - self._clock.monotonic()
                if left_s <= 0:
                    raise errors.ConnectionSilent('no reply in time')
                self._clock.wait(self._condition, left_s)
        if isinstance(call.outcome, Exception):
            raise call.outcome
        return call.outcome

    def run(self) -> None:
        """Make calls until there has been none for some time."""
        try:
            while (call := self._next()) is not None:
                self._perform(call)
        finally:
            self.close()
            self._disconnect()
            self._fail_waiting('the connection is closed')

    def close(self) -> None:
        """End the task after the current call."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()

    def _next(self) -> _Call | None:
        with self._condition:
            idle_until_s = self._clock.monotonic() + IDLE_S
            while not self._calls and not self._closed:
                left_s = idle_until_s - self._clock.monotonic()
                if left_s <= 0:
                    self._closed = True
                    break
                self._clock.wait(self._condition, left_s)
            return None if self._closed else self._calls.popleft()

    def _perform(self, call: _Call) -> None:
        outcome: quota_messages.QuotaGrant | Exception
        try:
            outcome = self._exchange(call)
        except errors.TransportError as error:
            self._disconnect()
            outcome = error
            # Calls that wait would take as long to fail.
            self._fail_waiting(str(error))
        except errors.CorianderportError as error:
            outcome = error
        except Exception as error:
            self._events.record('quota_call_failed', repr(error), error)
            self._disconnect()
            outcome = errors.ConnectionBroken(repr(error))
        self._finish(call, outcome)

    def _exchange(self, call: _Call) -> quota_messages.QuotaGrant:
        if self._transport is not None:
            try:
                return self._transport.quota(call.request, self._left_s(call))
            except errors.ConnectionBroken:
                # The host may have restarted. Tokens that it granted without
                # a reply are lost.
                self._disconnect()
        self._transport = self._dial(self._left_s(call))
        return self._transport.quota(call.request, self._left_s(call))

    def _left_s(self, call: _Call) -> float:
        left_s = call.deadline_s - self._clock.monotonic()
        if left_s <= 0:
            raise errors.ConnectionSilent('no reply in time')
        return left_s

    def _finish(
        self, call: _Call, outcome: quota_messages.QuotaGrant | Exception
    ) -> None:
        with self._condition:
            call.outcome = outcome
            self._condition.notify_all()

    def _fail_waiting(self, reason: str) -> None:
        with self._condition:
            for call in self._calls:
                call.outcome = errors.ConnectionBroken(reason)
            self._calls.clear()
            self._condition.notify_all()

    def _disconnect(self) -> None:
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.close()
