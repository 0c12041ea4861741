"""corianderport_daemon.process.control_plane

Builds the components that coordinate the hosts, and runs their tasks.
"""

import concurrent.futures
import contextlib
import random

from corianderport_daemon.process import incarnations
from corianderport_daemon.process import settings as settings_module
from corianderport_tier import clocks
from corianderport_tier import closing
from corianderport_tier.process import configuration_puller
from corianderport_tier.process import configuration_store
from corianderport_tier.process import heartbeat_sender
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import membership_task
from corianderport_tier.process import peers
from corianderport_tier.process import readers
from corianderport_wire.connection import peer_authentication
from corianderport_wire.connection import peer_calls
from corianderport_wire.connection import peer_client
from corianderport_wire.connection import peer_server
from corianderport_wire.connection import platform_client

__all__ = ['ControlPlane']


class ControlPlane(closing.Closing):
    """Membership and configuration distribution of one host."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: configuration_store.ConfigurationStore,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
    ) -> None:
        self._settings = settings
        self._store = store
        self._executor = executor
        self._clock = clock
        self._stack = contextlib.ExitStack()
        keys = peer_authentication.SharedKeys.from_text(settings.shared_keys)
        self._dialer = peer_client.ThriftPeerDialer(clock, keys)
        host, _, port = settings.peer_address.rpartition(':')
        self._server = peer_server.PeerServer(
            host, int(port), clock, settings.peer_connections, keys
        )
        self._stack.callback(self._server.close)
        self._build_components()

    def close(self) -> None:
        """Stop all tasks and close all connections."""
        self._stack.close()

    @property
    def peer_address(self) -> str:
        """Address that other hosts connect to, ``ip:port``."""
        return self._server.address

    def start(self, service: peer_calls.PeerService) -> None:
        """Start the peer server and all tasks."""
        self._server.start(service)
        self._store.add_listener(self.control.version_changed)
        platform = self._settings.platform
        times = readers.ReaderTimes()
        tasks: list[
            readers.ConfigurationReader
            | readers.HostListReader
            | membership_task.MembershipTask
        ] = [
            self.control,
            readers.ConfigurationReader(
                platform_client.PlatformClient(platform),
                self._store,
                self._clock,
                times,
                self._is_active_reader,
            ),
            readers.HostListReader(
                platform_client.PlatformClient(platform),
                self.members,
                self._clock,
                times,
            ),
        ]
        for task in tasks:
            self._stack.callback(task.close)
            self._executor.submit(task.run)

    def leave(self) -> None:
        """Announce to the other hosts at once that this one is leaving."""
        self.members.leave()
        self.control.version_changed()

    def _build_components(self) -> None:
        period_s = self._settings.heartbeat_s
        own = membership.Member(
            self._settings.host,
            self._settings.data_centre,
            self._server.address,
            incarnation=incarnations.new_incarnation(self._clock),
        )
        self.members = membership.Membership(
            own,
            self._clock,
            self._store.region_of,
            membership.MembershipTimes(3 * period_s, 2.5 * period_s),
        )
        self.remote_peers = self._stack.enter_context(
            peers.Peers(self._dialer, self._executor, self._clock)
        )
        puller = configuration_puller.ConfigurationPuller(
            self._store, self.remote_peers
        )
        self.exchange = heartbeats.HeartbeatExchange(
            self.members,
            lambda: self._store.version,
            puller.on_version,
        )
        self.control = membership_task.MembershipTask(
            self.members,
            self._store.region_of,
            self.exchange,
            self._dialer,
            self._executor,
            self._clock,
            membership_task.MembershipTaskTimes(
                heartbeat_sender.HeartbeatTimes(period_s, period_s)
            ),
            random.Random(),
        )

    def _is_active_reader(self) -> bool:
        # A host without a configuration asks its peers first, since the
        # configuration service may return an older version than they have.
        may_ask_service = self._store.version > 0 or self.control.joined
        return may_ask_service and readers.is_reader(self.members)
