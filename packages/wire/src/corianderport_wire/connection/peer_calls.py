"""corianderport_wire.connection.peer_calls

Decodes the calls of other hosts, passes them on and encodes the replies.
"""

import collections.abc
import socket
import typing

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import handed_over
from corianderport_tier.process import heartbeats
from corianderport_tier.process import link_bytes
from corianderport_tier.process import quota_messages
from corianderport_tier.request import forward_messages
from corianderport_tier.request import gather_messages
from corianderport_tier.request import messages
from corianderport_tier.request import request_context
from corianderport_tier.version import registrations
from corianderport_wire.connection import action_codec
from corianderport_wire.connection import counted_stream
from corianderport_wire.connection import disconnect_watcher
from corianderport_wire.connection import gather_codec
from corianderport_wire.connection import heartbeat_codec
from corianderport_wire.connection import peer_codec
from corianderport_wire.connection import quota_codec
from corianderport_wire.connection import registry_codec

__all__ = ['PeerCalls', 'PeerConnection', 'PeerService']


class PeerService(typing.Protocol):
    """Calls that a host serves to other hosts."""

    def heartbeat(self, message: heartbeats.Heartbeat) -> heartbeats.Heartbeat:
        """Process a heartbeat and return the reply."""

    def act_with_ticket(
        self, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        """Run an action whose ticket this host issued or took over.

        :raises CorianderportError: its result code is sent to the peer.
        """

    def hand_over(self, part: handed_over.HandOver) -> None:
        """Store ticket outcomes of a host that is shutting down."""

    def registry_changes(
        self, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        """Wait for changes after a revision and return them."""

    def registry_entries(self) -> registrations.StoredEntries:
        """Return all registry entries that this host knows."""

    def quota(
        self, request: quota_messages.QuotaRequest
    ) -> quota_messages.QuotaGrant:
        """Grant tokens of a workspace's quota.

        :raises CorianderportError: its result code is sent to the peer.
        """

    def gather_availability(self) -> gather_messages.GatherAvailability:
        """Return whether this host takes a gather now."""

    def gather(
        self,
        call: gather_messages.GatherCall,
        caller: request_context.DisconnectWatch,
    ) -> forward_messages.ForwardAnswer | None:
        """Gather the parts of a request of another host.

        :return: None if the other host disconnected.
        :raises CorianderportError: its result code is sent to the peer.
        """

    def document(self, known_version: int) -> tuple[int, bytes | None]:
        """Return the current version, and its document if it is newer."""


class PeerConnection:
    """The connection of a host that waits for the end of its call."""

    def __init__(
        self,
        connection: socket.socket,
        watcher: disconnect_watcher.DisconnectWatcher,
    ) -> None:
        self._connection = connection
        self._watcher = watcher

    def watch(
        self, on_disconnect: collections.abc.Callable[[], None]
    ) -> typing.ContextManager[object]:
        """Call ``on_disconnect`` on a close within the context."""
        return self._watcher.watching(self._connection, on_disconnect)


class PeerCalls:
    """Decodes the calls of one connection and encodes the replies.

    The methods have the names of the calls in ``peer.thrift``.
    """

    def __init__(
        self,
        service: PeerService,
        clock: clocks.Clock,
        stream: counted_stream.CountedStream,
        peer: PeerConnection,
    ) -> None:
        self._service = service
        self._clock = clock
        self._stream = stream
        self._peer = peer

    def heartbeat(self, message: typing.Any) -> typing.Any:
        decoded = heartbeat_codec.heartbeat_from_thrift(message)
        self._stream.data_centre = decoded.sender.member.data_centre
        self._stream.begin_call(link_bytes.LinkKind.HEARTBEAT)
        return heartbeat_codec.heartbeat_to_thrift(
            self._service.heartbeat(decoded)
        )

    def act_with_ticket(self, request: typing.Any) -> typing.Any:
        self._stream.begin_call(link_bytes.LinkKind.OTHER_PEER)
        decoded = action_codec.request_from_thrift(request, self._clock)
        try:
            answer = self._service.act_with_ticket(decoded)
        except errors.CorianderportError as error:
            raise _refused(error) from error
        return action_codec.answer_to_thrift(answer)

    def hand_over(self, part: typing.Any) -> None:
        self._stream.begin_call(link_bytes.LinkKind.OTHER_PEER)
        decoded = action_codec.hand_over_from_thrift(part, self._clock)
        try:
            self._service.hand_over(decoded)
        except errors.CorianderportError as error:
            raise _refused(error) from error

    def news(self, request: typing.Any) -> typing.Any:
        self._stream.begin_call(link_bytes.LinkKind.REGISTRY_RELAY)
        timer = registry_codec.CallTimer(self._clock)
        try:
            stored = self._service.registry_changes(
                request.after, request.wait_ms / 1e3
            )
        except errors.CorianderportError as error:
            raise _refused(error) from error
        return timer.entries_to_thrift(stored)

    def entries(self) -> typing.Any:
        self._stream.begin_call(link_bytes.LinkKind.REGISTRY_RELAY)
        timer = registry_codec.CallTimer(self._clock)
        try:
            stored = self._service.registry_entries()
        except errors.CorianderportError as error:
            raise _refused(error) from error
        return timer.entries_to_thrift(stored)

    def quota(self, request: typing.Any) -> typing.Any:
        self._stream.begin_call(link_bytes.LinkKind.QUOTA)
        try:
            decoded = quota_codec.request_from_thrift(request)
            grant = self._service.quota(decoded)
        except errors.CorianderportError as error:
            raise _refused(error) from error
        return quota_codec.grant_to_thrift(grant)

    def gather_availability(self) -> typing.Any:
        self._stream.begin_call(link_bytes.LinkKind.GATHER)
        try:
            availability = self._service.gather_availability()
        except errors.CorianderportError as error:
            raise _refused(error) from error
        return gather_codec.availability_to_thrift(availability)

    def gather(self, call: typing.Any) -> typing.Any:
        self._stream.begin_call(link_bytes.LinkKind.GATHER)
        try:
            decoded = gather_codec.call_from_thrift(call, self._clock)
            answer = self._service.gather(decoded, self._peer)
        except errors.CorianderportError as error:
            raise _refused(error) from error
        if answer is None:
            raise ConnectionResetError('the other host has disconnected')
        return gather_codec.answer_to_thrift(answer)

    def configuration(self, known_version: int) -> typing.Any:
        self._stream.begin_call(link_bytes.LinkKind.REGISTRY_RELAY)
        try:
            version, content = self._service.document(known_version)
        except errors.CorianderportError as error:
            raise _refused(error) from error
        return peer_codec.PEER.Document(version=version, content=content)


def _refused(error: errors.CorianderportError) -> Exception:
    refused: Exception = peer_codec.PEER.Refused(
        code=int(error.code), text=str(error)
    )
    return refused
