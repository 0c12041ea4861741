"""corianderport_wire.connection.peer_client

Thrift connections to other hosts.
"""

import collections.abc
import socket
import threading
import typing

import thriftpy2.protocol
import thriftpy2.thrift
import thriftpy2.transport

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import handed_over
from corianderport_tier.process import heartbeats
from corianderport_tier.process import link_bytes
from corianderport_tier.process import membership
from corianderport_tier.process import quota_messages
from corianderport_tier.request import forward_messages
from corianderport_tier.request import gather_messages
from corianderport_tier.request import messages
from corianderport_tier.version import registrations
from corianderport_wire.connection import action_codec
from corianderport_wire.connection import counted_stream
from corianderport_wire.connection import deadline_stream
from corianderport_wire.connection import gather_codec
from corianderport_wire.connection import heartbeat_codec
from corianderport_wire.connection import peer_authentication
from corianderport_wire.connection import peer_codec
from corianderport_wire.connection import quota_codec
from corianderport_wire.connection import registry_codec
from corianderport_wire import faults

__all__ = ['ThriftPeerDialer', 'ThriftPeerTransport']

T = typing.TypeVar('T')

_MIN_TIMEOUT_S = 0.001


class ThriftPeerTransport:
    """A persistent connection to another host.

    :param stream: thriftpy2 socket.
    :param links: counts the bytes by kind and place.
    :param data_centre: that of the other host, empty if it is unknown.
    :param abort: ends the call in progress; not called after ``close``.
    """

    def __init__(
        self,
        stream: typing.Any,
        clock: clocks.Clock,
        links: link_bytes.LinkBytes,
        data_centre: str,
        abort: collections.abc.Callable[[], None],
    ) -> None:
        self._stream = deadline_stream.DeadlineStream(stream, clock)
        self._counted = counted_stream.CountedStream(
            self._stream, links, data_centre
        )
        self._clock = clock
        self._abort = abort
        self._lock = threading.Lock()
        self._closed = False
        transport = thriftpy2.transport.TFramedTransport(
            peer_authentication.FrameLimiter(
                self._counted, peer_codec.MAX_FRAME_BYTES
            )
        )
        protocol = thriftpy2.protocol.TBinaryProtocol(transport)
        self._client = thriftpy2.thrift.TClient(peer_codec.PEER.Peer, protocol)

    def act_with_ticket(
        self, request: messages.ActionRequest, timeout_s: float
    ) -> messages.ActionAnswer:
        """Send an action to the host that issued or took over its ticket."""
        fields = action_codec.request_to_thrift(request, self._clock)
        return action_codec.answer_from_thrift(
            self._call(self._client.act_with_ticket, fields, timeout_s)
        )

    def hand_over(self, part: handed_over.HandOver, timeout_s: float) -> None:
        """Send ticket outcomes and wait until the peer has stored them."""
        fields = action_codec.hand_over_to_thrift(part, self._clock)
        self._call(self._client.hand_over, fields, timeout_s)

    def configuration(
        self, known_version: int, timeout_s: float
    ) -> bytes | None:
        """Return the document if the peer's is newer, else None."""
        reply = self._call(
            self._client.configuration,
            known_version,
            timeout_s,
            link_bytes.LinkKind.REGISTRY_RELAY,
        )
        return typing.cast(bytes | None, reply.content)

    def heartbeat(
        self, message: heartbeats.Heartbeat, timeout_s: float
    ) -> heartbeats.Heartbeat:
        """Send a heartbeat and wait for the reply."""
        fields = heartbeat_codec.heartbeat_to_thrift(message)
        reply = heartbeat_codec.heartbeat_from_thrift(
            self._call(
                self._client.heartbeat,
                fields,
                timeout_s,
                link_bytes.LinkKind.HEARTBEAT,
            )
        )
        # Of a seed, only the address is known before.
        self._counted.data_centre = reply.sender.member.data_centre
        return reply

    def registry_changes(
        self, after: registrations.Revision, wait_s: float, timeout_s: float
    ) -> registrations.StoredEntries:
        """Wait for registry changes that the peer has read."""
        fields = registry_codec.request_to_thrift(after, wait_s)
        timer = registry_codec.CallTimer(self._clock)
        return timer.entries_from_thrift(
            self._call(
                self._client.news,
                fields,
                timeout_s,
                link_bytes.LinkKind.REGISTRY_RELAY,
            )
        )

    def registry_entries(
        self, timeout_s: float
    ) -> registrations.StoredEntries:
        """Return all registry entries that the peer knows."""
        timer = registry_codec.CallTimer(self._clock)
        return timer.entries_from_thrift(
            self._call(
                lambda _: self._client.entries(),
                None,
                timeout_s,
                link_bytes.LinkKind.REGISTRY_RELAY,
            )
        )

    def quota(
        self, request: quota_messages.QuotaRequest, timeout_s: float
    ) -> quota_messages.QuotaGrant:
        """Ask for tokens of a workspace's quota."""
        fields = quota_codec.request_to_thrift(request)
        return quota_codec.grant_from_thrift(
            self._call(
                self._client.quota,
                fields,
                timeout_s,
                link_bytes.LinkKind.QUOTA,
            )
        )

    def gather_availability(
        self, timeout_s: float
    ) -> gather_messages.GatherAvailability:
        """Ask whether the peer takes a gather now."""
        return gather_codec.availability_from_thrift(
            self._call(
                lambda _: self._client.gather_availability(),
                None,
                timeout_s,
                link_bytes.LinkKind.GATHER,
            )
        )

    def gather(
        self, call: gather_messages.GatherCall, timeout_s: float
    ) -> forward_messages.ForwardAnswer:
        """Give a gather to the peer and wait for its answer."""
        fields = gather_codec.call_to_thrift(call, self._clock)
        return gather_codec.answer_from_thrift(
            self._call(
                self._client.gather,
                fields,
                timeout_s,
                link_bytes.LinkKind.GATHER,
            )
        )

    def abort(self) -> None:
        """Abort the call in progress; called from another task."""
        with self._lock:
            if not self._closed:
                self._abort()

    def close(self) -> None:
        """Close the connection."""
        with self._lock:
            self._closed = True
            self._counted.close()

    def _call(
        self,
        method: collections.abc.Callable[[typing.Any], typing.Any],
        argument: object,
        timeout_s: float,
        kind: link_bytes.LinkKind = link_bytes.LinkKind.OTHER_PEER,
    ) -> typing.Any:
        self._stream.begin_call(max(_MIN_TIMEOUT_S, timeout_s))
        self._counted.begin_call(kind)
        try:
            return method(argument)
        except peer_codec.PEER.Refused as refused:
            raise faults.from_code(refused.code, refused.text) from refused
        except TimeoutError as error:
            raise errors.ConnectionSilent(str(error)) from error
        except (OSError, EOFError, thriftpy2.thrift.TException) as error:
            raise errors.ConnectionBroken(str(error)) from error


class ThriftPeerDialer:
    """Opens connections to other hosts.

    :param links: counts the bytes by kind and place.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        keys: peer_authentication.SharedKeys,
        links: link_bytes.LinkBytes | None = None,
    ) -> None:
        self._clock = clock
        self._keys = keys
        self._links = links or link_bytes.LinkBytes()

    def dial(
        self, member: membership.Member, timeout_s: float
    ) -> ThriftPeerTransport:
        """Open a connection and authenticate both sides.

        :raises ConnectFailed: connecting or authenticating failed or timed
            out.
        :raises ConnectRefused: no process listens on the address.
        """
        host, _, port = member.peer_address.rpartition(':')
        peer = f'{member.name} at {member.peer_address}'
        try:
            connection = socket.create_connection((host, int(port)), timeout_s)
        except ConnectionRefusedError as error:
            raise errors.ConnectRefused(f'{peer}: {error}') from error
        except (OSError, OverflowError, ValueError) as error:
            # Any text may have come as an address in a rumour.
            raise errors.ConnectFailed(f'{peer}: {error}') from error
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            peer_authentication.authenticate_to_server(
                connection, self._keys, self._clock, timeout_s
            )
        except (OSError, errors.Unauthenticated) as error:
            connection.close()
            raise errors.ConnectFailed(f'{peer}: {error}') from error
        link = self._links.link(
            link_bytes.LinkKind.OTHER_PEER, member.data_centre
        )
        link.sent(
            peer_authentication.CLIENT_BYTES, peer_authentication.MESSAGES
        )
        link.received(
            peer_authentication.SERVER_BYTES, peer_authentication.MESSAGES
        )
        stream = thriftpy2.transport.TSocket(sock=connection)
        return ThriftPeerTransport(
            stream,
            self._clock,
            self._links,
            member.data_centre,
            lambda: _shut_down(connection),
        )


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # No longer connected.
        return
