"""corianderport_testkit.process.naive_tier

A tier without hedging, as the baseline of experiments and differential tests.
"""

import collections.abc
import concurrent.futures
import contextlib
import json
import logging
import random
import signal
import threading
import typing

import fire

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import readers
from corianderport_tier.process import ticket_table
from corianderport_tier.request import coverage
from corianderport_tier.request import merging
from corianderport_tier.request import messages
from corianderport_tier.request import planning
from corianderport_tier import result_codes
from corianderport_tier.version import configuration
from corianderport_wire.connection import http_server
from corianderport_wire.connection import platform_client
from corianderport_wire.connection import upstream_client
from corianderport_wire.request import caller_app
from corianderport_wire.version import document

__all__ = ['NaiveEntry', 'main', 'run']

_THREAD_COUNT = 512
_MAX_CONNECTIONS = 256
_IDLE_TIMEOUT_S = 30.0
_DIAL_TIMEOUT_S = 1.0
# Part of the deadline that is kept for merging and sending the answer.
_REPLY_MARGIN_S = 0.005


class _SearcherShare:
    """One host's fixed number of a searcher's slots, and idle connections."""

    def __init__(self, slots: int, clock: clocks.Clock) -> None:
        self.slots = threading.BoundedSemaphore(slots)
        self._dialer = upstream_client.HttpUpstreamDialer(clock)
        self._idle: list[transports.UpstreamTransport] = []

    @contextlib.contextmanager
    def connection(
        self, searcher: configuration.Searcher
    ) -> collections.abc.Iterator[transports.UpstreamTransport]:
        """Yield an idle or a new connection; close it if its use fails."""
        try:
            transport = self._idle.pop()
        except IndexError:
            transport = self._dialer.dial(searcher, _DIAL_TIMEOUT_S)
        try:
            yield transport
        except errors.TransportError:
            transport.close()
            raise
        self._idle.append(transport)


class NaiveEntry:
    """Sends each sub-query to a random replica, without hedging.

    After a refusal or a failed connection it tries the next replica. It
    waits for a slow replica until the deadline.
    """

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        hosts: int,
    ) -> None:
        self._store = store
        self._executor = executor
        self._clock = clock
        self._hosts = hosts
        self._lock = threading.Lock()
        self._shares: dict[str, _SearcherShare] = {}

    def search(self, request: messages.SearchRequest) -> messages.SearchAnswer:
        """Query all services at once and merge their answers.

        Shards whose answers are late count as missing.
        """
        config = self._store.current()
        plan = planning.plan_search(config, request)
        futures = [
            self._executor.submit(
                self._query_service, config, plan, request, sub_query
            )
            for sub_query in plan.sub_queries()
        ]
        left_s = request.deadline.earlier(_REPLY_MARGIN_S).remaining(
            self._clock
        )
        done, _ = concurrent.futures.wait(futures, left_s)
        answers = [answer for future in done for answer in future.result()]
        complete = coverage.complete_answers(plan.shards, answers)
        covered = coverage.measure(plan.shards, complete)
        codes = result_codes.ResultCode
        return messages.SearchAnswer(
            code=codes.PARTIAL if covered.missing else codes.OK,
            request_id=request.request_id,
            snapshot=plan.snapshot.number,
            coverage=covered,
            hits=merging.top_hits(complete.values(), request.limit),
            sub_requests=len(futures),
        )

    def issue_ticket(self) -> ticket_table.IssuedTicket:
        """Refuse the call, because this tier has no actions."""
        raise errors.UnknownService('the naive tier does not support actions')

    def act(self, request: messages.ActionRequest) -> messages.ActionAnswer:
        """Refuse the call, because this tier has no actions."""
        raise errors.UnknownService('the naive tier does not support actions')

    def _query_service(
        self,
        config: configuration.Configuration,
        plan: planning.SearchPlan,
        request: messages.SearchRequest,
        sub_query: messages.SubQuery,
    ) -> tuple[messages.ShardAnswer, ...]:
        service = config.services[sub_query.service]
        replicas = [s for s in service.searchers if config.is_in_service(s)]
        for searcher in random.sample(replicas, len(replicas)):
            call = messages.UpstreamSearch(
                request_id=request.request_id,
                attempt_id=f'{request.request_id}.{searcher.name}',
                index=plan.search.index,
                snapshot=plan.snapshot.number,
                shards=sub_query.shards,
                query=request.query,
                limit=request.limit,
                deadline=request.deadline,
            )
            reply = self._attempt(service, searcher, call)
            if isinstance(reply, messages.UpstreamSearchReply):
                same_snapshot = reply.snapshot == plan.snapshot.number
                return reply.answers if same_snapshot else ()
        return ()

    def _attempt(
        self,
        service: configuration.Service,
        searcher: configuration.Searcher,
        call: messages.UpstreamSearch,
    ) -> messages.UpstreamSearchReply | messages.UpstreamRefusal | None:
        """Send one search; return None if it fails or the deadline passes."""
        share = self._share(service, searcher)
        left_s = call.deadline.remaining(self._clock)
        if not share.slots.acquire(timeout=left_s):
            return None
        try:
            left_s = call.deadline.remaining(self._clock)
            if left_s <= 0:
                return None
            with share.connection(searcher) as transport:
                return transport.search(call, left_s)
        except errors.CorianderportError:
            return None
        finally:
            share.slots.release()

    def _share(
        self, service: configuration.Service, searcher: configuration.Searcher
    ) -> _SearcherShare:
        with self._lock:
            share = self._shares.get(searcher.address)
            if share is None:
                # At least one slot, even if the hosts then exceed the limit.
                slots = max(1, service.limits.slots // self._hosts)
                share = _SearcherShare(slots, self._clock)
                self._shares[searcher.address] = share
            return share


def run(platform: str, hosts: int, **unused: typing.Any) -> None:
    """Print the addresses as one line of JSON and serve until SIGTERM.

    :param platform: address of the platform, ``ip:port``.
    :param hosts: number of hosts that share the slots of each searcher.
    :param unused: flags of the daemon, which a fleet passes to every host.
    """
    logging.basicConfig(level='ERROR')
    clock = clocks.SystemClock()
    executor = concurrent.futures.ThreadPoolExecutor(_THREAD_COUNT)
    store = configuration_store.ConfigurationStore(
        document.DocumentCodec(), clock
    )
    reader = readers.ConfigurationReader(
        platform_client.PlatformClient(platform),
        store,
        clock,
        readers.ReaderTimes(),
        lambda: True,
    )
    threading.Thread(target=reader.run, daemon=True).start()
    server = http_server.HttpServer(
        '127.0.0.1',
        0,
        caller_app.CallerApp(
            NaiveEntry(store, executor, clock, hosts),
            clock,
            caller_app.CallerLimits(),
        ),
        _MAX_CONNECTIONS,
        _IDLE_TIMEOUT_S,
    )
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    server.start()
    addresses = {
        'caller_address': server.address,
        'peer_address': '',
        'admin_address': '',
    }
    print(json.dumps(addresses), flush=True)
    stopped.wait()
    reader.close()
    server.close()
    executor.shutdown(wait=False, cancel_futures=True)


def main() -> None:
    """Parse the flags and serve."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
