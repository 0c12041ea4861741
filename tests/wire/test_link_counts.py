"""Bytes counted on each kind of connection, compared with those that passed.

A forwarder between the two ends counts them independently.
"""

import collections
import collections.abc
import concurrent.futures
import contextlib
import socket
import threading
import time

import pytest

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import handed_over
from corianderport_tier.process import heartbeats
from corianderport_tier.process import link_bytes
from corianderport_tier.process import membership
from corianderport_tier.process import quota_messages
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier.version import registrations
from corianderport_tier.version import routes
from corianderport_wire.connection import caller_listener
from corianderport_wire.connection import disconnect_watcher
from corianderport_wire.connection import http_exchange
from corianderport_wire.connection import peer_authentication
from corianderport_wire.connection import peer_client
from corianderport_wire.connection import peer_server
from corianderport_wire.connection import persistent_client

_CLOCK = clocks.SystemClock()
_KEYS = peer_authentication.SharedKeys.from_text('a key of the tests')
_LONG_S = 10.0
_LIMITS = routes.CallerLimits(2_000, 100_000, 5.0, 5.0)
_Direction = link_bytes.Direction
_Kind = link_bytes.LinkKind
_Place = link_bytes.Place
_HEARTBEAT = heartbeats.Heartbeat(
    membership.Rumour(membership.Member('client', 'dc-a', '127.0.0.1:1')), 1
)


class _Forwarder:
    """Passes one connection on and counts the bytes in each direction."""

    def __init__(self, address: str) -> None:
        self._target = address.rpartition(':')
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self.passed = {_Direction.SENT: 0, _Direction.RECEIVED: 0}
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            near, _ = self._listener.accept()
            host, _, port = self._target
            far = socket.create_connection((host, int(port)))
            back = threading.Thread(
                target=self._copy,
                args=(far, near, _Direction.RECEIVED),
                daemon=True,
            )
            back.start()
            self._copy(near, far, _Direction.SENT)
            back.join(_LONG_S)

    def _copy(
        self,
        source: socket.socket,
        target: socket.socket,
        direction: link_bytes.Direction,
    ) -> None:
        with contextlib.suppress(OSError):
            while content := source.recv(65_536):
                self.passed[direction] += len(content)
                target.sendall(content)
            target.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        self._listener.close()
        self._thread.join(_LONG_S)


@contextlib.contextmanager
def _forwarding(address: str) -> collections.abc.Iterator[_Forwarder]:
    forwarder = _Forwarder(address)
    try:
        yield forwarder
    finally:
        forwarder.close()


def _bytes(links: link_bytes.LinkBytes) -> dict[link_bytes.Direction, int]:
    counted = collections.Counter[link_bytes.Direction]()
    for total in links.totals():
        counted[total.direction] += total.bytes
    return dict(counted)


def _messages(
    links: link_bytes.LinkBytes,
) -> dict[tuple[link_bytes.Direction, link_bytes.LinkKind], int]:
    return {
        (total.direction, total.kind): total.messages
        for total in links.totals()
    }


def _mirrored(
    counted: dict[link_bytes.Direction, int],
) -> dict[link_bytes.Direction, int]:
    return {
        _Direction.SENT: counted[_Direction.RECEIVED],
        _Direction.RECEIVED: counted[_Direction.SENT],
    }


def _wait_for(condition: collections.abc.Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + _LONG_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


class _Service:
    """Answers each call of another host."""

    def heartbeat(self, message: heartbeats.Heartbeat) -> heartbeats.Heartbeat:
        member = membership.Member('server', 'dc-b', '127.0.0.1:2')
        return heartbeats.Heartbeat(
            membership.Rumour(member), 7, (membership.Rumour(member),) * 20
        )

    def act_with_ticket(
        self, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        raise errors.NotOwner('no tickets')

    def hand_over(self, part: handed_over.HandOver) -> None:
        return

    def registry_changes(
        self, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        raise errors.NotReady('no entries')

    def registry_entries(self) -> registrations.StoredEntries:
        entry = registrations.StoredEntry('k', 3, b'x' * 200_000)
        return registrations.StoredEntries([entry], 3)

    def quota(
        self, request: quota_messages.QuotaRequest
    ) -> quota_messages.QuotaGrant:
        return quota_messages.QuotaGrant(3, 0.0, 1.0)

    def document(self, known_version: int) -> tuple[int, bytes | None]:
        return 8, b'document'


def _call_everything(transport: peer_client.ThriftPeerTransport) -> None:
    transport.heartbeat(_HEARTBEAT, _LONG_S)
    transport.quota(quota_messages.QuotaRequest('w', 3, 0), _LONG_S)
    transport.registry_entries(_LONG_S)
    with pytest.raises(errors.NotReady):
        transport.registry_changes(3, 0.1, _LONG_S)
    transport.configuration(7, _LONG_S)


def test_calls_between_hosts_are_counted_by_kind_on_both_sides() -> None:
    """Guards against bytes that no kind accounts for, and wrong kinds.

    The kind of a call is known to the server only after its bytes.
    """
    client_links = link_bytes.LinkBytes('dc-a')
    server_links = link_bytes.LinkBytes('dc-b')
    server = peer_server.PeerServer(
        '127.0.0.1', 0, _CLOCK, 4, _KEYS, links=server_links
    )
    server.start(_Service())
    with contextlib.closing(server), _forwarding(server.address) as between:
        dialer = peer_client.ThriftPeerDialer(_CLOCK, _KEYS, client_links)
        member = membership.Member('server', 'dc-b', between.address)
        transport = dialer.dial(member, _LONG_S)
        _call_everything(transport)
        transport.close()
        _wait_for(lambda: len(server_links.totals()) >= 8)
    assert _bytes(client_links) == between.passed
    assert _bytes(server_links) == _mirrored(between.passed)
    expected = {
        _Kind.OTHER_PEER: 2,
        _Kind.HEARTBEAT: 1,
        _Kind.QUOTA: 1,
        _Kind.REGISTRY_RELAY: 3,
    }
    for links in (client_links, server_links):
        assert _messages(links) == {
            (direction, kind): count
            for direction in _Direction
            for kind, count in expected.items()
        }
    sizes = {
        (t.direction, t.kind): t.bytes
        for t in client_links.totals()
        if t.kind is not _Kind.OTHER_PEER
    }
    assert sizes == {
        (
            _Direction.RECEIVED
            if t.direction is _Direction.SENT
            else _Direction.SENT,
            t.kind,
        ): t.bytes
        for t in server_links.totals()
        if t.kind is not _Kind.OTHER_PEER
    }
    assert sizes[_Direction.RECEIVED, _Kind.REGISTRY_RELAY] > 200_000
    assert {t.place for t in client_links.totals()} == {_Place.OTHER}


def test_place_of_calls_without_a_sender_comes_from_the_address() -> None:
    """Guards against traffic between data centres that counts as unknown.

    Only a heartbeat says who sends it.
    """
    links = link_bytes.LinkBytes('dc-b')
    server = peer_server.PeerServer(
        '127.0.0.1',
        0,
        _CLOCK,
        4,
        _KEYS,
        links=links,
        data_centre_of={'127.0.0.1': 'dc-a'}.__getitem__,
    )
    server.start(_Service())
    with contextlib.closing(server):
        dialer = peer_client.ThriftPeerDialer(_CLOCK, _KEYS)
        member = membership.Member('server', 'dc-b', server.address)
        transport = dialer.dial(member, _LONG_S)
        transport.quota(quota_messages.QuotaRequest('w', 3, 0), _LONG_S)
        transport.close()
    assert {t.place for t in links.totals()} == {_Place.OTHER}
    assert (_Direction.SENT, _Kind.QUOTA) in _messages(links)


def _serve_once(
    answer: bytes,
) -> tuple[str, 'concurrent.futures.Future[bytes]']:
    """Answer one request; return the address and the request."""
    listener = socket.create_server(('127.0.0.1', 0))
    received: concurrent.futures.Future[bytes] = concurrent.futures.Future()

    def run() -> None:
        accepted, _ = listener.accept()
        with accepted:
            request = accepted.recv(65_536)
            while b'\r\n\r\n' not in request:
                request += accepted.recv(65_536)
            received.set_result(request)
            accepted.sendall(answer)
            accepted.recv(65_536)
        listener.close()

    threading.Thread(target=run, daemon=True).start()
    return f'127.0.0.1:{listener.getsockname()[1]}', received


_REPLY = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


def _expected(
    request: bytes, kind: link_bytes.LinkKind
) -> tuple[link_bytes.LinkTotal, ...]:
    return (
        link_bytes.LinkTotal(
            _Direction.SENT, kind, _Place.OTHER, len(request), 1
        ),
        link_bytes.LinkTotal(
            _Direction.RECEIVED, kind, _Place.OTHER, len(_REPLY), 1
        ),
    )


def test_exchange_with_a_searcher() -> None:
    """Guards against heads or bodies that are left out."""
    links = link_bytes.LinkBytes('dc-a')
    address, received = _serve_once(_REPLY)
    exchange = http_exchange.HttpExchange(
        http_exchange.connect(address, _LONG_S),
        _CLOCK,
        link=links.link(_Kind.SEARCHER, 'dc-b'),
    )
    exchange.exchange(
        http_exchange.HttpRequest(b'GET', b'/', ((b'host', b'a'),), b''),
        deadlines.Deadline.after(_CLOCK, _LONG_S),
    )
    exchange.close()
    expected = _expected(received.result(_LONG_S), _Kind.SEARCHER)
    assert links.totals() == expected


def test_call_of_the_store() -> None:
    """Guards against calls of the store that are not counted."""
    links = link_bytes.LinkBytes('dc-a')
    address, received = _serve_once(_REPLY)
    client = persistent_client.PersistentClient(
        address, _LONG_S, _CLOCK, links.link(_Kind.STORE, 'dc-b')
    )
    assert client.get('/x?prefix=/a', _LONG_S).body == b'ok'
    client.close()
    expected = _expected(received.result(_LONG_S), _Kind.STORE)
    assert links.totals() == expected


def test_failed_call_of_the_store_counts_what_was_exchanged() -> None:
    """Guards against calls that fail again and again without being seen."""
    links = link_bytes.LinkBytes()
    link = links.link(_Kind.STORE)
    address, received = _serve_once(b'HTTP/1.1 200 OK\r\ncontent-le')
    client = persistent_client.PersistentClient(address, _LONG_S, _CLOCK, link)
    with pytest.raises(errors.TransportError):
        client.get('/', 0.3)
    client.close()
    assert _bytes(links)[_Direction.SENT] == len(received.result(_LONG_S))
    listener = socket.create_server(('127.0.0.1', 0))
    closed = f'127.0.0.1:{listener.getsockname()[1]}'
    listener.close()
    client = persistent_client.PersistentClient(closed, _LONG_S, _CLOCK, link)
    with pytest.raises(errors.ConnectFailed):
        client.get('/', _LONG_S)
    client.close()
    assert _messages(links)[_Direction.SENT, _Kind.STORE] == 1


def _echo(
    request: caller_listener.ReceivedRequest,
    caller: caller_listener.CallerConnection,
) -> caller_listener.HttpResponse:
    return caller_listener.HttpResponse(200, (), request.body)


@pytest.mark.parametrize('body', [b'', b'x' * 50_000])
def test_requests_of_callers(body: bytes) -> None:
    """Guards against bytes that are counted once for each read or not."""
    links = link_bytes.LinkBytes()
    executor = concurrent.futures.ThreadPoolExecutor(8)
    watcher = disconnect_watcher.DisconnectWatcher()
    listener = caller_listener.CallerListener(
        '127.0.0.1:0',
        _echo,
        lambda: _LIMITS,
        watcher,
        executor,
        _CLOCK,
        link=links.link(_Kind.CALLER),
    )
    executor.submit(watcher.run)
    executor.submit(listener.run)
    request = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n' % len(
        body
    )
    last = request + b'connection: close\r\n\r\n' + body
    request += b'\r\n' + body
    host, _, port = listener.address.rpartition(':')
    received = b''
    with socket.create_connection((host, int(port)), _LONG_S) as caller:
        caller.sendall(request + last)
        while part := caller.recv(65_536):
            received += part
    listener.stop_accepting()
    listener.close_idle()
    watcher.close()
    executor.shutdown()
    assert links.totals() == (
        link_bytes.LinkTotal(
            _Direction.SENT,
            _Kind.CALLER,
            _Place.UNKNOWN,
            len(received),
            2,
        ),
        link_bytes.LinkTotal(
            _Direction.RECEIVED,
            _Kind.CALLER,
            _Place.UNKNOWN,
            len(request + last),
            2,
        ),
    )
