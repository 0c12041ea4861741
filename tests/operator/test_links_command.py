"""Tests of the command that shows the bytes that hosts exchange."""

import collections.abc
import json
import typing

import pytest

from corianderport_operator import main
from corianderport_testkit.process import report_host
from corianderport_tier.process import link_bytes
from corianderport_tier.process import link_report
from corianderport_wire.request import report_codec

Capture = pytest.CaptureFixture[str]
Host = report_host.ReportHost
_METRICS = b'# HELP corianderport_results_total results\n'
_SENT = link_bytes.Direction.SENT
_RECEIVED = link_bytes.Direction.RECEIVED
_HEARTBEAT = link_bytes.LinkKind.HEARTBEAT
_OTHER = link_bytes.Place.OTHER


def _total(
    direction: link_bytes.Direction, size: int, messages: int
) -> link_bytes.LinkTotal:
    return link_bytes.LinkTotal(direction, _HEARTBEAT, _OTHER, size, messages)


def _host(
    host: str,
    data_centre: str,
    running_s: float,
    *totals: link_bytes.LinkTotal,
) -> Host:
    report = link_report.HostLinks(host, data_centre, running_s, totals)
    return Host(report_codec.LINKS.respond(lambda: report).body)


@pytest.fixture
def hosts() -> collections.abc.Iterator[list[Host]]:
    totals = _total(_SENT, 1_000, 5), _total(_RECEIVED, 4_000, 7)
    with (
        _host('edge-1', 'west', 10.0, *totals) as first,
        _host('edge-2', 'east', 100.0, _total(_SENT, 500, 2)) as second,
    ):
        yield [first, second]


def _run(hosts: list[Host], *arguments: str) -> int:
    flags = [f for host in hosts for f in ('--host', host.address)]
    try:
        main.main(['links', *flags, *arguments])
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

    The hosts have run for different times, so that the rates are added up
    and not computed from the sum of the bytes.
    """
    assert _run(hosts, '--json') == 0
    fields = _json(capsys)
    assert [host.targets for host in hosts] == [['/links']] * 2
    assert not fields['partial']
    assert [h['data_centre'] for h in fields['hosts']] == ['west', 'east']
    received, sent = fields['links']
    assert (received['direction'], received['bytes_per_s']) == (
        'received',
        400.0,
    )
    first, second = sent.pop('hosts')
    assert sent == {
        'kind': 'heartbeat',
        'place': 'other',
        'direction': 'sent',
        'bytes': 1_500,
        'messages': 7,
        'bytes_per_s': 105.0,
    }
    assert (first['bytes_per_s'], second['bytes_per_s']) == (100.0, 5.0)
    assert second['address'] == hosts[1].address


def test_tables(hosts: list[Host], capsys: Capture) -> None:
    """Guards against columns in another order than their headings."""
    assert _run(hosts) == 0
    lines = capsys.readouterr().out.splitlines()
    assert any(
        line.split() == [hosts[0].address, 'edge-1', 'west', '10', 'answered']
        for line in lines
    )
    (sent,) = (line for line in lines if ' sent ' in line)
    assert sent.split() == [
        'heartbeat', 'other', 'sent', 'all', '105.0', '1500', '7',
    ]  # fmt: skip


@pytest.mark.parametrize(('status', 'body'), [(200, _METRICS), (404, b'')])
def test_older_host_is_listed(
    hosts: list[Host], capsys: Capture, status: int, body: bytes
) -> None:
    """Guards against a sum that seems to include a host without the path."""
    hosts[1].status, hosts[1].body = status, body
    assert _run(hosts, '--json') == 1
    fields = _json(capsys)
    assert fields['partial']
    assert [h['problem'] for h in fields['hosts']] == ['', 'not supported']
    assert fields['links'][1]['bytes'] == 1_000
    assert _run(hosts) == 1
    assert 'all (partial)' in capsys.readouterr().out


def test_closed_host_and_invalid_address(
    hosts: list[Host], capsys: Capture
) -> None:
    """Guards against a traceback for a host that is down or a mistake."""
    hosts[0].close()
    assert _run(hosts, '--json') == 1
    problems = [host['problem'] for host in _json(capsys)['hosts']]
    assert problems[0].startswith('no answer') and problems[1] == ''
    for address in ('edge-1', ''):
        with pytest.raises(SystemExit) as stopped:
            main.main(['links', '--host', address])
        assert stopped.value.code == 2
    assert len(capsys.readouterr().err.splitlines()) == 2
