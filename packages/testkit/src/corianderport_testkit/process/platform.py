"""corianderport_testkit.process.platform

A fake configuration service and host list, served over HTTP.
"""

import collections.abc
import threading
import typing

import cattrs.preconf.orjson
import orjson
import werkzeug.wrappers

from corianderport_tier.process import membership
from corianderport_wire.connection import http_server

__all__ = ['Platform']

_MAX_CONNECTIONS = 256
_IDLE_TIMEOUT_S = 60.0
_CONVERTER = cattrs.preconf.orjson.make_converter()


class Platform:
    """Serves configuration documents and the host list.

    ``configuration_calls`` counts the calls that read or await a document.
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._version = 0
        self._document: bytes | None = None
        self._members: dict[str, membership.Member] = {}
        self._server = http_server.HttpServer(
            '127.0.0.1', 0, self._serve, _MAX_CONNECTIONS, _IDLE_TIMEOUT_S
        )
        self.configuration_calls = 0
        self.down = False

    def __enter__(self) -> typing.Self:
        self._server.start()
        return self

    def __exit__(self, *exception: object) -> None:
        with self._condition:
            self.down = True
            self._condition.notify_all()
        self._server.close()

    @property
    def address(self) -> str:
        """The listening address, ``ip:port``."""
        return self._server.address

    def publish(self, version: int, document: bytes) -> None:
        """Publish a document without checking its content or version."""
        with self._condition:
            self._version = version
            self._document = document
            self._condition.notify_all()

    def set_host(self, member: membership.Member) -> None:
        """Add a host to the host list, or replace its entry."""
        with self._condition:
            self._members[member.name] = member

    def remove_host(self, name: str) -> None:
        """Remove a host from the host list."""
        with self._condition:
            self._members.pop(name, None)

    def set_down(self, down: bool) -> None:
        """Make every call fail with status 503, or end the failure."""
        with self._condition:
            self.down = down
            self._condition.notify_all()

    def _serve(
        self, environ: typing.Any, start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        request = werkzeug.wrappers.Request(environ)
        if self.down:
            status, body = 503, b'{}'
        elif request.path == '/hosts':
            status, body = self._list_hosts()
        elif request.path == '/configuration':
            status, body = self._read_configuration(0, 0.0)
        else:
            status, body = self._read_configuration(
                int(request.args['after']),
                int(request.args['timeout_ms']) / 1e3,
            )
        response = werkzeug.wrappers.Response(
            body, status, content_type='application/json'
        )
        return response(environ, start_response)

    def _list_hosts(self) -> tuple[int, bytes]:
        with self._condition:
            members = list(self._members.values())
        return 200, orjson.dumps(_CONVERTER.unstructure(members))

    def _read_configuration(
        self, after: int, timeout_s: float
    ) -> tuple[int, bytes]:
        """Wait for a version greater than ``after``; return status and body.

        The status is 304 if there is none when the timeout passes.
        """
        with self._condition:
            self.configuration_calls += 1
            self._condition.wait_for(
                lambda: self._version > after or self.down, timeout_s
            )
            if self.down:
                return 503, b'{}'
            if self._document is None or self._version <= after:
                return 304, b''
            return 200, self._document
