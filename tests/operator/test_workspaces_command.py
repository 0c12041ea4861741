"""Tests of the command that shows the requests of each workspace."""

import collections.abc
import json
import typing

import pytest

from corianderport_operator.connection import workspaces_client
from corianderport_operator import main
from corianderport_testkit.process import report_host
from corianderport_tier.process import workspace_activity
from corianderport_wire.request import report_codec

Capture = pytest.CaptureFixture[str]
Counts = workspace_activity.RequestCounts
Host = report_host.ReportHost
_METRICS = b'# HELP corianderport_results_total results\n'


def _host(
    host: str, version: int, rate_per_s: float, requests: Counts
) -> Host:
    activity = workspace_activity.HostActivity(
        host,
        version,
        0.5,
        5.0,
        Counts(key_refused=7),
        (
            workspace_activity.WorkspaceActivity(
                'alpha', 1, rate_per_s, 80.0, requests, 0.25, 50
            ),
        ),
    )
    return Host(report_codec.WORKSPACES.respond(lambda: activity).body)


@pytest.fixture
def hosts() -> collections.abc.Iterator[list[Host]]:
    with (
        _host('edge-1', 7, 40, Counts(100, 3, 20, 4, 8, 5, 6)) as first,
        _host('edge-2', 8, 50, Counts(10, 1, 2, 1, 1, 1, 1)) as second,
    ):
        yield [first, second]


def _run(hosts: list[Host], *arguments: str) -> int:
    flags = [f for host in hosts for f in ('--host', host.address)]
    try:
        main.main(['workspaces', *flags, *arguments])
    except SystemExit as stopped:
        assert isinstance(stopped.code, int)
        return stopped.code
    return 0


def _json(capsys: Capture) -> dict[str, typing.Any]:
    fields = json.loads(capsys.readouterr().out)
    assert isinstance(fields, dict)
    return fields


def test_sum_and_each_host(hosts: list[Host], capsys: Capture) -> None:
    """Guards against a repeated flag that is lost, and against wrong sums.

    Rate and burst are those of the newest version.
    """
    assert _run(hosts, '--json') == 0
    fields = _json(capsys)
    assert [host.targets for host in hosts] == [['/workspaces']] * 2
    assert not fields['partial']
    assert [host['version'] for host in fields['hosts']] == [7, 8]
    assert [host['other']['key_refused'] for host in fields['hosts']] == [7, 7]
    (alpha,) = fields['workspaces']
    assert (alpha['name'], alpha['rate_per_s']) == ('alpha', 50)
    assert alpha['requests'] == {
        'admitted': 110,
        'given_back': 4,
        'over_quota': 22,
        'no_owner': 5,
        'over_share': 9,
        'key_refused': 6,
        'key_unconfirmed': 7,
    }
    assert (alpha['quota_part'], alpha['tokens_granted']) == (0.5, 100)
    assert [h['requests']['admitted'] for h in alpha['hosts']] == [100, 10]


def test_tables(hosts: list[Host], capsys: Capture) -> None:
    """Guards against columns in another order than their headings."""
    assert _run(hosts) == 0
    lines = capsys.readouterr().out.splitlines()
    (total,) = (line for line in lines if line.startswith('alpha'))
    assert total.split() == [
        'alpha', '1', '50', '80', 'all', '110', '4', '22', '5', '9', '6',
        '7',
        '0.50', '100',
    ]  # fmt: skip
    assert any('edge-1' in line and 'answered' in line for line in lines)
    assert sum('(no workspace)' in line for line in lines) == 2


@pytest.mark.parametrize(('status', 'body'), [(200, _METRICS), (404, b'')])
def test_older_host_is_listed(
    hosts: list[Host], capsys: Capture, status: int, body: bytes
) -> None:
    """Guards against a sum that seems to include a host without the path.

    Hosts of earlier versions answer each path with their metrics.
    """
    hosts[1].status, hosts[1].body = status, body
    assert _run(hosts, '--json') == 1
    fields = _json(capsys)
    assert fields['partial']
    assert [h['problem'] for h in fields['hosts']] == ['', 'not supported']
    assert fields['workspaces'][0]['requests']['admitted'] == 100
    assert _run(hosts) == 1
    text = capsys.readouterr().out
    assert 'not supported' in text and 'all (partial)' in text


def test_silent_host_is_listed_in_time(
    hosts: list[Host], capsys: Capture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a command that waits for a host that hangs."""
    assert workspaces_client.TIMEOUT_S == 2.0
    monkeypatch.setattr(workspaces_client, 'TIMEOUT_S', 0.2)
    hosts[0].delay_s = 1.0
    closed = Host(_METRICS)
    closed.close()
    assert _run([*hosts, closed], '--json') == 1
    problems = [host['problem'] for host in _json(capsys)['hosts']]
    assert problems[0].startswith('no answer')
    assert problems[1] == ''
    assert problems[2].startswith('no answer')


def test_all_hosts_silent(capsys: Capture) -> None:
    """Guards against an error instead of a list of the hosts."""
    closed = Host(_METRICS)
    closed.close()
    assert _run([closed], '--json') == 1
    fields = _json(capsys)
    assert fields['partial'] and fields['workspaces'] == []


def test_invalid_address_is_a_usage_error(capsys: Capture) -> None:
    """Guards against a traceback for a mistake of the caller."""
    for address in ('edge-1', ''):
        with pytest.raises(SystemExit) as stopped:
            main.main(['workspaces', '--host', address])
        assert stopped.value.code == 2
    assert len(capsys.readouterr().err.splitlines()) == 2
