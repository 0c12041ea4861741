"""HttpServer: persistent connections, limits and malformed requests."""

import http.client
import socket

import pytest
import werkzeug.wrappers

from corianderport_wire.connection import http_server


@werkzeug.wrappers.Request.application
def _echo(request: werkzeug.wrappers.Request) -> werkzeug.wrappers.Response:
    return werkzeug.wrappers.Response(request.get_data())


def test_requests_share_one_connection() -> None:
    """Guards against losing a request sent right after a response.

    Werkzeug's handler reads ahead after each response and discarded the
    start of the next request.
    """
    server = http_server.HttpServer('127.0.0.1', 0, _echo, 4, 30.0)
    server.start()
    client = http.client.HTTPConnection(server.address, timeout=20)
    try:
        for number in range(20):
            body = f'request {number}'.encode()
            client.request('POST', '/', body)
            assert client.getresponse().read() == body
    finally:
        client.close()
        server.close()


def _server(**limits: float) -> http_server.HttpServer:
    server = http_server.HttpServer('127.0.0.1', 0, _echo, 2, 30.0, **limits)
    server.start()
    return server


def _connect(server: http_server.HttpServer) -> socket.socket:
    host, _, port = server.address.rpartition(':')
    return socket.create_connection((host, int(port)), timeout=20)


def _serves(server: http_server.HttpServer) -> bool:
    client = http.client.HTTPConnection(server.address, timeout=20)
    try:
        client.request('POST', '/', b'x')
        return client.getresponse().read() == b'x'
    finally:
        client.close()


def test_slow_sender_is_closed() -> None:
    """Guards against a client that holds a connection byte by byte."""
    server = _server(request_s=0.2)
    try:
        with _connect(server) as slow:
            closed = False
            for _ in range(2_000):
                try:
                    slow.sendall(b'P')
                    slow.settimeout(0.02)
                    closed = slow.recv(1) == b''
                except TimeoutError:
                    continue
                except ConnectionError:
                    closed = True
                if closed:
                    break
            assert closed
        assert _serves(server)
    finally:
        server.close()


def test_connections_over_the_limit_are_closed() -> None:
    """Guards against a flood of connections that occupies all threads."""
    server = _server()
    try:
        open_connections = [_connect(server) for _ in range(2)]
        with _connect(server) as third:
            assert third.recv(1) == b''
        for connection in open_connections:
            connection.close()
    finally:
        server.close()


@pytest.mark.parametrize(
    'sent',
    [
        b'\x00\xff\x16\x03\x01 nonsense\r\n\r\n',
        b'POST / HTTP/1.1\r\n' + b'X: y\r\n' * 200 + b'\r\n',
        b'POST / HTTP/1.1\r\nA: ' + b'a' * 70_000 + b'\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: x\r\nConnection: close\r\n\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
    ],
)
def test_malformed_requests_end_their_connection_only(sent: bytes) -> None:
    """Guards against hostile input that ends more than its connection."""
    server = _server()
    try:
        with _connect(server) as hostile:
            hostile.sendall(sent)
            hostile.shutdown(socket.SHUT_WR)
            while hostile.recv(65_536):
                pass
        assert _serves(server)
    finally:
        server.close()
