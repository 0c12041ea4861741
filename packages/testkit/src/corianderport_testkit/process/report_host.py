"""corianderport_testkit.process.report_host

A test double of the metrics address of a host.
"""

import contextlib
import http.server
import threading
import time
import typing

__all__ = ['ReportHost']


class ReportHost:
    """Answers each request with ``status`` and ``body``.

    ``targets`` and ``keys`` are the targets and the values of Authorization
    of the requests so far. An answer takes ``delay_s`` seconds.
    """

    def __init__(self, body: bytes) -> None:
        self.status = 200
        self.body = body
        self.delay_s = 0.0
        self.targets: list[str] = []
        self.keys: list[list[str] | None] = []
        host = self

        class _Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                host.targets.append(self.path)
                host.keys.append(self.headers.get_all('authorization'))
                time.sleep(host.delay_s)
                # The client may have given up in the meantime.
                with contextlib.suppress(ConnectionError):
                    self.send_response(host.status)
                    self.send_header('content-length', str(len(host.body)))
                    self.end_headers()
                    self.wfile.write(host.body)

            def log_message(self, *arguments: object) -> None:
                return

        self._server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), _Handler
        )
        self.address = f'127.0.0.1:{self._server.server_port}'
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def close(self) -> None:
        """Accept no more connections."""
        self._server.shutdown()
        self._server.server_close()
