"""What a request holds is charged for as long as it is held."""

import collections.abc
import gc

import pytest

from corianderport_testkit import clock as manual
from corianderport_tier.connection import byte_charge
from corianderport_tier.process import byte_budget
from corianderport_tier.version import routes
from corianderport_wire.connection import caller_connection
from corianderport_wire.connection import caller_messages
from corianderport_wire.connection import request_parser
from corianderport_wire.connection import request_reader

from . import test_caller_bounds as listening

_LIMITS = routes.CallerLimits(16_384, 262_144, 3.0, 6.0)
_CHUNKED = (
    b'POST /%b HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
)
_READ_BYTES = 16_384
# Two byte strings and a tuple.
_FIELD_BYTES = 100


def _charges(content: bytes, wanted: bool) -> list[int]:
    """Return what is charged after each read of an incomplete request."""
    clock = manual.ManualClock()
    charge = byte_charge.ByteCharge(
        byte_budget.ByteBudget(10**9, clock), lambda: False
    )
    reader = request_reader.RequestReader(
        request_parser.RequestParser(_LIMITS),
        _LIMITS,
        charge,
        lambda head: wanted,
        clock,
        caller_messages.Arrival(0.0),
    )
    pieces = [
        content[at : at + _READ_BYTES]
        for at in range(0, len(content), _READ_BYTES)
    ]
    charges = []

    def read(*_: object) -> bytes:
        charges.append(charge.held)
        return pieces.pop(0) if pieces else b''

    with pytest.raises(caller_messages.RequestRejected):
        reader.receive(pieces.pop(0), read)
    return charges


def test_incomplete_line_after_a_dropped_body_is_charged() -> None:
    """Guards against chunk extensions that no budget counts.

    The parser and the check of its lines hold the line each.
    """
    line = b'1;' + 20_000 * b'e'
    content = _CHUNKED % b'x' + b'1\r\nx\r\n' + line
    assert _charges(content, wanted=False)[-1] >= 2 * len(line)


def test_dropped_body_is_not_charged() -> None:
    """Guards against bodies that use up the budget although none is held."""
    content = _CHUNKED % b'x' + 15 * (b'4000\r\n' + bytes(0x4000) + b'\r\n')
    charges = _charges(content, wanted=False)
    assert len(charges) > 10
    assert max(charges[1:]) <= charges[0]


@pytest.mark.parametrize('wanted', [False, True])
def test_trailers_are_charged_by_their_fields(wanted: bool) -> None:
    """Guards against short trailer fields, which take 25 times their bytes."""
    fields = 7_000
    # The lines of the first read are charged as fields in any case.
    chunk = b'4000\r\n' + bytes(0x4000) + b'\r\n'
    content = _CHUNKED % b'x' + chunk + b'0\r\n' + fields * b'a:\r\n'
    assert _charges(content, wanted)[-1] >= fields * _FIELD_BYTES


@pytest.fixture
def _no_collection() -> collections.abc.Iterator[None]:
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


@pytest.mark.usefixtures('_no_collection')
def test_rejected_request_is_freed_before_its_caller_reads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against bodies of rejected requests that nobody is charged for.

    The connection lingers for the caller after the charge has ended.
    """
    monkeypatch.setattr(caller_connection, '_LINGER_S', 3 * listening._LONG_S)
    content = _CHUNKED % b'x' + 8 * (b'4000\r\n' + bytes(0x4000) + b'\r\n')
    with (
        listening._listening(listening._Service()) as listener,
        listening._connect(listener) as caller,
    ):
        caller.sendall(content + b'x\r\n')
        assert listening._response(caller).status == 400
        listening._wait_until(lambda: _readers() == 0)


def _readers() -> int:
    return sum(
        isinstance(found, request_reader.RequestReader)
        for found in gc.get_objects()
    )
