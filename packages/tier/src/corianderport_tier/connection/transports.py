"""corianderport_tier.connection.transports

Interfaces of connections to upstreams, peers and the platform.
"""

import collections.abc
import typing

from corianderport_tier.process import handed_over
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import quota_messages
from corianderport_tier.request import forward_messages
from corianderport_tier.request import gather_messages
from corianderport_tier.request import messages
from corianderport_tier.version import configuration
from corianderport_tier.version import registrations

__all__ = [
    'PeerDialer',
    'PeerTransport',
    'Platform',
    'Registry',
    'SearcherDialer',
    'SearcherTransport',
    'SendCheck',
    'UpstreamDialer',
    'UpstreamTransport',
]


# Raises a Refusal if the request may no longer be sent.
SendCheck = collections.abc.Callable[[], None]


class UpstreamTransport(typing.Protocol):
    """Persistent connection to a searcher, used by a single task."""

    def search(
        self, call: messages.UpstreamSearch, timeout_s: float
    ) -> messages.UpstreamSearchReply | messages.UpstreamRefusal:
        """Send one attempt and wait for its reply.

        :raises ConnectionSilent: no reply arrived within the timeout.
        :raises ConnectionBroken: the connection was closed.
        """

    def act(
        self,
        call: messages.UpstreamAction,
        timeout_s: float,
        check: SendCheck,
    ) -> messages.UpstreamActionReply | messages.UpstreamRefusal:
        """Send an action exactly once and wait for its reply.

        :param check: called after connecting, before the first byte is
            sent; a Refusal that it raises ends the call with nothing sent.
        :raises ConnectFailed: no connection was opened; nothing was sent.
        :raises ConnectionSilent: no reply arrived within the timeout.
        :raises ConnectionBroken: the connection was closed.
        """

    def cancel(self, attempt_id: str, timeout_s: float) -> None:
        """Ask the searcher to stop an attempt."""

    def abort(self) -> None:
        """Abort the call in progress; called from another task.

        The aborted call raises ConnectionBroken or ConnectFailed.
        """

    def close(self) -> None:
        """Close the connection."""


class UpstreamDialer(typing.Protocol):
    """Opens connections to searchers."""

    def dial(
        self, searcher: configuration.Searcher, timeout_s: float
    ) -> UpstreamTransport:
        """Open a connection.

        :raises ConnectFailed: no connection within the timeout.
        """


class SearcherTransport(typing.Protocol):
    """Persistent connection to a searcher for forwarded requests."""

    @property
    def usable_until_s(self) -> float:
        """When the searcher may close the idle connection.

        In seconds of the monotonic clock; infinite if that is unknown.
        """

    def send(self, call: forward_messages.SearcherCall) -> None:
        """Send a request exactly once; ``receive`` has to follow.

        :raises ConnectionStale: nothing was sent.
        :raises ConnectionSilent: it was not sent by the deadline.
        :raises ConnectionBroken: the connection was closed.
        """

    def await_readable(self, timeout_s: float) -> bool:
        """Wait until bytes arrive or the connection is closed or aborted.

        :return: False if neither happened in time.
        """

    def receive(
        self, call: forward_messages.SearcherCall
    ) -> forward_messages.SearcherReply:
        """Wait for the response to the request that was sent.

        :raises ConnectionSilent: no complete response by the deadline.
        :raises ConnectionBroken: the connection was closed, or the response
            is invalid.
        """

    def abort(self) -> None:
        """Abort the exchange in progress; called from another task."""

    def close(self) -> None:
        """Close the connection."""


class SearcherDialer(typing.Protocol):
    """Opens connections to registered searchers."""

    def dial(
        self, registration: registrations.Registration
    ) -> SearcherTransport:
        """Open a connection.

        :raises ConnectFailed: no connection was opened; nothing was sent.
        """


class Registry(typing.Protocol):
    """Read-only access to the platform's store, used by a single task."""

    def read(self, prefix: str) -> registrations.StoredEntries:
        """Return all entries below a prefix.

        The returned revision is that of the first page, so that a watch
        from it misses no change.

        :raises TransportError: the store cannot be read.
        """

    def watch(
        self, prefix: str, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        """Wait for changes and return them in order.

        :raises HistoryGone: the store no longer retains the changes.
        :raises TransportError: the store cannot be read.
        """


class PeerTransport(typing.Protocol):
    """Persistent connection to another host, used by a single task."""

    def act_with_ticket(
        self, request: messages.ActionRequest, timeout_s: float
    ) -> messages.ActionAnswer:
        """Send an action to the host that owns its ticket.

        :raises NotOwner: the peer has no record of the ticket.
        :raises ConnectionSilent: no reply arrived within the timeout.
        :raises ConnectionBroken: the connection was closed.
        """

    def hand_over(self, part: handed_over.HandOver, timeout_s: float) -> None:
        """Send ticket outcomes to a successor."""

    def configuration(
        self, known_version: int, timeout_s: float
    ) -> bytes | None:
        """Return the peer's configuration if newer, else None."""

    def registry_changes(
        self, after: registrations.Revision, wait_s: float, timeout_s: float
    ) -> registrations.StoredEntries:
        """Wait for changes that the peer has read from the store.

        :raises HistoryGone: the peer no longer has all of the changes.
        :raises NotReady: the store has not answered the peer recently.
        """

    def registry_entries(
        self, timeout_s: float
    ) -> registrations.StoredEntries:
        """Return all entries of the store that the peer knows.

        :raises NotReady: the peer knows none.
        :raises NotRelayed: they are too large to be sent.
        """

    def quota(
        self, request: quota_messages.QuotaRequest, timeout_s: float
    ) -> quota_messages.QuotaGrant:
        """Ask for tokens of a workspace's quota.

        :raises NotOwner: the peer owns no part of the quota.
        :raises NotReady: the peer grants no tokens at present.
        :raises ConnectionSilent: no reply arrived within the timeout.
        :raises ConnectionBroken: the connection was closed.
        """

    def gather_availability(
        self, timeout_s: float
    ) -> gather_messages.GatherAvailability:
        """Ask whether the peer takes a gather now.

        :raises ConnectionSilent: no reply arrived within the timeout.
        :raises ConnectionBroken: the connection was closed.
        """

    def gather(
        self, call: gather_messages.GatherCall, timeout_s: float
    ) -> forward_messages.ForwardAnswer:
        """Give a gather to the peer and wait for its answer.

        :raises Refusal: the peer has sent nothing to a searcher.
        :raises ConnectionSilent: no reply arrived within the timeout.
        :raises ConnectionBroken: the connection was closed.
        """

    def abort(self) -> None:
        """Abort the call in progress; called from another task."""

    def heartbeat(
        self, message: heartbeats.Heartbeat, timeout_s: float
    ) -> heartbeats.Heartbeat:
        """Exchange heartbeats.

        :raises ConnectionSilent: no reply arrived within the timeout.
        :raises ConnectionBroken: the connection was closed.
        """

    def close(self) -> None:
        """Close the connection."""


class PeerDialer(typing.Protocol):
    """Opens authenticated connections to other hosts."""

    def dial(
        self, member: membership.Member, timeout_s: float
    ) -> PeerTransport:
        """Open a connection.

        :raises ConnectFailed: no connection within the timeout.
        :raises ConnectRefused: no process is listening on the address.
        """


class Platform(typing.Protocol):
    """The platform's configuration service and host list, read only."""

    def watch_configuration(
        self, after: int, timeout_s: float
    ) -> bytes | None:
        """Wait for a configuration newer than ``after``; None on timeout.

        :raises TransportError: the service cannot be read.
        """

    def hosts(
        self, timeout_s: float
    ) -> collections.abc.Sequence[membership.Member]:
        """Return the hosts that the platform lists.

        :raises TransportError: the list cannot be read.
        """
