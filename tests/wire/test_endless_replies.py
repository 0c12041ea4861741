"""Responses without end: bounds for one response and for a whole host."""

import collections.abc
import contextlib
import itertools

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.process import byte_budget
from corianderport_wire.connection import reply_allowance
from corianderport_wire.connection import reply_parser
from corianderport_wire.process import reply_quota

_HEAD = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _HEAD + b'transfer-encoding: chunked\r\n\r\n'
_PIECE_BYTES = 16_384
_MAX_HEAD_BYTES = 1_048_576
_MAX_READS = 100_000


def _feed(
    parser: reply_parser.ReplyParser,
    start: bytes,
    pieces: collections.abc.Iterable[bytes],
) -> None:
    parser.receive(start)
    for piece in pieces:
        parser.receive(piece)


@pytest.mark.parametrize(
    ('start', 'piece'),
    [
        (_HEAD + b'x-long: ', b'a'),
        (_HEAD, b'a'),
        (b'HTTP/1.1 200 ', b'a'),
        (b'', b'\r\n'),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (_HEAD, b'x-a: b\r\n'),
        (_CHUNKED + b'1;', b'a'),
        (_CHUNKED + b'0\r\n', b'x-a: b\r\n'),
        (_CHUNKED, b'1\r\nx\r\n'),
    ],
)
def test_bytes_that_are_no_answer_are_bounded(
    start: bytes, piece: bytes
) -> None:
    """Guards against a searcher that sends a head or framing without end."""
    parser = reply_parser.ReplyParser(b'GET')
    pieces = itertools.repeat(
        piece * (_PIECE_BYTES // len(piece)), _MAX_HEAD_BYTES // _PIECE_BYTES
    )
    with pytest.raises(errors.ConnectionBroken):
        _feed(parser, start or piece, pieces)


def test_response_in_single_bytes_is_bounded_in_reads() -> None:
    """Guards against a searcher that takes all the processor time.

    Each byte costs a system call and a turn of the interpreter.
    """
    parser = reply_parser.ReplyParser(b'GET')
    with pytest.raises(errors.ConnectionBroken):
        _feed(parser, _HEAD + b'\r\n', itertools.repeat(b'a', _MAX_READS))


def test_usual_response_in_small_pieces_is_read() -> None:
    """Guards against bounds that reject a slow but complete response."""
    parser = reply_parser.ReplyParser(b'GET')
    content = _HEAD + b'content-length: 800\r\n\r\n' + 800 * b'x'
    for at in range(len(content)):
        parser.receive(content[at : at + 1])
    assert parser.replies[0].body == 800 * b'x'


def test_responses_of_all_searchers_are_bounded_together() -> None:
    """Guards against many large responses that use up the host's memory.

    Each of them stays within the limit of a single response.
    """
    quota = reply_quota.ReplyQuota(clock_module.ManualClock())
    accepted_bytes = 0
    for _ in range(64):
        allowance = reply_allowance.ReplyAllowance(quota)
        parser = reply_parser.ReplyParser(b'GET', allowance)
        parser.receive(_HEAD + b'\r\n')
        with contextlib.suppress(errors.ConnectionBroken):
            for _ in range(256):
                parser.receive(bytes(_PIECE_BYTES))
                accepted_bytes += _PIECE_BYTES
    assert accepted_bytes <= 40 * 1024 * 1024


def test_memory_of_all_responses_is_bounded_and_released() -> None:
    """Guards against responses without an end that fill a small host.

    The quota alone let through 32 MB at once, on a host of any size.
    """
    clock = clock_module.ManualClock()
    budget = byte_budget.ByteBudget(4_000_000, clock)
    allowances = [
        reply_allowance.ReplyAllowance(None, budget) for _ in range(100)
    ]
    broken = 0
    for allowance in allowances:
        with contextlib.suppress(errors.ConnectionBroken):
            for _ in range(4):
                allowance.count_read(_PIECE_BYTES)
            continue
        broken += 1
    assert broken > 40
    assert budget.used_bytes <= 4_000_000
    for allowance in allowances:
        allowance.release()
    assert budget.used_bytes == 0
    # A response alone is bounded by its own limits only.
    alone = reply_allowance.ReplyAllowance(None, budget)
    alone.count_read(8_000_000)
    alone.release()


def test_usual_responses_do_not_use_the_quota() -> None:
    """Guards against usual load that is taken for a faulty searcher."""
    quota = reply_quota.ReplyQuota(clock_module.ManualClock())
    content = _HEAD + b'content-length: 6000\r\n\r\n' + bytes(6_000)
    for _ in range(50_000):
        allowance = reply_allowance.ReplyAllowance(quota)
        allowance.count_read(len(content))
        allowance.check_overhead()
    assert quota.try_spend(16 * 1024 * 1024)
