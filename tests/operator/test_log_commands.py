"""Tests of the command that traces a request through the logs."""

import json
import pathlib

import pytest

from corianderport_operator.process import log_commands
from corianderport_tier import errors

Capture = pytest.CaptureFixture[str]
_REQUEST_ID = 'e1f2'


def _log_line(time_s: float, kind: str, request_id: str = _REQUEST_ID) -> str:
    fields = {
        'time': time_s,
        'level': 'INFO',
        'event': 'decision',
        'kind': kind,
        'request_id': request_id,
        'choice': 'i-1',
        'reason': 'reset',
        'tried': 1,
    }
    return json.dumps(fields)


def _write_logs(folder: pathlib.Path) -> list[str]:
    texts = {
        'host-0.log': [
            _log_line(12.5, 'answer'),
            _log_line(12.25, 'send-failed'),
        ],
        'host-1.log': [
            'Traceback (most recent call last):',
            _log_line(12.0, 'retry'),
            _log_line(12.1, 'retry', 'another'),
            json.dumps({'event': f'mentions {_REQUEST_ID}'}),
            _log_line(12.6, 'hedge')[:40],
        ],
    }
    paths = []
    for name, lines in texts.items():
        path = folder / name
        path.write_text('\n'.join(lines))
        paths.append(str(path))
    return paths


def test_lines_of_all_hosts_are_in_order(
    tmp_path: pathlib.Path, capsys: Capture
) -> None:
    """Guards against lines that are grouped by host, not sorted by time.

    The log files are read one after the other, and the lines of one file
    need not be in order either. Lines of other requests, lines that are not
    JSON and a truncated line are skipped.
    """
    log_commands.trace(_REQUEST_ID, *_write_logs(tmp_path))
    rows = capsys.readouterr().out.splitlines()[1:]
    assert [r.split()[:3] for r in rows] == [
        ['0.0', 'host-1', 'retry'],
        ['250.0', 'host-0', 'send-failed'],
        ['500.0', 'host-0', 'answer'],
    ]
    assert all('tried 1' in row for row in rows)


def test_trace_as_json(tmp_path: pathlib.Path, capsys: Capture) -> None:
    """Guards against JSON output that differs from the table.

    The JSON is printed by a branch of its own, which must give the same
    decisions in the same order.
    """
    log_commands.trace(_REQUEST_ID, *_write_logs(tmp_path), json=True)
    decisions = json.loads(capsys.readouterr().out)
    assert [line['kind'] for line in decisions] == [
        'retry',
        'send-failed',
        'answer',
    ]


def test_unknown_request_is_reported(
    tmp_path: pathlib.Path, capsys: Capture
) -> None:
    """Guards against an empty table when no log has the request.

    A mistyped identifier would then look like a request without decisions.
    """
    with pytest.raises(SystemExit) as exit_info:
        log_commands.trace('ffff', *_write_logs(tmp_path))
    assert exit_info.value.code == 1
    assert capsys.readouterr().out == 'no log has the request ffff\n'


@pytest.mark.parametrize('logs', [(), ('/no/such.log',)])
def test_missing_log_is_named(logs: tuple[str, ...]) -> None:
    """Guards against a trace that omits hosts without an error.

    An empty list of files or a wrong path would otherwise look as if the
    request had no decisions.
    """
    with pytest.raises(errors.SettingInvalid, match='logs: '):
        log_commands.trace(_REQUEST_ID, *logs)
