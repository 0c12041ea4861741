"""corianderport_wire.connection.caller_connection

One connection of a caller, served by one task while it is not idle.
"""

import collections.abc
import contextlib
import logging
import select
import socket

import attrs
import h11

from corianderport_tier import clocks
from corianderport_tier.connection import byte_charge
from corianderport_tier.process import byte_budget
from corianderport_tier.process import caller_bounds
from corianderport_tier.process import caller_refusals
from corianderport_tier.process import caller_table
from corianderport_tier.process import limit_events
from corianderport_tier.process import link_bytes
from corianderport_tier.request import deadlines
from corianderport_tier.version import routes
from corianderport_wire.connection import caller_messages
from corianderport_wire.connection import disconnect_watcher
from corianderport_wire.connection import request_parser
from corianderport_wire.connection import request_reader
from corianderport_wire.connection import response_writer
from corianderport_wire.connection import round_trip
from corianderport_wire.connection import task_pressure

__all__ = ['CallerConnection', 'RequestHandler', 'Serving']

_LOG = logging.getLogger(__name__)
_RECEIVE_BYTES = 16_384
# Time in which a caller can finish a request that has been rejected. Closing
# the connection earlier could discard the response before it is read.
_LINGER_S = 1.0
# Fewer bytes of a request are no progress, so that a caller that sends a byte
# now and then counts as stalled.
_PROGRESS_BYTES = 512
_BAD_REQUEST = 400
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
_REQUEST_TIMEOUT = 408

Phase = caller_table.Phase
HttpResponse = caller_messages.HttpResponse
RequestHandler = collections.abc.Callable[
    [caller_messages.ReceivedRequest, 'CallerConnection'], HttpResponse | None
]


@attrs.define
class Serving:
    """What all connections of a listener share."""

    serve: RequestHandler
    limits: collections.abc.Callable[[], routes.CallerLimits]
    wants_body: caller_messages.WantsBody
    watcher: disconnect_watcher.DisconnectWatcher
    bounds: caller_bounds.CallerBounds
    table: 'caller_table.CallerTable[CallerConnection]'
    budgets: byte_budget.CallerBudgets
    events: limit_events.LimitEvents
    refusals: caller_refusals.CallerRefusals
    pressure: task_pressure.TaskPressure
    link: link_bytes.Link
    clock: clocks.Clock
    closing: bool = False


class _ClosedByHost(Exception):
    """The connection has been chosen to be closed."""


class CallerConnection:
    """One connection of a caller, serving its requests in turn."""

    def __init__(self, connection: socket.socket, serving: Serving) -> None:
        self._socket = connection
        self._socket.setblocking(False)
        self._serving = serving
        self._clock = serving.clock
        # Bytes that arrived after the end of the last request.
        self._surplus = b''
        self._charge = byte_charge.ByteCharge(
            serving.budgets.requests, self._close_stalled_request
        )
        self._writer = response_writer.ResponseWriter(
            connection,
            byte_charge.ByteCharge(
                serving.budgets.responses, self._close_stalled_response
            ),
            serving.bounds.write_timeout_s,
            serving.events,
            serving.clock,
            lambda: self._begin(Phase.SENDING),
            serving.link,
        )
        self._progress_bytes = 0
        self._requests = 0
        # When bytes were noticed that no task has read yet.
        self._noticed_s: float | None = None
        self._received_s = 0.0
        self._disconnected = False
        self._on_sent: collections.abc.Callable[[], None] | None = None

    def fileno(self) -> int:
        """Return the descriptor; -1 after ``close``."""
        return self._socket.fileno()

    def watch(
        self, on_disconnect: collections.abc.Callable[[], None]
    ) -> contextlib.AbstractContextManager[None]:
        """Call back when the caller disconnects inside the ``with`` block."""

        def handle_disconnect() -> None:
            self._disconnected = True
            on_disconnect()

        return self._serving.watcher.watching(self._socket, handle_disconnect)

    def call_when_sent(
        self, on_sent: collections.abc.Callable[[], None]
    ) -> None:
        """Call back once the response to the current request is written."""
        self._on_sent = on_sent

    def peek(self) -> bytes | None:
        """Return a received byte, none at the end, None if nothing came."""
        try:
            return self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b''

    def notice(self) -> None:
        """Record that bytes of a request wait to be read."""
        self._noticed_s = self._clock.monotonic()

    def has_received(self) -> bool:
        """Whether bytes of a request wait to be read."""
        return bool(self.peek())

    def run(self) -> bool:
        """Serve requests; return whether the connection is idle at the end.

        The connection has to be closed otherwise.
        """
        try:
            while True:
                received = self._surplus or self._read_first()
                if received is None:
                    return True
                if not received or not self._serve_request(received):
                    return False
        except OSError as error:
            _LOG.debug('connection of a caller closed: %s', error)
        except _ClosedByHost:
            _LOG.debug('connection of a caller closed to limit their use')
        finally:
            self._charge.reduce_to(len(self._surplus))
            self._writer.charge.reduce_to(0)
        return False

    def abort(self) -> None:
        """Make the task of the connection end."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            _LOG.debug('closing a connection of a caller failed: %s', error)

    def refuse(self) -> None:
        """Refuse to serve the connection, without waiting for the caller."""
        retry_after_s = self._serving.refusals.retry_after_s()
        try:
            sent_bytes = self._socket.send(
                b'HTTP/1.1 503 \r\nretry-after: %.3f\r\nconnection: close\r\n'
                b'content-length: 0\r\n\r\n' % retry_after_s
            )
            self._serving.link.sent(sent_bytes, 1)
            self._socket.shutdown(socket.SHUT_WR)
            # Unread bytes would make the close discard the response.
            self._serving.link.received(len(self._socket.recv(_RECEIVE_BYTES)))
        except OSError as error:
            _LOG.debug('refusing a connection of a caller failed: %s', error)

    def close(self) -> None:
        """Close the socket."""
        self._surplus = b''
        self._charge.reduce_to(0)
        self._socket.close()

    def _read_first(self) -> bytes | None:
        """Return the first bytes of a request; None if the caller is idle.

        The bytes are empty at the end of the connection.
        """
        self._begin(Phase.IDLE)
        self._surplus = b''
        hold_s = min(
            self._serving.bounds.hold_s, self._serving.limits().idle_timeout_s
        )
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        poll.register(self._serving.pressure, select.POLLIN)
        ready = [descriptor for descriptor, _ in poll.poll(hold_s * 1e3)]
        if self._socket.fileno() not in ready:
            return None
        # From here on, the received bytes are not visible in the socket.
        self._begin(Phase.RECEIVING)
        return self._receive()

    def _serve_request(self, received: bytes) -> bool:
        """Serve one request; return False when the connection must close."""
        if self._surplus:
            self._begin(Phase.RECEIVING)
        # A new configuration applies to each request that begins after it.
        limits = self._serving.limits()
        parser = request_parser.RequestParser(limits)
        reader = request_reader.RequestReader(
            parser,
            limits,
            self._charge,
            self._serving.wants_body,
            self._clock,
            self._arrival(),
        )
        # The bytes of the surplus are charged again as part of the request.
        self._charge.reduce_to(0)
        request = self._receive_request(reader, received)
        if request is None:
            return False
        if isinstance(request, caller_messages.RequestRejected):
            del reader
            self._reject(parser, request)
            return False
        self._serving.link.received(0, 1)
        self._on_sent = None
        self._begin(Phase.RUNNING)
        response = self._serve(request)
        if response is None or self._disconnected:
            return False
        del request, reader
        self._surplus = parser.surplus
        if self._surplus:
            # The last read brought the first bytes of the next request.
            self._noticed_s = self._received_s
        self._charge.reduce_to(len(self._surplus))
        closing = self._serving.closing
        self._writer.respond(parser, response, closing)
        on_sent, self._on_sent = self._on_sent, None
        if on_sent is not None:
            on_sent()
        return not closing and parser.reusable

    def _receive_request(
        self, reader: request_reader.RequestReader, received: bytes
    ) -> (
        caller_messages.ReceivedRequest
        | caller_messages.RequestRejected
        | None
    ):
        """Return the request, why it is rejected, or None at the end.

        Raised errors refer to the reader, so that none is kept while the
        caller reads the response.
        """
        try:
            return reader.receive(received, self._read)
        except caller_messages.RequestRejected as rejected:
            return attrs.evolve(rejected)
        except h11.RemoteProtocolError as error:
            # An error in the head or the body is raised as RequestRejected.
            self._serving.events.record(
                'caller_protocol_error', str(error), error
            )
            return caller_messages.RequestRejected(_BAD_REQUEST)
        except byte_charge.BudgetExceeded:
            self._serving.events.record('caller_bytes_refused')
            return caller_messages.RequestRejected(
                _UNAVAILABLE, self._serving.refusals.retry_after_s()
            )

    def _serve(
        self, request: caller_messages.ReceivedRequest
    ) -> HttpResponse | None:
        try:
            return self._serving.serve(request, self)
        except Exception as error:
            self._serving.events.record(
                'caller_task_failed', repr(error), error
            )
            return HttpResponse(_INTERNAL_ERROR, (), b'')

    def _arrival(self) -> caller_messages.Arrival:
        """Return how the request that begins now has arrived."""
        noticed_s, self._noticed_s = self._noticed_s, None
        if noticed_s is None:
            noticed_s = self._clock.monotonic()
        path_s = round_trip.round_trip_s(self._socket)
        self._requests += 1
        if path_s is not None and self._requests == 1:
            # The caller also waited for the connection to be opened.
            path_s *= 2
        return caller_messages.Arrival(noticed_s, path_s)

    def _reject(
        self,
        parser: request_parser.RequestParser,
        rejected: caller_messages.RequestRejected,
    ) -> None:
        # The parser keeps what it has not parsed until the connection ends.
        self._charge.reduce_to(len(parser.surplus))
        self._writer.respond(parser, rejected.response, True)
        self._begin(Phase.LINGERING)
        self._socket.shutdown(socket.SHUT_WR)
        deadline = deadlines.Deadline.after(self._clock, _LINGER_S)
        while self._await_bytes(deadline) and self._receive():
            continue

    def _read(self, interim: bytes, deadline: deadlines.Deadline) -> bytes:
        """Return further bytes of a request.

        :raises RequestRejected: the request was not received in time.
        """
        if interim:
            self._writer.write([interim])
            self._begin(Phase.RECEIVING)
        if not self._await_bytes(deadline):
            raise caller_messages.RequestRejected(_REQUEST_TIMEOUT)
        received = self._receive()
        self._progress_bytes += len(received)
        if self._progress_bytes >= _PROGRESS_BYTES:
            self._progress_bytes = 0
            self._begin(Phase.RECEIVING)
        return received

    def _receive(self) -> bytes:
        received = self._socket.recv(_RECEIVE_BYTES)
        self._serving.link.received(len(received))
        self._received_s = self._clock.monotonic()
        return received

    def _await_bytes(self, deadline: deadlines.Deadline) -> bool:
        return response_writer.await_ready(
            self._socket, select.POLLIN, deadline, self._clock
        )

    def _begin(self, phase: Phase) -> None:
        if not self._serving.table.begin(self, phase):
            raise _ClosedByHost

    def _close_stalled_request(self) -> bool:
        victim = self._serving.table.close_for_bytes()
        return self._close(victim, 'caller_bytes_evicted')

    def _close_stalled_response(self) -> bool:
        victim = self._serving.table.close_for_response()
        return self._close(victim, 'caller_response_evicted')

    def _close(
        self,
        victim: 'caller_table.Victim[CallerConnection] | None',
        event: limit_events.LimitEvent,
    ) -> bool:
        """Close a connection to make room in a budget, if there is one."""
        if victim is None:
            return False
        self._serving.events.record(event)
        victim.connection.abort()
        return True
