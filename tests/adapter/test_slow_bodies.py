"""Slow bodies: searchers get no more time than the caller has left."""

import contextlib
import random

import hypothesis
from hypothesis import strategies

from corianderport_platform import caller_codec
from corianderport_platform import headers
from corianderport_platform import searcher_codec
from corianderport_testkit import clock as clock_module
from corianderport_tier.connection import byte_charge
from corianderport_tier.connection import pool
from corianderport_tier import errors
from corianderport_tier.process import byte_budget
from corianderport_tier.process import decision_log
from corianderport_tier.process import directory
from corianderport_tier.process import fleet_share
from corianderport_tier.process import service_searchers
from corianderport_tier.request import deadlines
from corianderport_tier.request import forward_send
from corianderport_tier.request import forwarding
from corianderport_tier.version import registrations
from corianderport_tier.version import routes
from corianderport_wire.connection import caller_messages
from corianderport_wire.connection import http_exchange
from corianderport_wire.connection import request_parser
from corianderport_wire.connection import request_reader

_LIMITS = routes.CallerLimits(16_384, 262_144, 3.0, 15.0)
_BOUNDS = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5)
_SEARCHERS = 3
# The field is in whole milliseconds, and at least one.
_LEAST_MS = 1.0


class _Exchange:
    """Connection to a searcher that records the time that it is given."""

    def __init__(self, clock: clock_module.ManualClock) -> None:
        self._clock = clock
        self.usable_until_s = float('inf')
        # Time of each send and the milliseconds given with it.
        self.given: list[tuple[float, float]] = []
        self.status = 200

    def send(
        self, request: http_exchange.HttpRequest, deadline: deadlines.Deadline
    ) -> None:
        fields = dict(request.headers)
        self.given.append(
            (self._clock.monotonic(), float(fields[b'x-deadline-ms']))
        )

    def receive(
        self,
        deadline: deadlines.Deadline,
        matches: http_exchange.ReplyMatcher,
    ) -> http_exchange.HttpReply:
        if self.status != 200:
            # Each of the sends that follow has to leave less time.
            self._clock.advance(0.05)
            return http_exchange.HttpReply(
                503, ((headers.NOT_EXECUTED, b'1'),), b''
            )
        return http_exchange.HttpReply(200, ((b'x-request-id', b'q'),), b'')


class _Pool:
    """Pool whose connections take some time to open."""

    def __init__(
        self,
        exchange: _Exchange,
        clock: clock_module.ManualClock,
        dial_s: float,
    ) -> None:
        self._exchange = exchange
        self._clock = clock
        self._dial_s = dial_s

    def submit(
        self,
        job: forward_send.SendAttempt,
        reuse: pool.Reuse = pool.ANY_CONNECTION,
    ) -> None:
        self._clock.advance(self._dial_s)
        reply: object
        try:
            reply = job.perform(
                searcher_codec.HttpSearcher(self._exchange, self._clock)
            )
        except errors.CorianderportError as error:
            reply = error
        job.finish(reply)

    def limit_connections(self, limit: int) -> None:
        return

    def limit_idle_time(self, idle_s: float) -> None:
        return

    def close(self) -> None:
        return


class _Caller:
    def watch(self, on_disconnect: object) -> object:
        return contextlib.nullcontext()

    def call_when_sent(self, on_sent: object) -> None:
        return


def _forwarder(
    clock: clock_module.ManualClock, open_pool: service_searchers.OpenPool
) -> forwarding.Forwarder:
    log = decision_log.DecisionLog()
    rng = random.Random(1)
    share = fleet_share.FleetShare(_BOUNDS, 'h1', lambda: ('h1',), clock)
    known = directory.Directory(
        lambda name: service_searchers.ServiceSearchers(
            name, 'dc-a', share, open_pool, clock, rng
        ),
        clock,
        log,
    )
    route = routes.Route(
        name='slow',
        host='a.example',
        prefix='/',
        idempotent=True,
        timeout_s=8.0,
        goal_s=1.0,
        rank=1,
        attempts=2,
        target=routes.Split((routes.WeightedService('stock', 1.0),)),
    )
    routing = routes.RoutingVersion(
        1,
        (route,),
        {'stock': routes.ServiceParameters('stock', 24, 3.0, 0.0)},
        _LIMITS,
    )
    changes = [registrations.Entry('routing', 1, routing)]
    changes += [
        registrations.Entry(
            f'servers/s-{n}',
            2,
            registrations.Registration(
                searcher=f's-{n}',
                service='stock',
                address=f'127.0.0.1:{9_000 + n}',
                data_centre='dc-a',
                slots=2,
                draining=False,
                warm_up_left_s=0.0,
            ),
        )
        for n in range(_SEARCHERS)
    ]
    known.apply(changes)
    return forwarding.Forwarder(known, clock, log, rng)


def _receive(
    clock: clock_module.ManualClock,
    content: bytes,
    cuts: list[int],
    delays_s: list[float],
) -> caller_messages.ReceivedRequest:
    """Receive a request in pieces, each after a delay."""
    ends = sorted({1 + cut % (len(content) - 1) for cut in cuts})
    starts = [0, *ends]
    pieces = [
        content[a:b]
        for a, b in zip(starts, [*ends, len(content)], strict=True)
    ]
    reader = request_reader.RequestReader(
        request_parser.RequestParser(_LIMITS),
        _LIMITS,
        byte_charge.ByteCharge(
            byte_budget.ByteBudget(10**9, clock), lambda: False
        ),
        lambda head: True,
        clock,
        caller_messages.Arrival(clock.monotonic()),
    )

    def read(interim: bytes, deadline: deadlines.Deadline) -> bytes:
        clock.advance(delays_s[len(pieces) % len(delays_s)])
        return pieces.pop(0)

    received = reader.receive(pieces.pop(0), read)
    assert received is not None
    return received


_DELAYS_S = strategies.floats(0.0, 0.6)


@hypothesis.given(
    deadline_ms=strategies.integers(0, 5_000),
    body_bytes=strategies.integers(1, 300),
    cuts=strategies.lists(strategies.integers(0, 1_000), max_size=12),
    delays_s=strategies.lists(_DELAYS_S, min_size=1, max_size=5),
    dial_s=strategies.floats(0.0, 0.25),
    status=strategies.sampled_from([200, 503]),
)
def test_searchers_get_no_more_time_than_the_caller_has_left(
    deadline_ms: int,
    body_bytes: int,
    cuts: list[int],
    delays_s: list[float],
    dial_s: float,
    status: int,
) -> None:
    """Guards against slow bodies that lengthen what searchers may take.

    The time counts from the first byte of the request, and so it does in
    each further send.
    """
    clock = clock_module.ManualClock()
    exchange = _Exchange(clock)
    exchange.status = status
    content = (
        b'POST /x HTTP/1.1\r\nhost: a.example\r\nx-request-id: q\r\n'
        b'x-deadline-ms: %d\r\ncontent-length: %d\r\n\r\n'
        % (deadline_ms, body_bytes)
    ) + bytes(body_bytes)
    forwarder = _forwarder(
        clock, lambda registration, limit: _Pool(exchange, clock, dial_s)
    )
    ends_s = clock.monotonic() + deadline_ms / 1e3
    received = _receive(clock, content, cuts, delays_s)
    spare_s = ends_s - clock.monotonic() - dial_s
    forwarder.answer(caller_codec.request_from_http(received), _Caller())
    for at_s, given_ms in exchange.given:
        assert given_ms <= max(_LEAST_MS, (ends_s - at_s) * 1e3 + 1e-6)
    assert all(at_s < ends_s for at_s, _ in exchange.given)
    # With time left, the request is sent and gets all of it.
    if spare_s > 0.02:
        at_s, given_ms = exchange.given[0]
        left_ms = min(8.0, ends_s - at_s) * 1e3
        assert given_ms > left_ms - 2
