"""corianderport_daemon.process.daemon

Builds the parts of one host and runs them.
"""

import concurrent.futures
import contextlib
import random
import threading
import types
import typing

from corianderport_daemon.process import control_plane
from corianderport_daemon.process import settings as settings_module
from corianderport_tier import clocks
from corianderport_tier.process import administration
from corianderport_tier.process import aggregator
from corianderport_tier.process import configuration_store
from corianderport_tier.process import decision_log
from corianderport_tier.process import entry
from corianderport_tier.process import metrics
from corianderport_tier.process import owned_services
from corianderport_tier.process import routing
from corianderport_tier.process import selection
from corianderport_wire.connection import http_server
from corianderport_wire.connection import upstream_client
from corianderport_wire.request import admin_app
from corianderport_wire.request import caller_app
from corianderport_wire.version import document

__all__ = ['Daemon']

_ADMIN_CONNECTIONS = 32


class Daemon:
    """One host with both roles."""

    def __init__(
        self, settings: settings_module.Settings, clock: clocks.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._stack = contextlib.ExitStack()
        self._stopped = threading.Event()

    @classmethod
    def from_settings(cls, settings: settings_module.Settings) -> 'Daemon':
        """Return a daemon that reads the clock of the runtime."""
        return cls(settings, clocks.SystemClock())

    def __enter__(self) -> typing.Self:
        with self._stack:
            self._start()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._stack.close()

    @property
    def caller_address(self) -> str:
        """Where callers connect, ``ip:port``."""
        return self._caller_server.address

    @property
    def peer_address(self) -> str:
        """Where other hosts connect, ``ip:port``."""
        return self._control.peer_address

    @property
    def admin_address(self) -> str:
        """Where operators read the state, ``ip:port``."""
        return self._admin_server.address

    def stop(self) -> None:
        """End ``wait``."""
        self._stopped.set()

    def wait(self) -> None:
        """Return when the daemon is asked to stop."""
        self._stopped.wait()

    def _start(self) -> None:
        settings = self._settings
        self._executor = concurrent.futures.ThreadPoolExecutor(
            settings.tasks, thread_name_prefix='task'
        )
        self._stack.callback(self._executor.shutdown, wait=False)
        self._metrics = metrics.Metrics()
        self._log = decision_log.DecisionLog(observer=self._metrics)
        self._store = configuration_store.ConfigurationStore(
            document.JsonDocument(), self._clock
        )
        self._start_control()
        self._start_aggregator()
        self._start_entry()
        self._control.start(self._local)

    def _start_control(self) -> None:
        self._control = self._stack.enter_context(
            control_plane.ControlPlane(
                self._settings, self._store, self._executor, self._clock
            )
        )

    def _start_aggregator(self) -> None:
        self._services = self._stack.enter_context(
            owned_services.OwnedServices(
                self._store,
                upstream_client.HttpUpstreamDialer(self._clock),
                self._executor,
                self._clock,
                selection.policy(self._settings.selection),
                random.Random(),
            )
        )
        self._local = aggregator.LocalAggregator(
            self._services,
            self._executor,
            self._clock,
            self._log,
            self._control.leases,
        )

    def _start_entry(self) -> None:
        router = routing.Router(
            self._control.owners,
            self._control.members,
            self._local,
            self._control.remote,
        )
        self._start_administration()
        application = caller_app.CallerApp(
            entry.Entry(self._store, router, self._clock, self._log),
            self._clock,
            caller_app.CallerLimits(body_bytes=self._settings.body_bytes),
            self._metrics,
        )
        host, port = _split(self._settings.caller_address)
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
            self._control.owners,
            self._services,
            self._log,
            self._metrics,
            self._stopped.is_set,
        )
        host, port = _split(self._settings.admin_address)
        self._admin_server = http_server.HttpServer(
            host,
            port,
            admin_app.AdminApp(view),
            _ADMIN_CONNECTIONS,
            self._settings.caller_idle_s,
        )
        self._stack.callback(self._admin_server.close)
        self._admin_server.start()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
