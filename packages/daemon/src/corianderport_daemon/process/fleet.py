"""corianderport_daemon.process.fleet

Builds the membership components of hosts that send directly to searchers.
"""

import collections.abc
import concurrent.futures
import contextlib
import random
import typing

from corianderport_daemon.process import entry_settings
from corianderport_daemon.process import gossip_handler
from corianderport_daemon.process import incarnations
from corianderport_tier import clocks
from corianderport_tier import closing
from corianderport_tier.process import gossip
from corianderport_tier.process import heartbeats
from corianderport_tier.process import host_places
from corianderport_tier.process import limit_events
from corianderport_tier.process import link_bytes
from corianderport_tier.process import membership
from corianderport_tier.process import quota_hosts
from corianderport_tier.process import registry_relay
from corianderport_tier.request import host_gathers
from corianderport_wire.connection import peer_authentication
from corianderport_wire.connection import peer_client
from corianderport_wire.connection import peer_server

__all__ = ['Fleet']

# A host that owns parts of quotas has a connection from each host that uses
# them, and a seed has one from each host that has just started, besides those
# for heartbeats and registry changes. The largest deployment has 195 hosts.
_PEER_CONNECTIONS = 450


class Fleet(closing.Closing):
    """Membership of the fleet and the gossip task that keeps it up to date.

    :param version: returns the current version of the routing.
    :param on_version: called with the version of each host.
    :param on_change: called after the number of hosts has changed.
    :param relay: provides registry changes to other hosts.
    :param grant: grants tokens of quotas to other hosts.
    :param events: counts calls of other hosts that failed unexpectedly.
    :param links: counts the bytes between hosts.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        version: collections.abc.Callable[[], int],
        on_version: heartbeats.VersionCallback,
        on_change: collections.abc.Callable[[], None],
        relay: registry_relay.RegistryRelay,
        grant: gossip_handler.Grant,
        events: limit_events.LimitEvents,
        links: link_bytes.LinkBytes,
    ) -> None:
        self._executor = executor
        self._stack = contextlib.ExitStack()
        keys = peer_authentication.SharedKeys.from_text(settings.shared_keys)
        host, _, port = settings.peer_address.rpartition(':')
        places = host_places.HostPlaces(lambda: self._members.view)
        self._server = peer_server.PeerServer(
            host,
            int(port),
            clock,
            _PEER_CONNECTIONS,
            keys,
            events,
            links,
            places.data_centre,
        )
        self._stack.callback(self._server.close)
        own = membership.Member(
            settings.host,
            settings.data_centre,
            self._server.address,
            incarnation=incarnations.new_incarnation(clock),
            link_bytes_s=settings.link_bytes_s,
        )
        region_of = settings.regions.get
        self._members = membership.Membership(own, clock, region_of)
        self._relay = relay
        self._grant = grant
        self.dialer = peer_client.ThriftPeerDialer(clock, keys, links)
        self._exchange = heartbeats.HeartbeatExchange(
            self._members, version, on_version
        )
        self._gossip = gossip.Gossip(
            self._members,
            self._exchange,
            self.dialer,
            region_of,
            settings.seeds,
            executor,
            clock,
            gossip.GossipTimes(
                starting_s=quota_hosts.YOUNG_S if settings.quota else 0.0
            ),
            random.Random(),
            on_change,
        )
        self._stack.callback(self._gossip.close)
        self.quota_hosts = quota_hosts.MembershipHosts(
            self._members,
            lambda: self._gossip.hosts,
            lambda: self._gossip.joined,
            lambda: self._gossip.known_seeds,
            lambda: self._gossip.confirmed_in_s,
            incarnations.started_s,
            clock,
        )

    def __enter__(self) -> typing.Self:
        self._executor.submit(self._gossip.run)
        return self

    def serve(self, gathers: host_gathers.HostGathers) -> None:
        """Accept the calls of other hosts."""
        self._server.start(
            gossip_handler.GossipHandler(
                self._exchange, self._relay, self._grant, gathers
            )
        )

    def close(self) -> None:
        """Stop the task and close all connections."""
        self._stack.close()

    @property
    def own(self) -> membership.Member:
        """This host."""
        return self._members.own

    @property
    def view(self) -> membership.View:
        """The current view of the membership."""
        return self._members.view

    @property
    def hosts(self) -> tuple[str, ...]:
        """Names of the hosts that may be sending to searchers."""
        return self._gossip.hosts

    @property
    def joined(self) -> bool:
        """Whether the seeds have responded or timed out."""
        return self._gossip.joined

    def process_ended(self, member: membership.Member) -> None:
        """Handle an address on which no process listens any more."""
        self._members.suspect(member, gone=True)

    def leave(self) -> None:
        """Announce to the other hosts that this one is leaving."""
        self._gossip.leave()
