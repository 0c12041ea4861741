"""corianderport_wire.connection.peer_server

Thrift server for other hosts; each connection is served on its own task.
"""

import collections.abc
import concurrent.futures
import logging
import socket
import threading
import typing

import thriftpy2.protocol
import thriftpy2.thrift
import thriftpy2.transport

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import limit_events
from corianderport_tier.process import link_bytes
from corianderport_wire.connection import acceptor
from corianderport_wire.connection import counted_stream
from corianderport_wire.connection import disconnect_watcher
from corianderport_wire.connection import peer_authentication
from corianderport_wire.connection import peer_calls
from corianderport_wire.connection import peer_codec

__all__ = ['PeerServer']

_LOG = logging.getLogger(__name__)
_BACKLOG = 128
# Maximum number of connections authenticated concurrently.
_MAX_UNAUTHENTICATED = 32
_AUTHENTICATION_TIMEOUT_S = 1.0
_CLOSE_TIMEOUT_S = 1.0


DataCentreOf = collections.abc.Callable[[str], str]


def _unknown_data_centre(ip: str) -> str:
    return ''


class PeerServer:
    """Accepts connections of other hosts.

    :param host: IP address to listen on.
    :param port: port to listen on; 0 picks a free one.
    :param connections: maximum number of concurrent connections; further
        ones are closed.
    :param keys: a client must prove that it holds one of these keys.
    :param events: counts calls that failed unexpectedly.
    :param links: counts the bytes by kind and place.
    :param data_centre_of: returns the data centre of the host at an IP
        address, empty if it is unknown.
    """

    def __init__(
        self,
        host: str,
        port: int,
        clock: clocks.Clock,
        connections: int,
        keys: peer_authentication.SharedKeys,
        events: limit_events.LimitEvents | None = None,
        links: link_bytes.LinkBytes | None = None,
        data_centre_of: DataCentreOf = _unknown_data_centre,
    ) -> None:
        self._keys = keys
        self._links = links or link_bytes.LinkBytes()
        self._data_centre_of = data_centre_of
        self._events = events or limit_events.LimitEvents(
            decision_log.DecisionLog(), clock
        )
        self._unauthenticated_slots = threading.BoundedSemaphore(
            _MAX_UNAUTHENTICATED
        )
        self._service: peer_calls.PeerService | None = None
        self._clock = clock
        self._watcher = disconnect_watcher.DisconnectWatcher(self._events)
        self._acceptor = acceptor.Acceptor(
            host, port, _BACKLOG, clock, events=self._events
        )
        self._executor = concurrent.futures.ThreadPoolExecutor(
            connections, thread_name_prefix='peer'
        )
        self._slots = threading.BoundedSemaphore(connections)
        self._condition = threading.Condition()
        self._open: set[socket.socket] = set()
        self._closed = False

    @property
    def address(self) -> str:
        """Listening address, ``ip:port``."""
        return self._acceptor.address

    def start(self, service: peer_calls.PeerService) -> None:
        """Accept connections on a background thread."""
        self._service = service
        threading.Thread(
            target=self._acceptor.run,
            args=(self._handle_connection,),
            name='peer-accept',
            daemon=True,
        ).start()
        threading.Thread(
            target=self._watcher.run, name='peer-watch', daemon=True
        ).start()

    def close(self) -> None:
        """Stop accepting and close all connections.

        Replies in progress get a short time to be completed.
        """
        self._closed = True
        self._acceptor.stop()
        self._shutdown_all(socket.SHUT_RD)
        with self._condition:
            self._condition.wait_for(lambda: not self._open, _CLOSE_TIMEOUT_S)
        self._shutdown_all(socket.SHUT_RDWR)
        self._watcher.close()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _handle_connection(self, connection: socket.socket) -> None:
        if not self._acquire_slots():
            connection.close()
            return
        with self._condition:
            self._open.add(connection)
        self._executor.submit(self._serve, connection)

    def _acquire_slots(self) -> bool:
        if not self._unauthenticated_slots.acquire(blocking=False):
            return False
        if self._slots.acquire(blocking=False):
            return True
        self._unauthenticated_slots.release()
        return False

    def _serve(self, connection: socket.socket) -> None:
        try:
            if self._authenticate(connection):
                self._serve_peer(connection)
        except Exception as error:
            self._record_failed(error)
        finally:
            connection.close()
            with self._condition:
                self._open.discard(connection)
                self._condition.notify_all()
            self._slots.release()

    def _authenticate(self, connection: socket.socket) -> bool:
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            peer_authentication.authenticate_client(
                connection, self._keys, self._clock, _AUTHENTICATION_TIMEOUT_S
            )
            connection.settimeout(None)
        except (OSError, errors.Unauthenticated) as error:
            _LOG.info('peer connection rejected: %s', error)
            return False
        finally:
            self._unauthenticated_slots.release()
        return True

    def _serve_peer(self, connection: socket.socket) -> None:
        stream = thriftpy2.transport.TSocket()
        stream.set_handle(connection)
        counted = self._counted(stream, connection)
        transport = thriftpy2.transport.TFramedTransport(
            peer_authentication.FrameLimiter(
                counted, peer_codec.MAX_FRAME_BYTES
            )
        )
        protocol = thriftpy2.protocol.TBinaryProtocol(transport)
        assert self._service is not None
        processor = thriftpy2.thrift.TProcessor(
            peer_codec.PEER.Peer,
            peer_calls.PeerCalls(
                self._service,
                self._clock,
                counted,
                peer_calls.PeerConnection(connection, self._watcher),
            ),
        )
        try:
            while not self._closed:
                processor.process(protocol, protocol)
                counted.end_call()
        except (
            OSError,
            EOFError,
            thriftpy2.transport.TTransportException,
        ) as error:
            _LOG.debug('peer connection closed: %s', error)
        finally:
            counted.count_rest()

    def _counted(
        self, stream: typing.Any, connection: socket.socket
    ) -> counted_stream.CountedStream:
        """Return a stream that counts, and count the authentication."""
        data_centre = ''
        try:
            data_centre = self._data_centre_of(connection.getpeername()[0])
        except OSError as error:
            _LOG.debug('peer connection closed: %s', error)
        link = self._links.link(link_bytes.LinkKind.OTHER_PEER, data_centre)
        link.received(
            peer_authentication.CLIENT_BYTES, peer_authentication.MESSAGES
        )
        link.sent(
            peer_authentication.SERVER_BYTES, peer_authentication.MESSAGES
        )
        return counted_stream.CountedStream(stream, self._links, data_centre)

    def _record_failed(self, error: Exception) -> None:
        self._events.record('peer_call_failed', repr(error), error)

    def _shutdown_all(self, how: int) -> None:
        with self._condition:
            connections = list(self._open)
        for connection in connections:
            _shutdown_socket(connection, how)


def _shutdown_socket(connection: socket.socket, how: int) -> None:
    try:
        connection.shutdown(how)
    except OSError:
        # The peer has already closed it.
        return
