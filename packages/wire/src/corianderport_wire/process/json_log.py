"""corianderport_wire.process.json_log

Writes log records as JSON lines on a background thread.
"""

import contextlib
import logging
import logging.handlers
import queue
import types
import typing

import orjson

from corianderport_tier.process import decision_log

__all__ = ['JsonFormatter', 'JsonLog', 'LEVELS']

LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')

# Further records are dropped, so that memory stays bounded while the output
# is blocked. A record takes 1.2 kB, and 2 kB with the longest texts.
_MAX_QUEUED_RECORDS = 8_000


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        fields: dict[str, typing.Any] = {
            'time': round(record.created, 6),
            'level': record.levelname,
            'logger': record.name,
            'event': record.getMessage(),
        }
        decision = getattr(record, 'decision', None)
        if isinstance(decision, decision_log.Decision):
            fields.update(
                kind=decision.kind,
                request_id=decision.request_id,
                choice=decision.choice,
                reason=decision.reason,
                alternatives=decision.alternatives,
            )
            fields.update(decision.inputs)
        if record.exc_info:
            fields['exception'] = self.formatException(record.exc_info)
        return orjson.dumps(fields, default=str).decode()


class _BoundedQueueHandler(logging.handlers.QueueHandler):
    """Queues records unformatted and drops them when the queue is full."""

    def __init__(self, records: 'queue.SimpleQueue[typing.Any]') -> None:
        super().__init__(records)
        self._records = records
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        if self._records.qsize() >= _MAX_QUEUED_RECORDS:
            self.dropped += 1
        else:
            self._records.put_nowait(record)


class JsonLog:
    """Writes the records of a logger to a stream inside a ``with`` block.

    :param level: lowest level written, one of ``LEVELS``.
    :param logger: defaults to the root logger.
    """

    def __init__(
        self,
        stream: typing.TextIO,
        level: str,
        logger: logging.Logger | None = None,
    ) -> None:
        self._logger = logger or logging.getLogger()
        self._level = level
        records: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()
        self._queue = _BoundedQueueHandler(records)
        output = logging.StreamHandler(stream)
        output.setFormatter(JsonFormatter())
        self._listener = logging.handlers.QueueListener(records, output)
        self._stack = contextlib.ExitStack()

    @property
    def dropped(self) -> int:
        """Number of records dropped because the output was too slow."""
        return self._queue.dropped

    def __enter__(self) -> typing.Self:
        self._stack.callback(self._logger.setLevel, self._logger.level)
        self._logger.setLevel(self._level)
        self._listener.start()
        self._stack.callback(self._listener.stop)
        self._logger.addHandler(self._queue)
        self._stack.callback(self._logger.removeHandler, self._queue)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._stack.close()
