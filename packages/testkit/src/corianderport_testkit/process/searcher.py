"""corianderport_testkit.process.searcher

A fake searcher whose faults tests can set at run time.
"""

import collections
import collections.abc
import functools
import threading
import time
import typing
import uuid

import attrs
import orjson
import werkzeug.wrappers

from corianderport_testkit.version import corpus
from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import messages
from corianderport_tier.version import snapshots
from corianderport_wire.connection import http_server
from corianderport_wire.request import upstream_codec

__all__ = [
    'Behaviour',
    'Record',
    'Searcher',
    'SearcherContent',
    'SearcherServer',
]

_MAX_CONNECTIONS = 128
_IDLE_TIMEOUT_S = 120.0


@attrs.define
class Behaviour:
    """Limits and faults of a searcher; all can be set at run time.

    ``slots`` is the number of concurrent requests that the searcher accepts,
    and ``held`` the numbers of the snapshots that it can search.
    ``latency_s`` delays every search, ``act_late_s`` every action.

    ``cold_requests`` is the number of requests that a cold searcher needs to
    warm up, sent one at a time. More than one concurrent request overloads a
    cold searcher; the record counts these as ``overruns``.

    ``shed`` and ``draining`` make the searcher refuse every request.
    ``truncate`` makes it return half of the hits, as incomplete shard
    answers. ``silent`` makes it accept requests without answering them, on
    the connections that are open when it is set. ``act_cut`` closes the
    connection of an action ``before`` it runs or ``after`` it has run.
    """

    slots: int = 2
    latency_s: float = 0.0
    cold_requests: int = 0
    shed: bool = False
    draining: bool = False
    truncate: bool = False
    silent: bool = False
    act_late_s: float = 0.0
    act_cut: str = ''
    held: tuple[int, ...] = (1,)


class SearcherContent(typing.Protocol):
    """The documents and shards that a searcher serves."""

    @property
    def documents(self) -> int:
        """Number of documents in the index."""

    def shard_map(self) -> tuple[snapshots.Shard, ...]:
        """Return the shards that requests may name."""


@attrs.define
class Record:
    """Counts of the requests that the searcher received.

    ``searches`` counts the accepted requests, actions included; ``runs``
    counts the runs of each action by its payload.
    """

    searches: int = 0
    refused: int = 0
    overruns: int = 0
    max_in_flight: int = 0
    max_in_flight_cold: int = 0
    cancelled: int = 0
    runs: dict[str, int] = attrs.Factory(dict)


@functools.cache
def _shard_index(
    documents: int, snapshot: int, begin: int, end: int
) -> corpus.TextIndex:
    indexed = corpus.documents(documents, snapshot)
    return corpus.TextIndex(indexed[begin:end])


class Searcher:
    """Accepts or refuses each request according to its behaviour."""

    def __init__(
        self,
        name: str,
        content: SearcherContent,
        behaviour: Behaviour,
    ) -> None:
        self.name = name
        self.behaviour = behaviour
        self.record = Record()
        self.incarnation = uuid.uuid4().hex
        self._content = content
        self._shards = {s.name: s for s in content.shard_map()}
        self._lock = threading.Lock()
        self._in_flight = 0
        self._cancelled: collections.deque[str] = collections.deque(
            maxlen=1024
        )

    def restart(self, cold_requests: int) -> None:
        """Become cold again, with a new incarnation, as after a restart.

        :param cold_requests: number of requests needed to warm up.
        """
        with self._lock:
            self.incarnation = uuid.uuid4().hex
            self.behaviour.cold_requests = cold_requests

    def search(
        self, call: messages.UpstreamSearch
    ) -> messages.UpstreamSearchReply | messages.UpstreamRefusal:
        """Run or refuse one search attempt."""
        refusal = self._start(call.snapshot)
        if refusal is not None:
            return refusal
        try:
            if self.behaviour.latency_s:
                time.sleep(self.behaviour.latency_s)
            return self._search_reply(call)
        finally:
            self._finish()

    def act(
        self, call: messages.UpstreamAction
    ) -> messages.UpstreamActionReply | messages.UpstreamRefusal:
        """Run or refuse one action; the record counts each run."""
        refusal = self._start(None)
        if refusal is not None:
            return refusal
        try:
            time.sleep(self.behaviour.act_late_s)
            with self._lock:
                runs = self.record.runs
                runs[call.payload] = runs.get(call.payload, 0) + 1
            return messages.UpstreamActionReply(
                call.request_id,
                call.attempt_id,
                True,
                f'{call.action} done: {call.payload}',
                self.incarnation,
            )
        finally:
            self._finish()

    def cancel(self, attempt_id: str) -> None:
        """Record a cancellation."""
        with self._lock:
            self.record.cancelled += 1
            self._cancelled.append(attempt_id)

    def _start(self, snapshot: int | None) -> messages.UpstreamRefusal | None:
        """Occupy a slot, or return a refusal.

        :param snapshot: snapshot that a search needs; None for an action.
        """
        reasons = messages.RefusalReason
        with self._lock:
            behaviour = self.behaviour
            reason = None
            if behaviour.draining:
                reason = reasons.DRAINING
            elif behaviour.shed or self._in_flight >= behaviour.slots:
                reason = reasons.SHED
            elif snapshot is not None and snapshot not in behaviour.held:
                reason = reasons.SNAPSHOT_GONE
            if reason is not None:
                self.record.refused += 1
                return messages.UpstreamRefusal(
                    reason, self.incarnation, tuple(behaviour.held)
                )
            self._record_start()
        return None

    def _record_start(self) -> None:
        record = self.record
        self._in_flight += 1
        record.searches += 1
        record.max_in_flight = max(record.max_in_flight, self._in_flight)
        if self.behaviour.cold_requests > 0:
            record.max_in_flight_cold = max(
                record.max_in_flight_cold, self._in_flight
            )
            record.overruns += self._in_flight > 1

    def _finish(self) -> None:
        with self._lock:
            self._in_flight -= 1
            if self.behaviour.cold_requests > 0:
                self.behaviour.cold_requests -= 1

    def _search_reply(
        self, call: messages.UpstreamSearch
    ) -> messages.UpstreamSearchReply:
        answers = tuple(
            self._shard_answer(call, shard)
            for shard in call.shards
            if shard in self._shards
        )
        return messages.UpstreamSearchReply(
            request_id=call.request_id,
            attempt_id=call.attempt_id,
            snapshot=call.snapshot,
            incarnation=self.incarnation,
            held=tuple(self.behaviour.held),
            answers=answers,
        )

    def _shard_answer(
        self, call: messages.UpstreamSearch, name: str
    ) -> messages.ShardAnswer:
        shard = self._shards[name]
        index = _shard_index(
            self._content.documents, call.snapshot, shard.begin, shard.end
        )
        hits = index.search(call.query, call.limit)
        if self.behaviour.truncate:
            return messages.ShardAnswer(name, False, hits[: len(hits) // 2])
        return messages.ShardAnswer(name, True, hits)


class SearcherServer:
    """Serves a searcher over HTTP, with control endpoints for tests."""

    def __init__(
        self, searcher: Searcher, host: str = '127.0.0.1', port: int = 0
    ) -> None:
        self.searcher = searcher
        self._clock = clocks.SystemClock()
        self._silent_connections: set[tuple[str, str]] = set()
        self._known_connections: set[tuple[str, str]] = set()
        self._closing = threading.Event()
        self._paths: dict[
            str, collections.abc.Callable[[bytes], typing.Any]
        ] = {
            '/search': self._search,
            '/act': self._act,
            '/cancel': self._cancel,
            '/health': self._health,
            '/load': self._load,
            '/control': self._control,
            '/record': self._record,
        }
        self._server = http_server.HttpServer(
            host, port, self._serve, _MAX_CONNECTIONS, _IDLE_TIMEOUT_S
        )

    @property
    def address(self) -> str:
        """The listening address, ``ip:port``."""
        return self._server.address

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def close(self) -> None:
        """Close all connections, including silent ones."""
        self._closing.set()
        self._server.close()

    def _serve(
        self, environ: typing.Any, start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        request = werkzeug.wrappers.Request(environ)
        body = request.get_data()
        connection = (environ['REMOTE_ADDR'], str(environ['REMOTE_PORT']))
        if request.path != '/control':
            self._known_connections.add(connection)
            if connection in self._silent_connections:
                self._closing.wait()
        try:
            status, reply = self._paths[request.path](body)
        except KeyError:
            status, reply = 404, b'{}'
        response = werkzeug.wrappers.Response(
            reply, status, content_type='application/json'
        )
        return response(environ, start_response)

    def _search(self, body: bytes) -> tuple[int, bytes]:
        try:
            call = upstream_codec.decode_search(body, self._clock)
        except errors.MalformedRequest:
            return _refusal_response(
                messages.UpstreamRefusal(messages.RefusalReason.MALFORMED)
            )
        reply = self.searcher.search(call)
        if isinstance(reply, messages.UpstreamRefusal):
            return _refusal_response(reply)
        return 200, upstream_codec.encode_search_reply(reply)

    def _act(self, body: bytes) -> tuple[int, bytes]:
        call = upstream_codec.decode_action(body, self._clock)
        cut = self.searcher.behaviour.act_cut
        if cut == 'before':
            raise ConnectionAbortedError(
                'connection closed before the action ran'
            )
        reply = self.searcher.act(call)
        if cut == 'after':
            raise ConnectionAbortedError(
                'connection closed after the action ran'
            )
        if isinstance(reply, messages.UpstreamRefusal):
            return _refusal_response(reply)
        return 200, upstream_codec.encode_action_reply(reply)

    def _cancel(self, body: bytes) -> tuple[int, bytes]:
        self.searcher.cancel(orjson.loads(body)['attempt_id'])
        return 200, b'{}'

    def _health(self, body: bytes) -> tuple[int, bytes]:
        # Always healthy, because the health endpoint of a real searcher lags
        # or misleads.
        return 200, b'{"healthy": true}'

    def _load(self, body: bytes) -> tuple[int, bytes]:
        return 200, b'{"in_flight": 0}'

    def _control(self, body: bytes) -> tuple[int, bytes]:
        """Set the fields of the behaviour that a JSON object holds.

        The key ``restart`` restarts the searcher and ``reset`` clears its
        record.
        """
        for name, value in orjson.loads(body).items():
            if name == 'restart':
                self.searcher.restart(value)
                continue
            if name == 'reset':
                self.searcher.record = Record()
                continue
            setattr(self.searcher.behaviour, name, value)
            if name == 'silent':
                self._silent_connections = (
                    set(self._known_connections) if value else set()
                )
        return 200, b'{}'

    def _record(self, body: bytes) -> tuple[int, bytes]:
        return 200, orjson.dumps(attrs.asdict(self.searcher.record))


def _refusal_response(refusal: messages.UpstreamRefusal) -> tuple[int, bytes]:
    statuses = {
        messages.RefusalReason.SNAPSHOT_GONE: 409,
        messages.RefusalReason.MALFORMED: 400,
    }
    status = statuses.get(refusal.reason, 503)
    return status, upstream_codec.encode_refusal(refusal)
