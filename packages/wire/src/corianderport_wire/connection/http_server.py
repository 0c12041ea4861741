"""corianderport_wire.connection.http_server

An HTTP/1.1 server that serves each connection on its own task.
"""

import concurrent.futures
import io
import socket
import threading
import time
import typing

import werkzeug.serving
import werkzeug.wrappers

if typing.TYPE_CHECKING:
    import _typeshed.wsgi

__all__ = ['HttpServer']

_SHUTDOWN_POLL_INTERVAL_S = 0.1
_REQUEST_TIMEOUT_S = 10.0
_CLOSE_TIMEOUT_S = 1.0


class _RequestReader(io.RawIOBase):
    """Reads from a connection with a time limit for each whole request.

    With a timeout for each read instead, a client could hold a connection
    indefinitely by sending one byte at a time.
    """

    def __init__(
        self, connection: socket.socket, idle_s: float, request_s: float
    ) -> None:
        self._connection = connection
        self._idle_s = idle_s
        self._request_s = request_s
        self._deadline_s: float | None = None

    def readable(self) -> bool:
        """Whether the stream is readable; always true."""
        return True

    def start_request(self) -> None:
        """Restart the time limit with the next byte received."""
        self._deadline_s = None

    def readinto(self, buffer: typing.Any) -> int:
        """Read the available bytes.

        :raises TimeoutError: the request was not received in time.
        """
        now_s = time.monotonic()
        timeout_s = self._idle_s
        if self._deadline_s is not None:
            timeout_s = self._deadline_s - now_s
        if timeout_s <= 0:
            raise TimeoutError('the request was not received in time')
        self._connection.settimeout(timeout_s)
        length = self._connection.recv_into(buffer)
        self._connection.settimeout(self._idle_s)
        if self._deadline_s is None:
            self._deadline_s = time.monotonic() + self._request_s
        return length


class _Handler(werkzeug.serving.WSGIRequestHandler):
    """Keeps connections open between requests."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1
    idle_s: typing.ClassVar[float]
    request_s: typing.ClassVar[float]

    def setup(self) -> None:
        """Replace the input stream by one with a time limit."""
        super().setup()
        self._reader = _RequestReader(
            self.connection, self.idle_s, self.request_s
        )
        self.rfile.close()
        self.rfile = io.BufferedReader(self._reader)

    def handle_one_request(self) -> None:
        """Serve one request within its time limit."""
        self._reader.start_request()
        super().handle_one_request()

    def run_wsgi(self) -> None:
        """Run the application and send its response.

        Werkzeug's implementation reads ahead after each response and so
        loses the next request on a persistent connection.
        """
        environ = self.make_environ()
        response = werkzeug.wrappers.Response.from_app(
            self.server.app, environ, buffered=True
        )
        if 'Transfer-Encoding' in self.headers:
            # The application may have left the body unread, and its length
            # is unknown, so that the next request cannot be located.
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
    """Serves a WSGI application on a bounded thread pool.

    :param host: IP address to listen on.
    :param port: port to listen on; 0 picks a free one.
    :param connections: maximum number of concurrent connections; further
        ones are closed.
    :param idle_s: time after which a connection without a request is
        closed.
    :param request_s: time within which a whole request must be received;
        the connection is closed otherwise.
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
        request_s: float = _REQUEST_TIMEOUT_S,
    ) -> None:
        limits = {'idle_s': idle_s, 'request_s': request_s}
        handler = type('_Handler', (_Handler,), limits)
        super().__init__(host, port, application, handler)
        self._executor = concurrent.futures.ThreadPoolExecutor(
            connections, thread_name_prefix=f'http-{self.port}'
        )
        self._slots = threading.BoundedSemaphore(connections)
        self._condition = threading.Condition()
        self._open: set[socket.socket] = set()

    @property
    def address(self) -> str:
        """Listening address, ``ip:port``."""
        return f'{self.host}:{self.port}'

    def process_request(
        self, request: typing.Any, client_address: typing.Any
    ) -> None:
        """Submit the connection to the pool, or close it at the limit."""
        if not self._slots.acquire(blocking=False):
            self.shutdown_request(request)
            return
        with self._condition:
            self._open.add(request)
        self._executor.submit(self._serve, request, client_address)

    def handle_error(
        self, request: typing.Any, client_address: typing.Any
    ) -> None:
        """Ignore the error; the connection is closed afterwards."""

    def start(self) -> None:
        """Accept connections on a background thread."""
        threading.Thread(
            target=self.serve_forever,
            kwargs={'poll_interval': _SHUTDOWN_POLL_INTERVAL_S},
            name=f'accept-{self.port}',
            daemon=True,
        ).start()

    def close(self) -> None:
        """Stop accepting and close all connections.

        Responses in progress get a short time to be completed.
        """
        self.shutdown()
        self.server_close()
        self._shutdown_all(socket.SHUT_RD)
        with self._condition:
            self._condition.wait_for(lambda: not self._open, _CLOSE_TIMEOUT_S)
        self._shutdown_all(socket.SHUT_RDWR)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _serve(self, request: typing.Any, client_address: typing.Any) -> None:
        try:
            self.finish_request(request, client_address)
        except OSError:
            self.handle_error(request, client_address)
        finally:
            self.shutdown_request(request)
            with self._condition:
                self._open.discard(request)
                self._condition.notify_all()
            self._slots.release()

    def _shutdown_all(self, how: int) -> None:
        with self._condition:
            connections = list(self._open)
        for connection in connections:
            try:
                connection.shutdown(how)
            except OSError:
                # The client has already closed it.
                continue
