"""The HTTP server keeps connections open between requests."""

import http.client

import werkzeug.wrappers

from corianderport_wire.connection import http_server


@werkzeug.wrappers.Request.application
def _echo(request: werkzeug.wrappers.Request) -> werkzeug.wrappers.Response:
    return werkzeug.wrappers.Response(request.get_data())


def test_requests_follow_each_other_on_one_connection() -> None:
    """Guards against losing a request that follows at once.

    Werkzeug's handler reads ahead after each response and swallowed it.
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
