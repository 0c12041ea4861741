"""JsonLog: one line of JSON per record, and blocked outputs."""

import io
import json
import logging
import threading

from corianderport_tier.process import decision_log
from corianderport_wire.process import json_log


def _logger(name: str) -> logging.Logger:
    logger = logging.getLogger(f'test.{name}')
    logger.propagate = False
    return logger


def test_each_decision_is_one_line() -> None:
    """Guards against decisions that cannot be searched by request id."""
    stream = io.StringIO()
    logger = _logger('decision')
    with json_log.JsonLog(stream, 'INFO', logger):
        log = decision_log.DecisionLog(logger)
        log.record(
            decision_log.Decision('route', 'r1', 's-a', 'line\nbreak', ('b',))
        )
        logger.debug('not written')
    fields = json.loads(stream.getvalue())
    assert fields.pop('time') > 0
    assert fields == {
        'level': 'INFO',
        'logger': 'test.decision',
        'event': 'decision',
        'kind': 'route',
        'request_id': 'r1',
        'choice': 's-a',
        'reason': 'line\nbreak',
        'alternatives': ['b'],
    }


def test_exception_is_part_of_the_line() -> None:
    """Guards against a traceback that spreads over several lines."""
    stream = io.StringIO()
    logger = _logger('exception')
    with json_log.JsonLog(stream, 'INFO', logger):
        try:
            raise ValueError('bad')
        except ValueError:
            logger.exception('failed %d', 7)
    fields = json.loads(stream.getvalue())
    assert fields['event'] == 'failed 7'
    assert 'ValueError: bad' in fields['exception']


def test_texts_of_a_decision_are_bounded() -> None:
    """Guards against callers that fill the queue of log lines.

    A request id may be as long as a head, 16 KB, and 20,000 records of that
    size were queued while the output was blocked.
    """
    stream = io.StringIO()
    logger = _logger('bounded')
    long = 16_000 * 'x'
    with json_log.JsonLog(stream, 'INFO', logger):
        log = decision_log.DecisionLog(logger)
        log.record(decision_log.Decision('answer', long, 's-a', long))
    [kept] = log.recent()
    assert len(kept.request_id) + len(kept.reason) <= 1_000
    assert len(stream.getvalue()) < 2_000
    assert json.loads(stream.getvalue())['request_id'] == kept.request_id


class _BlockedStream(io.StringIO):
    """A stream whose writes block until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()
        self.thread = ''

    def write(self, text: str) -> int:
        self.thread = threading.current_thread().name
        self.released.wait()
        return super().write(text)


def test_blocked_output_blocks_no_request() -> None:
    """Guards against a full pipe that blocks requests or exhausts memory."""
    stream = _BlockedStream()
    logger = _logger('blocked')
    with json_log.JsonLog(stream, 'INFO', logger) as log:
        for number in range(8_100):
            logger.info('%d', number)
        dropped = log.dropped
        # Before the checks, so that a failure does not hang at the end.
        stream.released.set()
    # The listener may hold one record; the others are in the queue.
    assert 99 <= dropped <= 100
    assert stream.thread != threading.current_thread().name
    written = len(stream.getvalue().splitlines())
    assert written + log.dropped == 8_100
