"""Connections to searchers: silent, closed, reused and half-open ones."""

import collections.abc
import concurrent.futures
import random
import socket
import threading

import attrs
import pytest

from corianderport_testkit.process import searcher
from corianderport_testkit.version import deployments
from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import decision_log
from corianderport_tier.process import selection
from corianderport_tier.process import upstream_services
from corianderport_tier.request import deadlines
from corianderport_tier.request import gather
from corianderport_tier.request import messages
from corianderport_tier.version import configuration
from corianderport_wire.connection import curl_client
from corianderport_wire.connection import upstream_client

_DEPLOYMENT = deployments.Deployment(services=1, shards=1, documents=20)
_NAME = 'catalogue-00-dc-a'
_SERVICE = 'catalogue-00'
# Upper bound only; no test waits this long unless it fails.
_LONG_S = 60.0


@pytest.fixture(name='server')
def _server() -> collections.abc.Iterator[searcher.SearcherServer]:
    server = searcher.SearcherServer(
        searcher.Searcher(_NAME, _DEPLOYMENT, searcher.Behaviour())
    )
    server.start()
    yield server
    server.close()


def _silence(server: searcher.SearcherServer) -> None:
    client = curl_client.CurlClient(server.address, _LONG_S)
    client.post('/control', b'{"silent": true}', _LONG_S)
    client.close()


def test_abort_ends_a_blocked_call(server: searcher.SearcherServer) -> None:
    """Guards against a task that stays blocked until the deadline.

    The searcher reads the request and never responds.
    """
    client = curl_client.CurlClient(server.address, _LONG_S)
    client.post('/health', b'', _LONG_S)
    _silence(server)
    timer = threading.Timer(0.05, client.abort)
    timer.start()
    with pytest.raises(errors.ConnectionBroken):
        client.post('/health', b'', _LONG_S)
    timer.join()
    client.close()


def test_aborted_client_opens_no_connection(
    server: searcher.SearcherServer,
) -> None:
    """Guards against sending a call that was aborted before."""
    client = curl_client.CurlClient(server.address, _LONG_S)
    client.abort()
    with pytest.raises(errors.ConnectFailed):
        client.post('/health', b'', _LONG_S)
    client.close()


def _serve_once(listener: socket.socket, close: bool) -> bytes:
    """Serve one request; return the next bytes on the connection."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(65_536)
        connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        if close:
            received = connection.recv(65_536)
            # From here on, new connections to the address are refused.
            listener.close()
            return received
        return connection.recv(65_536)


@pytest.fixture(name='listener')
def _listener() -> collections.abc.Iterator[socket.socket]:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        yield listener


def test_closed_client_ends_its_connection(listener: socket.socket) -> None:
    """Guards against a file descriptor that keeps the connection open.

    libcurl duplicates the descriptor of the socket that it is given, so
    that both have to be closed.
    """
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        served = executor.submit(_serve_once, listener, False)
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        client = curl_client.CurlClient(address, _LONG_S)
        client.get('/', _LONG_S)
        client.close()
        assert served.result(_LONG_S) == b''


def test_request_on_a_reused_connection_may_have_run(
    listener: socket.socket,
) -> None:
    """Guards against "not run" for a request that the searcher received.

    The searcher closes its connection and its listener after it has read a
    second request. libcurl then repeats that request on a new connection,
    which is refused.
    """
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        served = executor.submit(_serve_once, listener, True)
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        client = curl_client.CurlClient(address, _LONG_S)
        client.get('/', _LONG_S)
        with pytest.raises(errors.ConnectionBroken):
            client.post('/search', b'{}', _LONG_S)
        assert served.result(_LONG_S).startswith(b'POST /search')
        client.close()


def _serve_two(listener: socket.socket) -> int:
    """Serve one request and close; return the number of reconnections."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(65_536)
        connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    listener.settimeout(0.2)
    try:
        later, _ = listener.accept()
    except TimeoutError:
        return 0
    later.close()
    return 1


def test_search_is_not_repeated_on_a_new_connection(
    listener: socket.socket,
) -> None:
    """Guards against sending to a restarted searcher unnoticed.

    The restart closes the searcher's connections. If libcurl replaced them
    by itself, the cold searcher would get as many concurrent requests as it
    got when it was warm.
    """
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        served = executor.submit(_serve_two, listener)
        client = curl_client.CurlClient(address, _LONG_S, reconnect=False)
        client.get('/', _LONG_S)
        with pytest.raises(errors.ConnectionBroken):
            client.post('/search', b'{}', 5.0)
        assert served.result(_LONG_S) == 0
        client.close()


def test_reply_that_closes_the_connection_breaks_no_later_call(
    listener: socket.socket,
) -> None:
    """Guards against failures at a searcher without keep-alive.

    libcurl closes the connection after the response. A client that still
    counts it as open does not open another one.
    """
    reply = (
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
    )

    def serve() -> None:
        for _ in range(2):
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(reply)

    address = f'127.0.0.1:{listener.getsockname()[1]}'
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        served = executor.submit(serve)
        client = curl_client.CurlClient(address, _LONG_S, reconnect=False)
        for _ in range(2):
            assert client.get('/', _LONG_S).status == 200
        served.result(_LONG_S)
        client.close()


class _Decoder:
    def __init__(self, address: str) -> None:
        self._address = address

    def decode(self, document: bytes) -> configuration.Configuration:
        names = (f'{_SERVICE}-{c}' for c in deployments.DATA_CENTRES)
        return _DEPLOYMENT.build(
            1, dict.fromkeys(names, self._address), ('dc-b', 'dc-c')
        )


@attrs.define
class _Sender:
    services: upstream_services.UpstreamServices
    clock: clocks.Clock
    sent: int = 0

    def search(self) -> messages.BatchAnswer:
        self.sent += 1
        batch = messages.SubQueryBatch(
            f'request-{self.sent}',
            'catalogue',
            1,
            'stilts',
            10,
            deadlines.Deadline.after(self.clock, _LONG_S),
            (messages.SubQuery(_SERVICE, ('shard-000',)),),
        )
        return gather.Gather(
            batch, self.services, self.clock, decision_log.DecisionLog()
        ).run()


@pytest.fixture(name='sender')
def _sender(
    server: searcher.SearcherServer,
) -> collections.abc.Iterator[_Sender]:
    clock = clocks.SystemClock()
    store = configuration_store.ConfigurationStore(
        _Decoder(server.address), clock
    )
    store.offer(b'')
    with concurrent.futures.ThreadPoolExecutor(16) as executor:
        with upstream_services.UpstreamServices(
            store,
            upstream_client.HttpUpstreamDialer(clock),
            executor,
            clock,
            selection.policy('power-of-two'),
            random.Random(1),
        ) as services:
            yield _Sender(services, clock)


def test_half_open_connection_costs_no_request(
    sender: _Sender, server: searcher.SearcherServer
) -> None:
    """Guards against requests lost to half-open connections.

    The searcher no longer responds on any open connection, but does on new
    ones.
    """
    service = sender.services.get(_SERVICE)
    upstream = service.upstreams.candidates(lambda s: s.in_service)[0]
    while upstream.limit < _DEPLOYMENT.slots:
        assert sender.search().answers
    _silence(server)
    for _ in range(3):
        answer = sender.search()
        assert [a.complete for a in answer.answers] == [True]
    assert answer.sub_requests == 1
