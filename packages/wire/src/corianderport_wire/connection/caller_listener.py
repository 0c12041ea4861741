"""corianderport_wire.connection.caller_listener

Accepts callers' connections within bounds and runs their tasks.
"""

import collections.abc
import concurrent.futures
import logging
import random
import socket

from corianderport_tier import clocks
from corianderport_tier.process import byte_budget
from corianderport_tier.process import caller_bounds
from corianderport_tier.process import caller_refusals
from corianderport_tier.process import caller_table
from corianderport_tier.process import decision_log
from corianderport_tier.process import limit_events
from corianderport_tier.process import link_bytes
from corianderport_tier.request import deadlines
from corianderport_tier.version import routes
from corianderport_wire.connection import acceptor
from corianderport_wire.connection import caller_connection
from corianderport_wire.connection import caller_messages
from corianderport_wire.connection import connection_dispatcher
from corianderport_wire.connection import disconnect_watcher
from corianderport_wire.connection import task_pressure

__all__ = [
    'CallerConnection',
    'CallerListener',
    'HttpResponse',
    'ReceivedRequest',
    'RequestHandler',
]

_LOG = logging.getLogger(__name__)
_BACKLOG = 512
# Limits until a configuration provides them.
_DEFAULT_LIMITS = routes.CallerLimits(16_384, 262_144, 3.0, 15.0)

CallerConnection = caller_connection.CallerConnection
HttpResponse = caller_messages.HttpResponse
ReceivedRequest = caller_messages.ReceivedRequest
RequestHandler = caller_connection.RequestHandler
Limits = collections.abc.Callable[[], routes.CallerLimits | None]


def _wants_every_body(request: ReceivedRequest) -> bool:
    return True


class CallerListener:
    """Listens for callers and tracks their connections.

    :param address: ``ip:port`` to listen on; port 0 picks a free one.
    :param serve: returns the response to a request, or None when the caller
        has disconnected.
    :param limits: returns the configured limits, or None without a
        configuration.
    :param watcher: detects callers that disconnect while a request runs.
    :param executor: runs one task for each connection that is not idle, and
        one that waits for the idle ones.
    :param bounds: bounds on the connections; the executor must have one
        thread more than ``bounds.tasks``, and one for ``run``.
    :param wants_body: says whether the body of a request is stored.
    :param budgets: bound the memory of requests and responses.
    :param events: counts how often a bound takes effect.
    :param link: counts the bytes.
    """

    def __init__(
        self,
        address: str,
        serve: RequestHandler,
        limits: Limits,
        watcher: disconnect_watcher.DisconnectWatcher,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        bounds: caller_bounds.CallerBounds | None = None,
        wants_body: caller_messages.WantsBody = _wants_every_body,
        budgets: byte_budget.CallerBudgets | None = None,
        events: limit_events.LimitEvents | None = None,
        link: link_bytes.Link | None = None,
    ) -> None:
        host, _, port = address.rpartition(':')
        bounds = bounds or caller_bounds.CallerBounds()
        self._limits = limits
        self._executor = executor
        self._clock = clock
        self._table: caller_table.CallerTable[CallerConnection]
        self._table = caller_table.CallerTable(bounds, clock)
        self._serving = caller_connection.Serving(
            serve,
            self.limits,
            wants_body,
            watcher,
            bounds,
            self._table,
            budgets or byte_budget.CallerBudgets.from_bounds(bounds, clock),
            events
            or limit_events.LimitEvents(decision_log.DecisionLog(), clock),
            caller_refusals.CallerRefusals(random.Random()),
            task_pressure.TaskPressure(),
            link or link_bytes.LinkBytes().link(link_bytes.LinkKind.CALLER),
            clock,
        )
        self._dispatcher = connection_dispatcher.ConnectionDispatcher(
            self._serving, self._start
        )
        self._acceptor = acceptor.Acceptor(
            host,
            int(port),
            _BACKLOG,
            clock,
            bounds.socket_bytes,
            self._serving.events,
        )

    @property
    def address(self) -> str:
        """Listening address, ``ip:port``."""
        return self._acceptor.address

    @property
    def closing(self) -> bool:
        """Whether each response tells the caller that its connection ends."""
        return self._serving.closing

    @closing.setter
    def closing(self, closing: bool) -> None:
        self._serving.closing = closing

    def limits(self) -> routes.CallerLimits:
        """Return the configured limits, or the defaults."""
        return self._limits() or _DEFAULT_LIMITS

    def run(self) -> None:
        """Accept connections until ``stop_accepting``."""
        self._executor.submit(self._dispatch)
        self._acceptor.run(self._handle_connection)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections are still served."""
        self._acceptor.stop()
        self._dispatcher.stop()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        self._dispatcher.close_all(self._table.close_idle())

    def await_closed(self, until: deadlines.Deadline) -> bool:
        """Wait until all connections are closed; False at the deadline."""
        return self._table.await_empty(until.remaining(self._clock))

    def _dispatch(self) -> None:
        try:
            self._dispatcher.run()
        except Exception as error:
            self._serving.events.record('listener_failed', repr(error), error)

    def _handle_connection(self, caller_socket: socket.socket) -> None:
        caller_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(caller_socket, self._serving)
        accepted, victim = self._table.admit(connection)
        if not accepted:
            self._serving.events.record('caller_connection_refused')
            connection.refuse()
            connection.close()
            return
        if victim is not None:
            self._serving.events.record('caller_connection_evicted')
            self._dispatcher.close_all([victim])
        self._dispatcher.watch(connection)

    def _start(self, connection: CallerConnection) -> None:
        try:
            self._executor.submit(self._run, connection)
        except RuntimeError as error:
            # No thread could be started.
            self._serving.events.record('caller_task_not_started', str(error))
            connection.refuse()
            self._dispatcher.end(connection)

    def _run(self, connection: CallerConnection) -> None:
        idle = False
        try:
            idle = connection.run()
        except Exception as error:
            self._serving.events.record(
                'caller_task_failed', repr(error), error
            )
        finally:
            if idle:
                self._dispatcher.park(connection)
            else:
                self._dispatcher.end(connection)
