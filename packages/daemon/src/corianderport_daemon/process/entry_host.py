"""corianderport_daemon.process.entry_host

Composes an entry host that sends to searchers itself.
"""

import collections.abc
import concurrent.futures
import contextlib
import logging
import random
import threading
import typing

import attrs

from corianderport_daemon.process import entry_settings
from corianderport_daemon.process import fleet
from corianderport_daemon.process import registry_connection
from corianderport_tier import clocks
from corianderport_tier import closing
from corianderport_tier.connection import pool
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import directory
from corianderport_tier.process import fleet_share
from corianderport_tier.process import metrics
from corianderport_tier.process import registry_reader
from corianderport_tier.process import registry_relay
from corianderport_tier.process import registry_source
from corianderport_tier.process import service_searchers
from corianderport_tier.request import deadlines
from corianderport_tier.request import forward_messages
from corianderport_tier.request import forwarding
from corianderport_tier.version import registrations
from corianderport_wire.connection import caller_listener
from corianderport_wire.connection import disconnect_watcher
from corianderport_wire.connection import http_exchange

__all__ = ['Adapter', 'EntryHost']

_LOG = logging.getLogger(__name__)

# One thread for each connection of a caller, searcher or peer.
_MOST_TASKS = 1_500
# An idle connection to a searcher is closed after this time.
_IDLE_S = 20.0
# The balancer asks once a second and takes a host out after two misses.
_BALANCER_LAG_S = 2.8
# Left of the grace period for closing connections and the exit.
_EXIT_MARGIN_S = 0.4
_HOUSEKEEPING_S = 0.25


class Adapter(typing.Protocol):
    """What speaks to the platform: its names, formats and calls."""

    @property
    def ready_target(self) -> bytes:
        """Path on which the balancer asks whether the host is ready."""

    @property
    def prefix(self) -> str:
        """Prefix of all keys that the host reads."""

    def settings(self) -> entry_settings.EntrySettings:
        """Read the settings anew.

        :raises SettingInvalid: names the setting.
        """

    def settings_stamp(self) -> object:
        """Return what differs when the settings have changed."""

    def registry(self, address: str) -> transports.Registry:
        """Return a connection to the store, for one task."""

    def decode(self, key: str, content: bytes) -> registrations.Published:
        """Return what the content of a key of the store says."""

    def dialer(self, clock: clocks.Clock) -> transports.SearcherDialer:
        """Return what opens connections to searchers."""

    def request(
        self, request: http_exchange.HttpRequest, clock: clocks.Clock
    ) -> forward_messages.ForwardRequest:
        """Decode a caller's request.

        :raises MalformedRequest: it cannot be decoded.
        """

    def answer(
        self,
        answer: forward_messages.ForwardAnswer,
        request: http_exchange.HttpRequest,
    ) -> caller_listener.HttpResponse:
        """Encode the answer to a caller's request."""


class EntryHost(closing.Closing):
    """One entry host; runs while it is entered."""

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        adapter: Adapter,
        clock: clocks.Clock,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._clock = clock
        self._rng = random.Random()
        self._stack = contextlib.ExitStack()
        self._condition = threading.Condition()
        self._stopping = False
        self._executor = concurrent.futures.ThreadPoolExecutor(
            _MOST_TASKS, thread_name_prefix='task'
        )
        self._metrics = metrics.Metrics()
        self._log = decision_log.DecisionLog(observer=self._metrics)
        relay = registry_relay.RegistryRelay(clock)
        self._fleet = fleet.Fleet(
            settings,
            self._executor,
            clock,
            self._version,
            lambda member, version: None,
            self._fleet_changed,
            relay,
        )
        self._share = fleet_share.FleetShare(
            settings.fleet, settings.host, lambda: self._fleet.hosts
        )
        self._dialer = adapter.dialer(clock)
        self._directory = directory.Directory(
            self._open_service, clock, self._log
        )
        self._forwarder = forwarding.Forwarder(
            self._directory, clock, self._log, self._rng, self._metrics
        )
        self._watch = disconnect_watcher.DisconnectWatcher()
        self._callers = self._listener(settings.caller_address, self._serve)
        self._ready = self._listener(settings.ready_address, self._serve_ready)
        self._metrics_listener = (
            self._listener(settings.metrics_address, self._serve_metrics)
            if settings.metrics_address
            else None
        )
        self._settings_stamp = adapter.settings_stamp()
        self._reader = registry_reader.RegistryReader(
            adapter.prefix,
            registry_source.RegistrySource(
                adapter.registry(settings.store_address),
                relay,
                self._stack.enter_context(
                    registry_connection.RegistryConnection(self._fleet.dialer)
                ),
                self._fleet.own,
                lambda: self._fleet.view,
                clock,
            ),
            adapter.decode,
            self._directory,
            clock,
            registry_reader.ReaderTimes(watch_s=settings.watch_s),
            self._rng,
        )

    @classmethod
    def from_adapter(
        cls, adapter: Adapter, clock: clocks.Clock | None = None
    ) -> 'EntryHost':
        """Build a host from the settings that an adapter reads.

        :raises SettingInvalid: names the setting.
        """
        return cls(adapter.settings(), adapter, clock or clocks.SystemClock())

    def __enter__(self) -> typing.Self:
        tasks: list[collections.abc.Callable[[], None]] = [
            self._watch.run,
            self._callers.run,
            self._ready.run,
            self._keep_house,
            self._reader.run,
        ]
        if self._metrics_listener is not None:
            tasks.append(self._metrics_listener.run)
        self._stack.enter_context(self._fleet)
        for task in tasks:
            self._executor.submit(self._run, task)
        _LOG.info('started %s in %s', self.name, self._settings.data_centre)
        return self

    def close(self) -> None:
        """Close everything; ``wait`` is the graceful shutdown."""
        self._reader.close()
        self._watch.close()
        self._ready.stop_accepting()
        if self._metrics_listener is not None:
            self._metrics_listener.stop_accepting()
        self._stack.close()
        self._directory.close()
        self._executor.shutdown(wait=False, cancel_futures=True)
        _LOG.info('stopped %s', self.name)

    @property
    def name(self) -> str:
        """Name of this host."""
        return self._settings.host

    @property
    def ready(self) -> bool:
        """Whether callers may be sent to this host."""
        return (
            self._directory.complete
            and self._fleet.joined
            and not self._stopping
        )

    def stop(self) -> None:
        """Begin the graceful shutdown; ``wait`` returns at its end."""
        with self._condition:
            if self._stopping:
                return
            self._stopping = True
            self._condition.notify_all()

    def wait(self) -> None:
        """Serve until stopped, then finish what has been accepted."""
        with self._condition:
            while not self._stopping:
                self._clock.wait(self._condition, None)
        self._finish()

    def reload(self) -> None:
        """Take over settings that have changed.

        Addresses stay as they are until the process starts again.
        """
        self._settings_stamp = self._adapter.settings_stamp()
        try:
            settings = self._adapter.settings()
        except errors.SettingInvalid as error:
            _LOG.error('settings not taken over: %s', error)
            return
        changed = [
            field.name
            for field in attrs.fields(entry_settings.EntrySettings)
            if getattr(settings, field.name)
            != getattr(self._settings, field.name)
        ]
        _LOG.info('settings read anew, changed: %s', changed or 'nothing')
        self._share.set_bounds(settings.fleet)
        self._settings = settings
        self._directory.refresh()

    def _finish(self) -> None:
        """Answer what has been read and cut off nothing."""
        began_s = self._clock.monotonic()
        end = deadlines.Deadline(
            began_s + self._settings.grace_s - _EXIT_MARGIN_S
        )
        _LOG.info('stopping %s, not ready any more', self.name)
        self._callers.closing = True
        with self._condition:
            self._clock.wait(self._condition, _BALANCER_LAG_S)
        self._callers.stop_accepting()
        self._callers.close_idle()
        self._fleet.leave()
        if not self._callers.await_closed(end):
            _LOG.warning('connections of callers are still open at the end')

    def _version(self) -> int:
        routing = self._directory.routing
        return 0 if routing is None else routing.version

    def _fleet_changed(self) -> None:
        self._directory.refresh()

    def _listener(
        self, address: str, serve: caller_listener.RequestHandler
    ) -> caller_listener.CallerListener:
        return caller_listener.CallerListener(
            address,
            serve,
            self._limits,
            self._watch,
            self._executor,
            self._clock,
        )

    def _limits(self) -> typing.Any:
        routing = self._directory.routing
        return None if routing is None else routing.limits

    def _serve(
        self,
        received: http_exchange.HttpRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse | None:
        answer: forward_messages.ForwardAnswer | None
        try:
            request = self._adapter.request(received, self._clock)
            answer = self._forwarder.answer(request, caller)
        except errors.CorianderportError as error:
            answer = forward_messages.Failure(error.code, str(error))
        return (
            None if answer is None else self._adapter.answer(answer, received)
        )

    def _serve_ready(
        self,
        received: http_exchange.HttpRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse:
        if received.target != self._adapter.ready_target:
            return caller_listener.HttpResponse(404, (), b'')
        return caller_listener.HttpResponse(
            200 if self.ready else 503, (), b''
        )

    def _serve_metrics(
        self,
        received: http_exchange.HttpRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse:
        # Loaded when it is first asked for: the library takes memory that
        # a host without a scraper does not need.
        from corianderport_wire.process import metrics_text

        content_type = metrics_text.CONTENT_TYPE.encode()
        return caller_listener.HttpResponse(
            200,
            ((b'content-type', content_type),),
            metrics_text.render(self._metrics.totals()),
        )

    def _open_service(self, name: str) -> service_searchers.ServiceSearchers:
        return service_searchers.ServiceSearchers(
            name,
            self._settings.data_centre,
            self._share,
            self._open_pool,
            self._clock,
            self._rng,
        )

    def _open_pool(
        self, registration: registrations.Registration, connections: int
    ) -> pool.ConnectionPool[transports.SearcherTransport]:
        return pool.ConnectionPool(
            lambda: self._dialer.dial(registration),
            self._executor,
            self._clock,
            pool.PoolLimits(connections, _IDLE_S),
        )

    def _keep_house(self) -> None:
        """Let the directory do what is due; notice changed settings."""
        condition = threading.Condition()
        while not self._stopping:
            self._directory.expire()
            if self._adapter.settings_stamp() != self._settings_stamp:
                self.reload()
            with condition:
                self._clock.wait(condition, _HOUSEKEEPING_S)

    def _run(self, task: collections.abc.Callable[[], None]) -> None:
        try:
            task()
        except Exception:
            _LOG.exception('a task of the host has failed')
