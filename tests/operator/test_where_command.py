"""Tests of the command that asks a host where a request would go."""

import collections.abc
import json
import typing
import urllib.parse

import pytest

from corianderport_operator import main
from corianderport_testkit.process import report_host

Capture = pytest.CaptureFixture[str]
Host = report_host.ReportHost


def _searcher(name: str, **fields: object) -> dict[str, object]:
    return {
        'searcher': name,
        'data_centre': 'dc-a',
        'excluded': '',
        'in_flight': 1,
        'outstanding_s': 0.02,
        'relative_latency': 1.5,
        'cost': 0.04,
        'reply_age_s': None,
        **fields,
    }


_ANSWER: dict[str, typing.Any] = {
    'version': 7,
    'route': {
        'name': 'find',
        'host': 'a.example',
        'prefix': '/find/',
        'gather': False,
        'priority': 0,
    },
    'refusal': '',
    'expected_s': 0.01,
    'services': [
        {
            'service': 'stock',
            'share': 1.0,
            'policy': 'expected-finish',
            'chosen': 's1',
            'extra_permitted': False,
            'searchers': [
                _searcher('s1'),
                _searcher('s2', reply_age_s=3.0),
                _searcher('s3', excluded='has failed'),
            ],
        }
    ],
}


@pytest.fixture
def host() -> collections.abc.Iterator[Host]:
    with Host(json.dumps(_ANSWER).encode()) as started:
        yield started


def _run(host: Host, *arguments: str) -> None:
    main.main(
        [
            'explain', 'where', 'GET', 'http://a.example/find/x?q=1',
            '--host', host.address, *arguments,
        ]
    )  # fmt: skip


def test_table_names_the_state_of_each_searcher(
    host: Host, capsys: Capture
) -> None:
    """Guards against a table that hides why a searcher is not used."""
    _run(host)
    text = capsys.readouterr().out
    assert 'version 7' in text and 'admitted' in text
    rows = [line for line in text.splitlines() if 'stock' in line]
    assert [
        state in row
        for row, state in zip(
            rows, ('chosen', 'candidate', 'excluded: has failed'), strict=True
        )
    ] == [True, True, True]
    assert all('budget is spent' in row for row in rows)


def test_all_headers_reach_the_host(host: Host, capsys: Capture) -> None:
    """Guards against losing all headers but the last."""
    _run(host, '--header', 'content-length:5', '--header=a:b=c', '--json')
    query = urllib.parse.parse_qs(urllib.parse.urlsplit(host.targets[0]).query)
    assert query == {
        'method': ['GET'],
        'host': ['a.example'],
        'path': ['/find/x?q=1'],
        'header': ['content-length:5', 'a:b=c'],
    }
    assert json.loads(capsys.readouterr().out) == _ANSWER


def _key(**fields: object) -> dict[str, object]:
    return {
        'needed': True,
        'refusal': '',
        'workspace': 'kami',
        'priority': 2,
        'quota': None,
        **fields,
    }


_QUOTA = {'rate_per_s': 11.0, 'burst': 5.0, 'tokens': 0, 'refusal': ''}


@pytest.mark.parametrize(
    ('key', 'shown'),
    [
        (None, []),
        (_key(needed=False), ['key: not needed']),
        (_key(refusal='unknown'), ['key: refused, unknown']),
        (_key(workspace=''), ['key: the route is served without one']),
        (_key(), ['accepted, workspace kami, priority 2', 'quota: none']),
        (_key(quota=_QUOTA), ['11 a second, burst 5; the host holds no']),
        (_key(quota={**_QUOTA, 'tokens': 3}), ['admitted, the host holds 3']),
        (_key(quota={**_QUOTA, 'refusal': 'used up'}), ['refused, used up']),
    ],
)
def test_decisions_on_the_key_and_age_are_shown(
    host: Host,
    capsys: Capture,
    key: dict[str, object] | None,
    shown: list[str],
) -> None:
    """Guards against output that hides why a key is refused."""
    answer = {**_ANSWER, 'store_age_s': 1.24, 'key': key}
    host.body = json.dumps(answer).encode()
    _run(host)
    text = capsys.readouterr().out
    assert 'knowledge of the store 1.2 s old' in text
    assert all(part in text for part in shown)
    assert ('key:' in text) == (key is not None)


@pytest.mark.parametrize('json_flag', [(), ('--json',)])
@pytest.mark.parametrize('status', [200, 400])
def test_key_is_sent_as_a_header_and_never_shown(
    host: Host, capsys: Capture, json_flag: tuple[str, ...], status: int
) -> None:
    """Guards against keys in logs of requests and in terminals.

    Whatever the status, neither the output nor the target has the key.
    """
    host.status = status
    header = 'Authorization: Bearer secret'
    try:
        _run(host, '--header', header, '--header', 'a:b', *json_flag)
    except SystemExit:
        assert status != 200
    host.close()
    with pytest.raises(SystemExit):
        _run(host, '--header', header, *json_flag)
    assert host.keys == [['Bearer secret']]
    assert 'header=a%3Ab' in host.targets[0]
    assert 'ecret' not in host.targets[0]
    captured = capsys.readouterr()
    assert 'secret' not in captured.out + captured.err


def test_refusal_is_a_problem(host: Host, capsys: Capture) -> None:
    answer = {
        'version': 7, 'route': None, 'refusal': 'no route', 'services': [],
    }  # fmt: skip
    host.body = json.dumps(answer).encode()
    with pytest.raises(SystemExit) as stopped:
        _run(host)
    assert stopped.value.code == 1
    assert 'refused: no route' in capsys.readouterr().out


def test_usage_errors_are_one_line(host: Host, capsys: Capture) -> None:
    """Guards against tracebacks for mistakes of the caller."""
    with pytest.raises(SystemExit) as stopped:
        main.main(['explain', 'where', 'GET', '/find/x'])
    assert stopped.value.code == 2
    host.status = 400
    host.body = b'{"error": "content-length: not a number"}'
    with pytest.raises(SystemExit) as stopped:
        _run(host)
    assert stopped.value.code == 2
    host.close()
    with pytest.raises(SystemExit) as stopped:
        _run(host)
    assert stopped.value.code == 1
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 3
    assert 'url' in lines[0] and 'content-length' in lines[1]
