"""Peer authentication: only hosts with a shared key are served."""

import collections.abc
import socket
import struct

import pytest

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_wire.connection import peer_authentication
from corianderport_wire.connection import peer_client
from corianderport_wire.connection import peer_codec
from corianderport_wire.connection import peer_server

_CLOCK = clocks.SystemClock()
_TIMEOUT_S = 10.0


class _EchoPeer:
    """A peer service that echoes heartbeats."""

    def heartbeat(self, message: heartbeats.Heartbeat) -> heartbeats.Heartbeat:
        return message


def _keys(text: str) -> peer_authentication.SharedKeys:
    return peer_authentication.SharedKeys.from_text(text)


@pytest.fixture
def server() -> collections.abc.Iterator[peer_server.PeerServer]:
    """A server with two keys, as during a key rotation."""
    started = peer_server.PeerServer(
        '127.0.0.1', 0, _CLOCK, 64, _keys('old-key-1,new-key-1')
    )
    started.start(_EchoPeer())
    yield started
    started.close()


def _member(server: peer_server.PeerServer) -> membership.Member:
    return membership.Member('h', 'dc-a', server.address)


def _beat() -> heartbeats.Heartbeat:
    return heartbeats.Heartbeat(
        membership.Rumour(membership.Member('x', 'dc-b', '127.0.0.1:9')), 5
    )


@pytest.mark.parametrize(
    'keys',
    ['old-key-1', 'new-key-1', 'new-key-1,old-key-1', 'a-b-c-d,old-key-1'],
)
def test_either_key_is_accepted(
    server: peer_server.PeerServer, keys: str
) -> None:
    """Guards against a key rotation that disconnects hosts.

    During a rotation some hosts have one of the keys and others have both,
    in either order.
    """
    dialer = peer_client.ThriftPeerDialer(_CLOCK, _keys(keys))
    transport = dialer.dial(_member(server), _TIMEOUT_S)
    assert transport.heartbeat(_beat(), _TIMEOUT_S).version == 5
    transport.close()


def test_other_key_is_refused(server: peer_server.PeerServer) -> None:
    """Guards against serving a client without a shared key."""
    dialer = peer_client.ThriftPeerDialer(_CLOCK, _keys('stranger-1'))
    with pytest.raises(errors.ConnectFailed):
        dialer.dial(_member(server), _TIMEOUT_S)


def test_server_without_key_is_refused() -> None:
    """Guards against a client that trusts any server."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
        with socket.create_connection(('127.0.0.1', port)) as client:
            accepted, _ = listener.accept()
            with accepted:
                accepted.sendall(bytes(64))
                with pytest.raises(errors.Unauthenticated):
                    peer_authentication.authenticate_to_server(
                        client, _keys('old-key-1'), _CLOCK, _TIMEOUT_S
                    )


def _raw(server: peer_server.PeerServer) -> socket.socket:
    host, port = server.address.split(':')
    return socket.create_connection((host, int(port)), _TIMEOUT_S)


@pytest.mark.parametrize(
    'sent',
    [b'', b'GET / HTTP/1.1\r\n\r\n' * 10, struct.pack('!i', 2**31 - 1) * 20],
)
def test_unauthenticated_client_gets_nothing(
    server: peer_server.PeerServer, sent: bytes
) -> None:
    """Guards against responding to, or waiting for, unknown clients."""
    with _raw(server) as connection:
        connection.sendall(sent)
        try:
            assert connection.recv(1) == b''
        except ConnectionResetError:
            pass


def test_silent_clients_do_not_lock_out_peers(
    server: peer_server.PeerServer,
) -> None:
    """Guards against silent connections that lock out peers.

    More clients connect than the server authenticates concurrently, and
    none of them sends anything.
    """
    silent = [_raw(server) for _ in range(100)]
    for connection in silent:
        try:
            assert connection.recv(1) == b''
        except ConnectionResetError:
            pass
        connection.close()
    dialer = peer_client.ThriftPeerDialer(_CLOCK, _keys('old-key-1'))
    transport = dialer.dial(_member(server), _TIMEOUT_S)
    assert transport.heartbeat(_beat(), _TIMEOUT_S).version == 5
    transport.close()


def test_frame_over_the_limit_ends_the_connection(
    server: peer_server.PeerServer,
) -> None:
    """Guards against a peer that makes this host allocate memory.

    The length of a frame arrives before its content, and the transport
    allocates memory for all of it.
    """
    with _raw(server) as connection:
        peer_authentication.authenticate_to_server(
            connection, _keys('old-key-1'), _CLOCK, _TIMEOUT_S
        )
        connection.settimeout(_TIMEOUT_S)
        connection.sendall(struct.pack('!i', peer_codec.MAX_FRAME_BYTES + 1))
        assert connection.recv(1) == b''
