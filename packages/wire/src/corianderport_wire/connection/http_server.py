"""corianderport_wire.connection.http_server

An HTTP/1.1 server with one task for each connection.
"""

import concurrent.futures
import socket
import threading
import typing

import werkzeug.serving
import werkzeug.wrappers

if typing.TYPE_CHECKING:
    import _typeshed.wsgi

__all__ = ['HttpServer']

_SHUTDOWN_POLL_S = 0.1


class _Handler(werkzeug.serving.WSGIRequestHandler):
    """Keeps connections open between requests."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1

    def run_wsgi(self) -> None:
        """Run the application and send its response.

        Werkzeug's own method reads ahead after each response, which loses
        the next request of a connection that stays open.
        """
        environ = self.make_environ()
        response = werkzeug.wrappers.Response.from_app(
            self.server.app, environ, buffered=True
        )
        if 'Transfer-Encoding' in self.headers:
            # The body may be unread, and its length is unknown.
            response.headers['Connection'] = 'close'
        body = response.get_data()
        self.send_response(response.status_code)
        for keyword, value in response.headers.items():
            self.send_header(keyword, value)
        self.end_headers()
        self.wfile.write(body)

    def log_request(
        self, code: int | str = '-', size: int | str = '-'
    ) -> None:
        pass

    def log(self, type: str, message: str, *args: typing.Any) -> None:
        pass


class HttpServer(werkzeug.serving.BaseWSGIServer):
    """Serves a WSGI application on a bounded executor.

    :param host: IP number to listen on.
    :param port: 0 takes a free port.
    :param connections: connections served at once; more are closed.
    :param idle_s: a connection without a request for so long, or one that
        sends its request slower, is closed.
    """

    request_queue_size = 512
    daemon_threads = True

    def __init__(
        self,
        host: str,
        port: int,
        application: '_typeshed.wsgi.WSGIApplication',
        connections: int,
        idle_s: float,
    ) -> None:
        handler = type('_Handler', (_Handler,), {'timeout': idle_s})
        super().__init__(host, port, application, handler)
        self._executor = concurrent.futures.ThreadPoolExecutor(
            connections, thread_name_prefix=f'http-{self.port}'
        )
        self._slots = threading.BoundedSemaphore(connections)
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()

    @property
    def address(self) -> str:
        """The address listened on, ``ip:port``."""
        return f'{self.host}:{self.port}'

    def process_request(
        self, request: typing.Any, client_address: typing.Any
    ) -> None:
        """Give the new connection its task, or close it at the limit."""
        if not self._slots.acquire(blocking=False):
            self.shutdown_request(request)
            return
        with self._lock:
            self._open.add(request)
        self._executor.submit(self._serve, request, client_address)

    def handle_error(
        self, request: typing.Any, client_address: typing.Any
    ) -> None:
        """Close a connection whose peer went away."""

    def start(self) -> None:
        """Accept connections on a thread of the server."""
        threading.Thread(
            target=self.serve_forever,
            kwargs={'poll_interval': _SHUTDOWN_POLL_S},
            name=f'accept-{self.port}',
            daemon=True,
        ).start()

    def close(self) -> None:
        """Stop accepting and close all connections."""
        self.shutdown()
        self.server_close()
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            _shut(connection)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _serve(self, request: typing.Any, client_address: typing.Any) -> None:
        try:
            self.finish_request(request, client_address)
        except OSError:
            self.handle_error(request, client_address)
        finally:
            with self._lock:
                self._open.discard(request)
            self.shutdown_request(request)
            self._slots.release()


def _shut(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer has closed it already.
        return
