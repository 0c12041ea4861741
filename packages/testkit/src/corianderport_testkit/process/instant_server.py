"""corianderport_testkit.process.instant_server

An HTTP server that answers every request immediately, to measure the cost of
clients.
"""

import signal
import threading

import werkzeug.wrappers

from corianderport_wire.connection import http_server

__all__ = ['main']

_MAX_CONNECTIONS = 600
_IDLE_TIMEOUT_S = 60.0


@werkzeug.wrappers.Request.application
def _answer(request: werkzeug.wrappers.Request) -> werkzeug.wrappers.Response:
    request.get_data()
    return werkzeug.wrappers.Response(b'{}', content_type='application/json')


def main() -> None:
    """Print the listening address and serve until SIGTERM."""
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    server = http_server.HttpServer(
        '127.0.0.1', 0, _answer, _MAX_CONNECTIONS, _IDLE_TIMEOUT_S
    )
    server.start()
    print(server.address, flush=True)
    stopped.wait()
    server.close()


if __name__ == '__main__':
    main()
