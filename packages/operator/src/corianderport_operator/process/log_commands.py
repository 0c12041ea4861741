"""corianderport_operator.process.log_commands

Commands that read the logs of hosts.
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
# Shown in columns of their own, or the same for each line of a request.
_COLUMNS = frozenset(
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
    """One decision about a request.

    ``time_s`` is the clock of the host that wrote it, seconds since 1970;
    ``inputs`` are the values that decided it, as text.
    """

    time_s: float
    log: str
    kind: str
    choice: str
    reason: str
    inputs: str


def trace(request_id: str, *logs: str, json: bool = False) -> None:
    """Tell the story of one request from the logs of the hosts.

    Exit codes: 0 lines found, 1 no log has the request, 2 usage.

    Example: corianderport trace 96539cba921778fc host-0.log host-1.log

    Args:
        request_id: the request's id, as callers send and get it.
        logs: files with the JSON lines of one host each.
        json: print JSON instead of a table.
    """
    if not logs:
        raise errors.SettingInvalid('logs: give one file or more')
    found = read_trace(request_id, [pathlib.Path(log) for log in logs])
    if json:
        output.print_json(found)
    elif found:
        began_s = found[0].time_s
        output.print_table(
            ('ms', 'log', 'decision', 'choice', 'reason', 'inputs'),
            [
                (
                    f'{(line.time_s - began_s) * 1e3:.1f}',
                    line.log,
                    line.kind,
                    line.choice,
                    line.reason,
                    line.inputs,
                )
                for line in found
            ],
        )
    else:
        print(f'no log has the request {request_id}')
    if not found:
        sys.exit(_EXIT_NOT_FOUND)


def read_trace(
    request_id: str, logs: collections.abc.Iterable[pathlib.Path]
) -> list[TraceLine]:
    """Return the lines of a request in the order of their times.

    :raises SettingInvalid: a log cannot be read.
    """
    wanted = request_id.encode()
    found = []
    for path in logs:
        try:
            with path.open('rb') as lines:
                found += [
                    line
                    for text in lines
                    if wanted in text
                    and (line := _line(path.stem, text, request_id))
                ]
        except OSError as error:
            raise errors.SettingInvalid(
                f'logs: {str(path)!r} cannot be read ({error.strerror})'
            ) from error
    return sorted(found, key=lambda line: line.time_s)


def _line(log: str, text: bytes, request_id: str) -> TraceLine | None:
    """Return a line of the request, None for what is something else.

    A host that was killed may have left half a line.
    """
    try:
        fields = orjson.loads(text)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(fields, dict) or fields.get('request_id') != request_id:
        return None
    inputs = ', '.join(
        f'{name} {value}'
        for name, value in fields.items()
        if name not in _COLUMNS
    )
    return TraceLine(
        time_s=float(fields.get('time', 0.0)),
        log=log,
        kind=str(fields.get('kind', '')),
        choice=str(fields.get('choice', '')),
        reason=str(fields.get('reason', '')),
        inputs=inputs,
    )
