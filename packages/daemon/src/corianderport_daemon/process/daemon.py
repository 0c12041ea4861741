"""corianderport_daemon.process.daemon

Builds the components of a host and runs them.
"""

import concurrent.futures
import contextlib
import random
import threading
import typing

from corianderport_daemon.process import control_plane
from corianderport_daemon.process import peer_handler
from corianderport_daemon.process import settings as settings_module
from corianderport_tier import clocks
from corianderport_tier import closing
from corianderport_tier.process import action_service
from corianderport_tier.process import administration
from corianderport_tier.process import aggregator
from corianderport_tier.process import configuration_store
from corianderport_tier.process import decision_log
from corianderport_tier.process import drain
from corianderport_tier.process import entry
from corianderport_tier.process import hand_over
from corianderport_tier.process import handed_over
from corianderport_tier.process import metrics
from corianderport_tier.process import selection
from corianderport_tier.process import shutdown
from corianderport_tier.process import ticket_table
from corianderport_tier.process import tickets
from corianderport_tier.process import upstream_services
from corianderport_tier.process import warming_hosts
from corianderport_tier.request import actions
from corianderport_tier.request import messages
from corianderport_wire.connection import http_server
from corianderport_wire.connection import upstream_client
from corianderport_wire.request import admin_app
from corianderport_wire.request import caller_app
from corianderport_wire.version import document

__all__ = ['Daemon']

_ADMIN_CONNECTIONS = 32


class Daemon(closing.Closing):
    """One host, with the entry and the aggregator role."""

    def __init__(
        self, settings: settings_module.Settings, clock: clocks.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._stack = contextlib.ExitStack()
        self._stopped = threading.Event()
        self._caller_gate = shutdown.RequestGate(clock)
        self._peer_gate = shutdown.RequestGate(clock)
        self._drain = drain.Drain(clock)

    @classmethod
    def from_settings(cls, settings: settings_module.Settings) -> 'Daemon':
        """Return a daemon that uses the system clock."""
        return cls(settings, clocks.SystemClock())

    def __enter__(self) -> typing.Self:
        with self._stack:
            self._start()
            self._stack = self._stack.pop_all()
        return self

    def close(self) -> None:
        """Close everything at once; ``wait`` runs a graceful shutdown."""
        self._stack.close()

    @property
    def caller_address(self) -> str:
        """Address that callers connect to, ``ip:port``."""
        return self._caller_server.address

    @property
    def peer_address(self) -> str:
        """Address that other hosts connect to, ``ip:port``."""
        return self._control.peer_address

    @property
    def admin_address(self) -> str:
        """Address of the administration interface, ``ip:port``."""
        return self._admin_server.address

    def stop(self) -> None:
        """Begin the graceful shutdown; a second call cuts it short."""
        if self._stopped.is_set():
            self._graceful_shutdown.interrupt()
        self._stopped.set()

    def wait(self) -> shutdown.ShutdownReport:
        """Wait for ``stop``, then run the graceful shutdown."""
        self._stopped.wait()
        return self._graceful_shutdown.run()

    def _start(self) -> None:
        settings = self._settings
        self._executor = concurrent.futures.ThreadPoolExecutor(
            settings.tasks, thread_name_prefix='task'
        )
        self._stack.callback(self._executor.shutdown, wait=False)
        self._metrics = metrics.Metrics()
        self._log = decision_log.DecisionLog(observer=self._metrics)
        self._store = configuration_store.ConfigurationStore(
            document.DocumentCodec(), self._clock
        )
        self._readiness = shutdown.Readiness(
            self._store, self._settings.data_centre
        )
        self._received_outcomes = handed_over.HandedOverTickets(self._clock)
        self._start_control()
        self._start_aggregator()
        self._start_entry()
        self._control.start(self._peer_handler)

    def _start_control(self) -> None:
        self._control = self._stack.enter_context(
            control_plane.ControlPlane(
                self._settings, self._store, self._executor, self._clock
            )
        )

    def _start_aggregator(self) -> None:
        self._services = self._stack.enter_context(
            upstream_services.UpstreamServices(
                self._store,
                upstream_client.HttpUpstreamDialer(self._clock),
                self._executor,
                self._clock,
                selection.policy(self._settings.selection),
                random.Random(),
                warming_hosts.WarmingHosts(
                    self._control.members, self._store.region_of
                ),
            )
        )
        self._aggregator = aggregator.LocalAggregator(
            self._services, self._clock, self._log, self._drain
        )

    def _start_entry(self) -> None:
        service = self._build_actions()
        self._peer_handler = peer_handler.PeerHandler(
            self._store,
            self._control.exchange,
            service,
            self._received_outcomes,
            self._peer_gate,
        )
        self._graceful_shutdown = self._build_shutdown()
        self._start_administration()
        application = caller_app.CallerApp(
            entry.EntryService(
                self._store,
                self._aggregator,
                service,
                self._caller_gate,
                self._clock,
            ),
            self._clock,
            caller_app.CallerLimits(body_bytes=self._settings.body_bytes),
            self._readiness,
            self._metrics,
        )
        host, port = _split_address(self._settings.caller_address)
        self._caller_server = http_server.HttpServer(
            host,
            port,
            application,
            self._settings.caller_connections,
            self._settings.caller_idle_s,
        )
        self._stack.callback(self._caller_server.close)
        self._caller_server.start()

    def _start_administration(self) -> None:
        view = administration.Administration(
            self._store,
            self._control.members,
            self._services,
            self._log,
            self._metrics,
            self._stopped.is_set,
        )
        host, port = _split_address(self._settings.admin_address)
        self._admin_server = http_server.HttpServer(
            host,
            port,
            admin_app.AdminApp(view),
            _ADMIN_CONNECTIONS,
            self._settings.caller_idle_s,
        )
        self._stack.callback(self._admin_server.close)
        self._admin_server.start()

    def _build_actions(self) -> action_service.ActionService:
        settings = self._settings
        signer = tickets.TicketSigner.from_config(settings.shared_keys)
        self._tickets = ticket_table.TicketTable(
            settings.host,
            self._control.members.own.incarnation,
            signer,
            ticket_table.TicketLimits(
                settings.ticket_lifetime_ms,
                settings.ticket_retention_ms,
                settings.open_tickets,
            ),
            self._clock,
        )

        def run(request: messages.ActionRequest) -> messages.ActionAnswer:
            return actions.ActionTask(
                request, self._store.current(), self._aggregator, self._clock
            ).run()

        return action_service.ActionService(
            self._tickets,
            self._received_outcomes,
            signer,
            self._control.members,
            self._control.remote_peers,
            run,
            self._clock,
        )

    def _build_shutdown(self) -> shutdown.GracefulShutdown:
        task = hand_over.HandOverTask(
            self._tickets,
            self._received_outcomes,
            self._control.members,
            self._control.remote_peers,
            self._clock,
        )
        return shutdown.GracefulShutdown(
            self._readiness,
            self._caller_gate,
            self._peer_gate,
            self._drain,
            self._control.leave,
            self._tickets.seal,
            task.run,
            shutdown.ShutdownTimes(
                self._settings.drain_lag_s, self._settings.drain_limit_s
            ),
            self._clock,
        )


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
