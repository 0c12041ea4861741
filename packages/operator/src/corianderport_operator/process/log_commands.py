"""corianderport_operator.process.log_commands

Commands that read the log files of hosts.
"""

import collections.abc
import pathlib
import sys

import attrs
import orjson

from corianderport_operator.process import output
from corianderport_tier import errors

__all__ = ['TraceLine', 'read_trace', 'trace']

_EXIT_NOT_FOUND = 1
# Fields that have a column of their own or are the same in each line of a
# request; `inputs` leaves them out.
_COLUMN_FIELDS = frozenset(
    {
        'time',
        'level',
        'logger',
        'event',
        'kind',
        'request_id',
        'choice',
        'reason',
        'alternatives',
    }
)


@attrs.frozen
class TraceLine:
    """One logged decision about a request.

    ``time_s`` is in seconds since 1970 by the clock of the host that wrote
    the line. ``inputs`` lists the values that led to the decision.
    """

    time_s: float
    log: str
    kind: str
    choice: str
    reason: str
    inputs: str


def trace(request_id: str, *logs: str, json: bool = False) -> None:
    """Show the decisions about one request from the logs of the hosts.

    Exit codes: 0 decisions found, 1 no log has the request, 2 usage error.

    Example: corianderport trace 96539cba921778fc host-0.log host-1.log

    Args:
        request_id: id of the request, as callers send and receive it.
        logs: JSON log files, one for each host.
        json: print JSON instead of a table.
    """
    if not logs:
        raise errors.SettingInvalid('logs: at least one file is required')
    decisions = read_trace(request_id, [pathlib.Path(log) for log in logs])
    if json:
        output.print_json(decisions)
    elif decisions:
        started_s = decisions[0].time_s
        output.print_table(
            ('ms', 'log', 'decision', 'choice', 'reason', 'inputs'),
            [
                (
                    f'{(line.time_s - started_s) * 1e3:.1f}',
                    line.log,
                    line.kind,
                    line.choice,
                    line.reason,
                    line.inputs,
                )
                for line in decisions
            ],
        )
    else:
        print(f'no log has the request {request_id}')
    if not decisions:
        sys.exit(_EXIT_NOT_FOUND)


def read_trace(
    request_id: str, logs: collections.abc.Iterable[pathlib.Path]
) -> list[TraceLine]:
    """Return the decisions about a request, sorted by time.

    :raises SettingInvalid: a log cannot be read.
    """
    encoded_id = request_id.encode()
    decisions = []
    for path in logs:
        try:
            with path.open('rb') as log_file:
                decisions += [
                    line
                    for raw_line in log_file
                    if encoded_id in raw_line
                    and (line := _parse_line(path.stem, raw_line, request_id))
                ]
        except OSError as error:
            raise errors.SettingInvalid(
                f'logs: {str(path)!r} cannot be read ({error.strerror})'
            ) from error
    return sorted(decisions, key=lambda line: line.time_s)


def _parse_line(
    log: str, raw_line: bytes, request_id: str
) -> TraceLine | None:
    """Return a decision about the request, None for any other line.

    A line that is not valid JSON is skipped: a host that is killed while it
    writes leaves a truncated line.
    """
    try:
        fields = orjson.loads(raw_line)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(fields, dict) or fields.get('request_id') != request_id:
        return None
    inputs = ', '.join(
        f'{name} {value}'
        for name, value in fields.items()
        if name not in _COLUMN_FIELDS
    )
    return TraceLine(
        time_s=float(fields.get('time', 0.0)),
        log=log,
        kind=str(fields.get('kind', '')),
        choice=str(fields.get('choice', '')),
        reason=str(fields.get('reason', '')),
        inputs=inputs,
    )
