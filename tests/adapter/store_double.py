"""A double of the platform's store, on a free port."""

import base64
import collections.abc
import contextlib
import http.server
import json
import socket
import sys
import threading
import time
import typing
import urllib.parse

__all__ = ['Handler', 'HttpDouble', 'Store', 'reserved_port']

_PAGE = 2
_POLL_INTERVAL_S = 0.01


def reserved_port() -> socket.socket:
    """Return a socket that keeps a port from being used for connections.

    A host can listen on the port meanwhile, since the socket doesn't listen
    and both have SO_REUSEADDR. A port that was only picked and released was
    taken by one of the many connections of another test run.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(('127.0.0.1', 0))
    return reserved


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    owner: typing.Any

    def handle_error(self, request: typing.Any, address: typing.Any) -> None:
        # Clients that end a connection while a reply is due are expected.
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, address)


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection of a client of a double."""

    protocol_version = 'HTTP/1.1'
    server: _Server

    def do_GET(self) -> None:
        self.server.owner.answer(self)

    do_POST = do_GET

    def send(
        self,
        status: int,
        body: bytes = b'',
        headers: collections.abc.Mapping[str, str] | None = None,
        transfer_s: float = 0.0,
    ) -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        if transfer_s:
            half = len(body) // 2
            self.wfile.write(body[:half])
            time.sleep(transfer_s)
            body = body[half:]
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        return


class HttpDouble:
    """Base class of doubles: an HTTP server on a free port."""

    def __init__(self) -> None:
        self._server = _Server(('127.0.0.1', 0), Handler)
        self._server.owner = self
        host, port = self._server.server_address[:2]
        self.address = f'{host!s}:{port}'
        threading.Thread(
            target=self._server.serve_forever,
            args=(_POLL_INTERVAL_S,),
            daemon=True,
        ).start()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def answer(self, request: Handler) -> None:
        """Handle a request."""
        raise NotImplementedError


class Store(HttpDouble):
    """Stores items with revisions; serves pages and watches."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._items: dict[str, dict[str, typing.Any]] = {}
        self._events: list[dict[str, typing.Any]] = []
        self._revision = 1
        self.oldest = 0
        self.status: int | None = None
        # Time over which the body of a reply is sent.
        self.transfer_s = 0.0
        # Sent instead of a page or of changes.
        self.malformed: bytes | None = None
        super().__init__()

    def put(self, key: str, value: object) -> None:
        """Write a value; anything but bytes is encoded as JSON."""
        content = value if isinstance(value, bytes) else json.dumps(value)
        if isinstance(content, str):
            content = content.encode()
        with self._condition:
            self._revision += 1
            item = {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'rev': self._revision,
                'create_rev': self._revision,
                'lease': 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._condition.notify_all()

    def remove(self, key: str) -> None:
        """Remove a key."""
        with self._condition:
            self._revision += 1
            self._items.pop(key, None)
            self._events.append(
                {'key': key, 'rev': self._revision, 'tombstone': True}
            )
            self._condition.notify_all()

    def answer(self, request: Handler) -> None:
        """Serve a page or a watch."""
        if self.status is not None:
            request.send(self.status)
            return
        if self.malformed is not None:
            request.send(200, self.malformed)
            return
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        if url.path == '/corianderport/kv-range':
            self._page(request, query)
        elif url.path == '/corianderport/kv-watch':
            self._watch(request, query)
        else:
            request.send(404)

    def _page(self, request: Handler, query: dict[str, str]) -> None:
        with self._condition:
            keys = sorted(
                key
                for key in self._items
                if key.startswith(query['prefix'])
                and key > query.get('after', '')
            )
            document = {
                'items': [self._items[key] for key in keys[:_PAGE]],
                'has_more': len(keys) > _PAGE,
                'current_rev': self._revision,
            }
        request.send(
            200, json.dumps(document).encode(), transfer_s=self.transfer_s
        )

    def _watch(self, request: Handler, query: dict[str, str]) -> None:
        after = int(query['after'])
        deadline_s = time.monotonic() + int(query['wait_ms']) / 1e3

        def new_events() -> list[dict[str, typing.Any]]:
            return [
                e
                for e in self._events
                if e['rev'] > after and e['key'].startswith(query['prefix'])
            ]

        with self._condition:
            if after < self.oldest:
                request.send(410)
                return
            while not new_events():
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0:
                    break
                self._condition.wait(remaining_s)
            document = {'events': new_events(), 'current_rev': self._revision}
        request.send(200, json.dumps(document).encode())
