"""RegistryConnection: registry changes sent between hosts over Thrift."""

import collections.abc
import contextlib
import socket
import threading
import time
import typing

import attrs
import pytest

from corianderport_daemon.process import gossip_handler
from corianderport_daemon.process import registry_connection
from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import quota_messages
from corianderport_tier.process import registry_relay
from corianderport_tier.version import registrations
from corianderport_wire.connection import peer_authentication
from corianderport_wire.connection import peer_client
from corianderport_wire.connection import peer_server

_CLOCK = clocks.SystemClock()
_KEYS = peer_authentication.SharedKeys.from_text('a key of the tests')
_LONG_S = 20.0
_CHANGE = registrations.StoredEntry('k', 8, b'content')
_PIECE_INTERVAL_S = 0.05


def _no_quota(
    request: quota_messages.QuotaRequest,
) -> quota_messages.QuotaGrant:
    raise errors.NotOwner('no quotas')


class _Reader:
    """A host that reads the registry, as seen by other hosts."""

    def __init__(self) -> None:
        self.relay = registry_relay.RegistryRelay(_CLOCK)
        self._server = peer_server.PeerServer('127.0.0.1', 0, _CLOCK, 8, _KEYS)
        # No test here sends a heartbeat.
        exchange = typing.cast(heartbeats.HeartbeatExchange, None)
        self._server.start(
            gossip_handler.GossipHandler(
                exchange, self.relay, _no_quota, typing.cast(typing.Any, None)
            )
        )
        self.member = membership.Member('reader', 'dc-a', self._server.address)

    def change(self) -> None:
        self.relay.add_reply(7, registrations.StoredEntries([_CHANGE], 8))

    def close(self) -> None:
        self._server.close()


@pytest.fixture(name='reader')
def _reader() -> collections.abc.Iterator[_Reader]:
    started = _Reader()
    yield started
    started.close()


@pytest.fixture(name='connection')
def _connection() -> collections.abc.Iterator[
    registry_connection.RegistryConnection
]:
    dialer = peer_client.ThriftPeerDialer(_CLOCK, _KEYS)
    with registry_connection.RegistryConnection(dialer) as connection:
        yield connection


def test_waiting_call_returns_a_change(
    reader: _Reader, connection: registry_connection.RegistryConnection
) -> None:
    """Guards against changes delivered only with the next request.

    The change happens while the call waits for one.
    """
    reader.relay.reset(7)
    threading.Timer(0.05, reader.change).start()
    changes = connection.registry_changes(reader.member, 7, 1.0, _LONG_S)
    assert changes.entries == [_CHANGE]
    assert changes.revision == 8


def test_all_entries_are_returned(
    reader: _Reader, connection: registry_connection.RegistryConnection
) -> None:
    """Guards against a started host that cannot learn from another one."""
    with pytest.raises(errors.NotReady):
        connection.registry_entries(reader.member, _LONG_S)
    stored = registrations.StoredEntries([_CHANGE], 8)
    reader.relay.snapshot.replace(stored)
    assert connection.registry_entries(reader.member, _LONG_S) == stored


def test_age_of_the_entries_is_carried_over_the_connection(
    reader: _Reader, connection: registry_connection.RegistryConnection
) -> None:
    """Guards against a server or client that leaves the age out.

    The call waits for 0.2 s, during which the knowledge gets older.
    """
    current_s = _CLOCK.boottime() - 0.3
    reader.relay.reset(7, current_s)
    reader.relay.snapshot.replace(
        registrations.StoredEntries([_CHANGE], 8, as_of_s=current_s)
    )
    changes = connection.registry_changes(reader.member, 7, 0.2, _LONG_S)
    stored = connection.registry_entries(reader.member, _LONG_S)
    for as_of_s in (changes.as_of_s, stored.as_of_s):
        assert as_of_s is not None
        assert current_s - _LONG_S < as_of_s <= current_s


def test_errors_keep_their_class_and_the_connection(
    reader: _Reader, connection: registry_connection.RegistryConnection
) -> None:
    """Guards against lost history reported as "no changes".

    The reader refuses a call before it has read the registry, and a call
    for changes from before its first revision.
    """
    with pytest.raises(errors.NotReady):
        connection.registry_changes(reader.member, 7, 0.0, _LONG_S)
    reader.relay.reset(7)
    with pytest.raises(errors.CorianderportError):
        connection.registry_changes(reader.member, 3, 0.0, _LONG_S)
    assert (
        connection.registry_changes(reader.member, 7, 0.0, _LONG_S).entries
        == []
    )


def test_reconnects_after_the_reader_has_stopped(
    reader: _Reader, connection: registry_connection.RegistryConnection
) -> None:
    """Guards against a connection that stays closed after a failure.

    The reader stops, and another host takes over reading.
    """
    reader.relay.reset(7)
    connection.registry_changes(reader.member, 7, 0.0, _LONG_S)
    reader.close()
    with pytest.raises(errors.TransportError):
        connection.registry_changes(reader.member, 7, 0.0, _LONG_S)
    other = _Reader()
    try:
        other.relay.reset(7)
        assert (
            connection.registry_changes(other.member, 7, 0.0, _LONG_S).revision
            == 7
        )
    finally:
        other.close()


@contextlib.contextmanager
def _slow_link(address: str) -> collections.abc.Iterator[str]:
    """Proxy for one connection that delivers replies byte by byte."""
    listener = socket.create_server(('127.0.0.1', 0))
    server_host, server_port = address.split(':')
    server_address = (server_host, int(server_port))

    def forward(client: socket.socket, server: socket.socket) -> None:
        while content := client.recv(65_536):
            server.sendall(content)

    def run() -> None:
        client, _ = listener.accept()
        with client, socket.create_connection(server_address) as server:
            # The authentication passes without delay.
            threading.Thread(
                target=forward, args=(client, server), daemon=True
            ).start()
            client.sendall(server.recv(32))
            client.sendall(server.recv(32))
            with contextlib.suppress(OSError):
                while content := server.recv(1):
                    client.sendall(content)
                    time.sleep(_PIECE_INTERVAL_S)

    threading.Thread(target=run, daemon=True).start()
    host, port = listener.getsockname()
    yield f'{host}:{port}'
    listener.close()


def test_reply_that_arrives_too_slowly_is_abandoned(
    reader: _Reader, connection: registry_connection.RegistryConnection
) -> None:
    """Guards against a late version whose bytes trickle in from one host.

    The gap between two reads stays below the timeout of the call.
    """
    reader.relay.reset(7)
    reader.change()
    with _slow_link(reader.member.peer_address) as address:
        member = attrs.evolve(reader.member, peer_address=address)
        with pytest.raises(errors.ConnectionSilent):
            connection.registry_changes(member, 7, 0.0, 4 * _PIECE_INTERVAL_S)
