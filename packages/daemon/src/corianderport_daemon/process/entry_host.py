"""corianderport_daemon.process.entry_host

An entry host that sends directly to searchers.
"""

import collections.abc
import concurrent.futures
import contextlib
import logging
import random
import threading
import typing

import attrs

from corianderport_daemon.process import adapters
from corianderport_daemon.process import entry_quotas
from corianderport_daemon.process import entry_settings
from corianderport_daemon.process import fleet
from corianderport_daemon.process import host_listeners
from corianderport_daemon.process import host_reports
from corianderport_daemon.process import host_requests
from corianderport_daemon.process import housekeeping
from corianderport_daemon.process import registry_connection
from corianderport_tier import clocks
from corianderport_tier import closing
from corianderport_tier.connection import pool
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import connection_kinds
from corianderport_tier.process import decision_log
from corianderport_tier.process import directory
from corianderport_tier.process import drain
from corianderport_tier.process import fleet_share
from corianderport_tier.process import gather_capacity
from corianderport_tier.process import gather_hosts
from corianderport_tier.process import gather_roles
from corianderport_tier.process import limit_events
from corianderport_tier.process import link_bytes
from corianderport_tier.process import link_report
from corianderport_tier.process import metrics
from corianderport_tier.process import placement
from corianderport_tier.process import registry_reader
from corianderport_tier.process import registry_relay
from corianderport_tier.process import registry_source
from corianderport_tier.process import running_requests
from corianderport_tier.process import send_order
from corianderport_tier.process import service_searchers
from corianderport_tier.process import store_freshness
from corianderport_tier.process import workspace_activity
from corianderport_tier.request import deadlines
from corianderport_tier.request import forwarding
from corianderport_tier.version import registrations

__all__ = ['EntryHost']

_LOG = logging.getLogger(__name__)

# The load balancer probes readiness once a second and removes a host after
# two failed probes.
_LOAD_BALANCER_LAG_S = 2.8
# Part of the grace period reserved for closing connections and exiting.
_EXIT_MARGIN_S = 0.4
# Time before the end of the drain in which the last answers are sent.
_LAST_ANSWER_MARGIN_S = 0.2


class EntryHost(closing.Closing):
    """One entry host; it runs inside a ``with`` block."""

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        adapter: adapters.Adapter,
        clock: clocks.Clock,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._clock = clock
        self._rng = random.Random()
        self._stack = contextlib.ExitStack()
        self._condition = threading.Condition()
        self._stopping = False
        # Searchers, peers and the host's own tasks; callers have others.
        self._executor = concurrent.futures.ThreadPoolExecutor(
            settings.limits.upstream_tasks, thread_name_prefix='task'
        )
        self._metrics = metrics.Metrics()
        self._links = link_bytes.LinkBytes(settings.data_centre)
        self._log = decision_log.DecisionLog(observer=self._metrics)
        self._events = limit_events.LimitEvents(self._log, clock)
        relay = registry_relay.RegistryRelay(clock, settings.link_bytes_s)
        self._fleet = fleet.Fleet(
            settings,
            self._executor,
            clock,
            self._version,
            lambda member, version: None,
            self._fleet_changed,
            relay,
            lambda request: self._quotas.grant(request),
            self._events,
            self._links,
        )
        self._gather_roles = gather_roles.GatherRoles(lambda: self._fleet.view)
        self._fleet_share = fleet_share.FleetShare(
            settings.fleet,
            settings.host,
            lambda: self._fleet.hosts,
            clock,
            restarted=not settings.first_start,
            gather_hosts=lambda: self._gather_roles.names,
        )
        self._placement = placement.PlacementSetting(settings.placement)
        self._dialer = adapter.dialer(
            clock, settings.limits.reply_bytes, self._links
        )
        self._order = send_order.OrderSetting(settings.send_order)
        self._directory = directory.Directory(
            self._open_service, clock, self._log, self._order
        )
        self._connection_kinds = connection_kinds.ConnectionKinds(
            lambda: self._directory.routing
        )
        self._freshness = store_freshness.StoreFreshness(
            clock,
            self._log,
            lambda: self._directory.workspaces is not None,
            settings.revoke_s,
        )
        self._quotas = self._stack.enter_context(
            entry_quotas.EntryQuotas(
                settings.host,
                self._fleet,
                settings.quota,
                lambda: self._directory.workspaces,
                self._executor,
                clock,
                self._log,
                self._rng,
            )
        )
        self._drain = drain.Drain(clock)
        self._gather_hosts = self._stack.enter_context(
            gather_hosts.GatherHosts(
                self._fleet.own,
                self._gather_roles,
                self._fleet.dialer,
                self._executor,
                clock,
                self._log,
                self._rng,
            )
        )
        forwarder = forwarding.Forwarder(
            self._directory,
            clock,
            self._log,
            self._rng,
            self._metrics,
            self._drain,
            self._freshness,
            self._quotas.used,
            self._quotas.counts,
            running_requests.RunningRequests(
                settings.limits.callers.tasks, clock
            ),
            self._gather_hosts,
        )
        self._host_gathers = forwarder.gathers(
            gather_capacity.GatherCapacity(settings.link_bytes_s)
        )
        self._unanswered_sends = forwarder.unanswered_sends
        requests = host_requests.HostRequests(
            adapter, forwarder, lambda: self.ready
        )
        reports = host_reports.HostReports(
            self._metrics,
            self._freshness,
            forwarder.explainer,
            workspace_activity.ActivityReporter(
                settings.host,
                self._directory,
                self._freshness,
                self._quotas.counts,
                self._quotas.part,
            ),
            link_report.LinkReporter(settings.host, self._links, clock),
            adapter.given_key,
        )
        self._listeners = host_listeners.HostListeners(
            settings,
            host_listeners.RequestHandlers(
                requests.serve,
                requests.wants_body,
                requests.serve_readiness,
                reports.serve,
            ),
            self._limits,
            self._log,
            clock,
            self._links,
        )
        self._settings_fingerprint = adapter.settings_fingerprint()
        self._housekeeping = housekeeping.Housekeeping(
            self._expire_and_reload, clock
        )
        self._reader = registry_reader.RegistryReader(
            adapter.prefix,
            registry_source.RegistrySource(
                adapter.registry(settings.store_address, self._links),
                relay,
                self._stack.enter_context(
                    registry_connection.RegistryConnection(self._fleet.dialer)
                ),
                self._fleet.own,
                lambda: self._fleet.view,
                clock,
                freshness=self._freshness,
            ),
            adapter.decode,
            self._directory,
            clock,
            registry_reader.ReaderTimes(watch_s=settings.watch_s),
            self._rng,
            self._freshness,
        )

    @classmethod
    def from_adapter(
        cls, adapter: adapters.Adapter, clock: clocks.Clock | None = None
    ) -> 'EntryHost':
        """Build a host from the settings of an adapter.

        :raises SettingInvalid: a setting is missing or invalid.
        """
        return cls(adapter.settings(), adapter, clock or clocks.SystemClock())

    def __enter__(self) -> typing.Self:
        tasks: list[collections.abc.Callable[[], None]] = [
            self._housekeeping.run,
            self._reader.run,
        ]
        self._stack.enter_context(self._fleet)
        self._fleet.serve(self._host_gathers)
        for task in tasks:
            self._executor.submit(self._run, task)
        self._stack.enter_context(self._listeners)
        _LOG.info('started %s in %s', self.name, self._settings.data_centre)
        return self

    def close(self) -> None:
        """Close everything at once; ``wait`` runs a graceful shutdown."""
        self._reader.close()
        self._housekeeping.close()
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
        """Whether the host is ready to serve callers."""
        return (
            self._directory.complete
            and self._fleet.joined
            and not self._freshness.refuses_keys
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
        """Wait for ``stop``, then complete the accepted requests."""
        with self._condition:
            while not self._stopping:
                self._clock.wait(self._condition, None)
        self._shut_down()

    def reload(self) -> None:
        """Reload the settings and apply those that have changed.

        Changed addresses and limits of the machine take effect only when the
        process restarts.
        """
        self._settings_fingerprint = self._adapter.settings_fingerprint()
        try:
            settings = self._adapter.settings()
        except errors.SettingInvalid as error:
            _LOG.error(
                'reloading the settings failed, keeping the old ones: %s',
                error,
            )
            return
        changed = [
            field.name
            for field in attrs.fields(entry_settings.EntrySettings)
            if getattr(settings, field.name)
            != getattr(self._settings, field.name)
        ]
        _LOG.info('settings read anew, changed: %s', changed or 'nothing')
        self._fleet_share.set_bounds(settings.fleet)
        self._freshness.set_revoke_s(settings.revoke_s)
        self._quotas.set_bounds(settings.quota)
        self._placement.value = settings.placement
        self._order.value = settings.send_order
        self._reader.set_watch_s(settings.watch_s)
        self._settings = settings
        self._directory.refresh()

    def _shut_down(self) -> None:
        """Stop accepting and let requests in progress complete."""
        started_s = self._clock.monotonic()
        deadline = deadlines.Deadline(
            started_s + self._settings.grace_s - _EXIT_MARGIN_S
        )
        self._drain.begin(deadline.earlier(_LAST_ANSWER_MARGIN_S))
        _LOG.info('stopping %s, no longer ready', self.name)
        self._listeners.callers.closing = True
        with self._condition:
            self._clock.wait(self._condition, _LOAD_BALANCER_LAG_S)
        self._listeners.callers.stop_accepting()
        self._listeners.callers.close_idle()
        self._fleet.leave()
        if not self._listeners.callers.await_closed(deadline):
            _LOG.warning('callers are still connected after the grace period')

    def _version(self) -> int:
        routing = self._directory.routing
        return 0 if routing is None else routing.version

    def _fleet_changed(self) -> None:
        self._directory.refresh()

    def _limits(self) -> typing.Any:
        routing = self._directory.routing
        return None if routing is None else routing.limits

    def _open_service(self, name: str) -> service_searchers.ServiceSearchers:
        return service_searchers.ServiceSearchers(
            name,
            self._settings.data_centre,
            self._fleet_share,
            self._open_pool,
            self._clock,
            self._rng,
            self._placement,
        )

    def _open_pool(
        self, registration: registrations.Registration, connections: int
    ) -> pool.ConnectionPool[transports.SearcherTransport]:
        return pool.ConnectionPool(
            lambda: self._dialer.dial(registration),
            self._executor,
            self._clock,
            pool.PoolLimits(connections),
            lambda transport: transport.usable_until_s,
            self._events,
            self._connection_kinds.for_service(registration.service),
        )

    def _expire_and_reload(self) -> None:
        """Expire what is due and reload changed settings."""
        self._directory.expire()
        self._freshness.observe()
        self._quotas.expire()
        self._unanswered_sends.abort_overdue()
        self._directory.close_expired_connections()
        self._gather_hosts.refresh()
        if self._adapter.settings_fingerprint() != self._settings_fingerprint:
            self.reload()

    def _run(self, task: collections.abc.Callable[[], None]) -> None:
        try:
            task()
        except Exception:
            _LOG.exception('a background task of the host failed')
