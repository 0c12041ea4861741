"""corianderport_daemon.process.host_listeners

The listeners of an entry host for callers and probes, and their tasks.
"""

import collections.abc
import concurrent.futures
import typing

import attrs

from corianderport_daemon.process import entry_settings
from corianderport_tier import clocks
from corianderport_tier import closing
from corianderport_tier.process import byte_budget
from corianderport_tier.process import caller_bounds
from corianderport_tier.process import decision_log
from corianderport_tier.process import limit_events
from corianderport_tier.process import link_bytes
from corianderport_wire.connection import caller_listener
from corianderport_wire.connection import caller_messages
from corianderport_wire.connection import disconnect_watcher

__all__ = ['HostListeners', 'RequestHandlers']

# Tasks of a listener besides those for connections: one accepts connections,
# one waits for the idle ones.
_LISTENER_TASKS = 2
# The readiness address and the metrics address.
_ADMIN_LISTENERS = 2


@attrs.frozen
class RequestHandlers:
    """Handlers of the requests to each address.

    ``wants_body`` says which requests of callers need their body; the other
    addresses need none.
    """

    callers: caller_listener.RequestHandler
    wants_body: caller_messages.WantsBody
    readiness: caller_listener.RequestHandler
    metrics: caller_listener.RequestHandler


class HostListeners(closing.Closing):
    """Listens for callers and probes inside a ``with`` block.

    Callers have tasks of their own, so that neither searchers nor probes of
    readiness wait for them.

    :param limits: returns the configured limits of callers' requests.
    :param links: counts the bytes of callers and probes.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        handlers: RequestHandlers,
        limits: caller_listener.Limits,
        log: decision_log.DecisionLog,
        clock: clocks.Clock,
        links: link_bytes.LinkBytes,
    ) -> None:
        bounds = settings.limits
        self._limits = limits
        self._clock = clock
        self._budgets = byte_budget.CallerBudgets.from_bounds(
            bounds.callers, clock
        )
        self._events = limit_events.LimitEvents(log, clock)
        self._watcher = disconnect_watcher.DisconnectWatcher(self._events)
        self._executor = concurrent.futures.ThreadPoolExecutor(
            bounds.callers.tasks + _LISTENER_TASKS + 1,
            thread_name_prefix='caller',
        )
        self._admin_executor = concurrent.futures.ThreadPoolExecutor(
            _ADMIN_LISTENERS * (bounds.admin.tasks + _LISTENER_TASKS),
            thread_name_prefix='admin',
        )
        self.callers = self._listener(
            settings.caller_address,
            handlers.callers,
            handlers.wants_body,
            self._executor,
            bounds.callers,
            links.link(link_bytes.LinkKind.CALLER),
        )
        self._admin = [
            self._listener(
                address,
                handler,
                _wants_no_body,
                self._admin_executor,
                bounds.admin,
                links.link(link_bytes.LinkKind.HEALTH_CHECK),
            )
            for address, handler in (
                (settings.ready_address, handlers.readiness),
                (settings.metrics_address, handlers.metrics),
            )
            if address is not None
        ]

    def __enter__(self) -> typing.Self:
        self._executor.submit(self._run, self._watcher.run)
        self._executor.submit(self._run, self.callers.run)
        for listener in self._admin:
            self._admin_executor.submit(self._run, listener.run)
        return self

    def close(self) -> None:
        """Close everything at once."""
        self._watcher.close()
        for listener in (self.callers, *self._admin):
            listener.stop_accepting()
            listener.close_idle()
        for executor in (self._executor, self._admin_executor):
            executor.shutdown(wait=False, cancel_futures=True)

    def _listener(
        self,
        address: str,
        serve: caller_listener.RequestHandler,
        wants_body: caller_messages.WantsBody,
        executor: concurrent.futures.Executor,
        bounds: caller_bounds.CallerBounds,
        link: link_bytes.Link,
    ) -> caller_listener.CallerListener:
        return caller_listener.CallerListener(
            address,
            serve,
            self._limits,
            self._watcher,
            executor,
            self._clock,
            bounds,
            wants_body,
            self._budgets,
            self._events,
            link,
        )

    def _run(self, task: collections.abc.Callable[[], None]) -> None:
        try:
            task()
        except Exception as error:
            self._events.record('listener_failed', repr(error), error)


def _wants_no_body(head: caller_listener.ReceivedRequest) -> bool:
    return False
