"""corianderport_tier.connection.transports

Protocols of one connection to an upstream or a peer.
"""

import collections.abc
import typing

from corianderport_tier.process import handed_over
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.request import forward_messages
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


# Raises a Refusal when the request may no longer be sent.
SendCheck = collections.abc.Callable[[], None]


class UpstreamTransport(typing.Protocol):
    """One persistent connection to a searcher, used by one task."""

    def search(
        self, call: messages.UpstreamSearch, timeout_s: float
    ) -> messages.UpstreamSearchReply | messages.UpstreamRefusal:
        """Send one attempt and wait for its reply.

        :raises ConnectionSilent: nothing arrived within the timeout.
        :raises ConnectionBroken: the connection ended.
        """

    def act(
        self,
        call: messages.UpstreamAction,
        timeout_s: float,
        check: SendCheck,
    ) -> messages.UpstreamActionReply | messages.UpstreamRefusal:
        """Send one action once and wait for its reply.

        :param check: called on a new connection, before the first byte is
            sent; its Refusal ends the call with nothing sent.
        :raises ConnectFailed: no connection was opened; nothing was sent.
        :raises ConnectionSilent: nothing arrived within the timeout.
        :raises ConnectionBroken: the connection ended.
        """

    def cancel(self, attempt_id: str, timeout_s: float) -> None:
        """Ask the searcher to stop an attempt."""

    def abort(self) -> None:
        """End the call in progress, from another task.

        The call raises ConnectionBroken or ConnectFailed.
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
    """One persistent connection to a searcher that serves routes."""

    def exchange(
        self, call: forward_messages.SearcherCall
    ) -> forward_messages.SearcherReply:
        """Send a request once and wait for its whole answer.

        :raises ConnectionStale: nothing was sent.
        :raises ConnectionSilent: no whole answer by the deadline.
        :raises ConnectionBroken: the connection ended, or what arrived is
            no answer.
        """

    def abort(self) -> None:
        """End the exchange in progress, from another task."""

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
    """The platform's store, read only; used by one task."""

    def read_entries(self, prefix: str) -> registrations.StoredEntries:
        """Return all entries below a prefix.

        The revision is that of the first page, so that a watch from there
        misses nothing.

        :raises TransportError: the store cannot be read.
        """

    def watch_changes(
        self, prefix: str, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        """Wait for changes and return them in their order.

        :raises HistoryGone: the changes are not to be had any more.
        :raises TransportError: the store cannot be read.
        """


class PeerTransport(typing.Protocol):
    """One persistent connection to another host, used by one task."""

    def act_with_ticket(
        self, request: messages.ActionRequest, timeout_s: float
    ) -> messages.ActionAnswer:
        """Send an action to the host that knows its ticket.

        :raises NotOwner: the peer knows nothing of the ticket.
        :raises ConnectionSilent: nothing arrived within the timeout.
        :raises ConnectionBroken: the connection ended.
        """

    def hand_over(self, part: handed_over.HandOver, timeout_s: float) -> None:
        """Send ticket outcomes to a successor."""

    def configuration(
        self, known_version: int, timeout_s: float
    ) -> bytes | None:
        """Return the peer's document when it is newer, else None."""

    def registry_changes(
        self, after: registrations.Revision, wait_s: float, timeout_s: float
    ) -> registrations.StoredEntries:
        """Wait for changes that the peer has read from the store.

        :raises HistoryGone: the peer does not know all of them.
        :raises NotReady: the peer has not heard of the store just now.
        """

    def heartbeat(
        self, message: heartbeats.Heartbeat, timeout_s: float
    ) -> heartbeats.Heartbeat:
        """Exchange heartbeats; errors as above."""

    def close(self) -> None:
        """Close the connection."""


class PeerDialer(typing.Protocol):
    """Opens authenticated connections to other hosts."""

    def dial(
        self, member: membership.Member, timeout_s: float
    ) -> PeerTransport:
        """Open a connection.

        :raises ConnectFailed: no connection within the timeout.
        :raises ConnectRefused: no process listens on the address.
        """


class Platform(typing.Protocol):
    """The platform's configuration service and host list, read only."""

    def watch_configuration(
        self, after: int, timeout_s: float
    ) -> bytes | None:
        """Wait for a document newer than a version, else None.

        :raises TransportError: the service cannot be read.
        """

    def hosts(
        self, timeout_s: float
    ) -> collections.abc.Sequence[membership.Member]:
        """Return the hosts that the platform lists.

        :raises TransportError: the list cannot be read.
        """
