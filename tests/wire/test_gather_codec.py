"""Gathers that hosts give to each other over thrift."""

import collections.abc
import threading
import typing

import attrs
import pytest

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import membership
from corianderport_tier.request import deadlines
from corianderport_tier.request import forward_messages
from corianderport_tier.request import gather_messages
from corianderport_tier import result_codes
from corianderport_wire.connection import gather_codec
from corianderport_wire.connection import heartbeat_codec
from corianderport_wire.connection import peer_authentication
from corianderport_wire.connection import peer_client
from corianderport_wire.connection import peer_server

_CLOCK = clocks.SystemClock()
_KEYS = peer_authentication.SharedKeys.from_text('a key of the tests')
_TIMEOUT_S = 10.0
_BINARY = b'\xff\x00\xc3'
_REQUEST = forward_messages.ForwardRequest(
    'q\xe9',
    'a.example',
    '/find/x',
    forward_messages.Payload(
        b'POST', b'/find/x?y', ((b'x-a', _BINARY), (b'x-b', b'')), _BINARY
    ),
    deadlines.Deadline(0.0),
    0.0,
)
Gathered = forward_messages.Gathered
Failure = forward_messages.Failure
Code = result_codes.ResultCode


def _call() -> gather_messages.GatherCall:
    return gather_messages.GatherCall(
        'h1',
        7,
        attrs.evolve(_REQUEST, deadline=deadlines.Deadline.after(_CLOCK, 0.8)),
        deadlines.Deadline.after(_CLOCK, 0.07),
    )


class _Gatherer:
    """A peer service whose answer is set by the test."""

    def __init__(self) -> None:
        self.answer: forward_messages.ForwardAnswer | Exception
        self.answer = Gathered(('r1', 'r2'), 1, _BINARY)
        self.calls: list[gather_messages.GatherCall] = []
        self.held = False
        self.entered = threading.Event()
        self.disconnected = threading.Event()

    def gather_availability(self) -> gather_messages.GatherAvailability:
        return gather_messages.GatherAvailability(7, True)

    def gather(
        self, call: gather_messages.GatherCall, caller: typing.Any
    ) -> forward_messages.ForwardAnswer | None:
        self.calls.append(call)
        if self.held:
            with caller.watch(self.disconnected.set):
                self.entered.set()
                self.disconnected.wait(_TIMEOUT_S)
            return None
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


@pytest.fixture(name='gatherer')
def _gatherer() -> _Gatherer:
    return _Gatherer()


@pytest.fixture(name='transport')
def _transport(
    gatherer: _Gatherer,
) -> collections.abc.Iterator[peer_client.ThriftPeerTransport]:
    server = peer_server.PeerServer('127.0.0.1', 0, _CLOCK, 8, _KEYS)
    server.start(typing.cast(typing.Any, gatherer))
    member = membership.Member('h', 'dc-a', server.address)
    transport = peer_client.ThriftPeerDialer(_CLOCK, _KEYS).dial(
        member, _TIMEOUT_S
    )
    yield transport
    transport.close()
    server.close()


def test_gather_and_its_answer_arrive_unchanged(
    gatherer: _Gatherer, transport: peer_client.ThriftPeerTransport
) -> None:
    """Guards against bytes that are taken for text, and lost fields."""
    availability = transport.gather_availability(_TIMEOUT_S)
    assert availability == gather_messages.GatherAvailability(7, True)
    call = _call()
    assert transport.gather(call, _TIMEOUT_S) == gatherer.answer
    (received,) = gatherer.calls
    assert received.sender == 'h1'
    assert received.version == 7
    assert received.request.payload == call.request.payload
    assert received.request.request_id == 'q\xe9'
    # Both clocks are the same here, and the time on the way is lost.
    assert received.goal.at_s >= call.goal.at_s
    assert received.request.deadline.at_s >= call.request.deadline.at_s


@pytest.mark.parametrize(
    'failure',
    [
        Failure(Code.COVERAGE_NOT_MET, 'only 3 of 63 parts answered'),
        Failure(Code.NO_UPSTREAM, 'no searcher', 0.25),
    ],
)
def test_failure_keeps_whether_the_request_ran(
    gatherer: _Gatherer,
    transport: peer_client.ThriftPeerTransport,
    failure: Failure,
) -> None:
    """Guards against an untrue refusal, or an unnecessary failure."""
    gatherer.answer = failure
    assert transport.gather(_call(), _TIMEOUT_S) == failure


def test_refusal_keeps_the_connection(
    gatherer: _Gatherer, transport: peer_client.ThriftPeerTransport
) -> None:
    """Guards against a busy host that is taken for one that failed."""
    gatherer.answer = errors.Overloaded('busy')
    with pytest.raises(errors.Overloaded):
        transport.gather(_call(), _TIMEOUT_S)
    gatherer.answer = Gathered(('r1',), 0, b'')
    assert transport.gather(_call(), _TIMEOUT_S) == gatherer.answer


def test_abort_reaches_the_host_that_gathers(
    gatherer: _Gatherer, transport: peer_client.ThriftPeerTransport
) -> None:
    """Guards against searchers that work for a caller who has left."""
    gatherer.held = True
    failures: list[Exception] = []

    def gather() -> None:
        try:
            transport.gather(_call(), _TIMEOUT_S)
        except errors.TransportError as error:
            failures.append(error)

    task = threading.Thread(target=gather)
    task.start()
    assert gatherer.entered.wait(_TIMEOUT_S)
    transport.abort()
    assert gatherer.disconnected.wait(_TIMEOUT_S)
    task.join(_TIMEOUT_S)
    assert len(failures) == 1
    transport.close()
    # The descriptor may belong to another connection by now.
    transport.abort()


@pytest.mark.parametrize(
    'change',
    [
        {'request_id': None},
        {'target': None},
        {'version': None},
        {'remaining_ms': float('nan')},
        {'goal_ms': 1e12},
    ],
)
def test_odd_call_is_refused(change: dict[str, typing.Any]) -> None:
    """Guards against a gather that starts with missing or endless times."""
    fields = gather_codec.call_to_thrift(_call(), _CLOCK)
    for name, value in change.items():
        setattr(fields, name, value)
    with pytest.raises(errors.MalformedRequest):
        gather_codec.call_from_thrift(fields, _CLOCK)


@pytest.mark.parametrize(
    'change',
    [
        {'execution_proofs': []},
        {'execution_proofs': ['r1', 'r1']},
        {'missing': -1},
        {'body': None},
        {'code': 107, 'retry_after_ms': float('inf')},
    ],
)
def test_odd_answer_breaks_the_connection(
    change: dict[str, typing.Any],
) -> None:
    """Guards against an answer that no caller would accept."""
    answer = Gathered(('r1', 'r2'), 1, b'')
    fields = gather_codec.answer_to_thrift(answer)
    for name, value in change.items():
        setattr(fields, name, value)
    with pytest.raises(errors.ConnectionBroken):
        gather_codec.answer_from_thrift(fields)


@pytest.mark.parametrize('stated', [None, float('nan'), -1.0])
def test_link_that_is_no_capacity_is_unknown(stated: float | None) -> None:
    """Guards against a role that follows from a malformed rumour."""
    member = membership.Member('h', 'dc-a', 'h:1', link_bytes_s=1.5e6)
    rumour = heartbeat_codec.rumour_to_thrift(membership.Rumour(member))
    decoded = heartbeat_codec.rumour_from_thrift(rumour)
    assert decoded.member.link_bytes_s == 1.5e6
    rumour.link_bytes_s = stated
    decoded = heartbeat_codec.rumour_from_thrift(rumour)
    assert decoded.member.link_bytes_s == 0.0
