"""Quotas of workspaces over two entry host processes."""

import collections
import contextlib
import pathlib
import time

import pytest

from corianderport_operator.connection import links_client
from corianderport_operator.connection import workspaces_client
from corianderport_tier.process import link_bytes
from corianderport_tier.process import quota_hosts

from . import fakes
from . import test_entry_process
from . import test_settings

_RATE, _BURST = 5, 5
_TENANTS = [
    {
        'name': 'alpha',
        'api_keys': ['secret-a'],
        'rate_per_s': _RATE,
        'burst': _BURST,
    },
    {'name': 'beta', 'api_keys': ['secret-b'], 'rate_per_s': 0},
]
_WINDOW_S = 5.0
_MOST = (_RATE * _WINDOW_S + _BURST) * 1.25 + 20
_MEASURED_S = 7.0
_INTERVAL_S = 0.02


def _status(
    host: test_entry_process._Host, key: str
) -> tuple[int, float | None]:
    """Return the status of one request and its suggested retry delay."""
    client = host.client()
    fields = {
        'Host': 'a.example',
        'X-Request-Id': 'q',
        'Authorization': f'Bearer {key}',
    }
    client.request('POST', '/one/x', headers=fields)
    response = client.getresponse()
    response.read()
    client.close()
    delay = response.getheader('retry-after')
    return response.status, None if delay is None else float(delay)


def _check_report(hosts: tuple[test_entry_process._Host, ...]) -> None:
    """Check what operators see of the requests just before."""
    addresses = [f'127.0.0.1:{host.metrics}' for host in hosts]
    replies = workspaces_client.read_hosts(addresses)
    activities = [reply.report for reply in replies]
    admitted = granted = 0
    part = 0.0
    for activity in activities:
        assert activity is not None
        assert activity.version == 8
        assert activity.store_age_s is not None and activity.store_age_s < 5
        assert 'secret' not in repr(activity)
        alpha, beta = activity.workspaces
        assert (alpha.name, alpha.rate_per_s, alpha.burst) == (
            'alpha',
            _RATE,
            _BURST,
        )
        assert alpha.requests.over_quota > 0
        assert alpha.requests.no_owner == 0
        assert (beta.name, beta.quota_part) == ('beta', 0)
        admitted += alpha.requests.admitted - alpha.requests.given_back
        granted += alpha.tokens_granted
        part += alpha.quota_part
    assert part == pytest.approx(1)
    assert 0 < admitted <= _MOST
    assert 0 < granted <= _MOST
    first = activities[0]
    assert first is not None
    assert first.workspaces[1].requests.admitted == 20


def _check_links(hosts: tuple[test_entry_process._Host, ...]) -> None:
    """Check that both hosts count what passes between them, as own place."""
    expected = {
        (direction, kind)
        for direction in link_bytes.Direction
        for kind in (
            link_bytes.LinkKind.HEARTBEAT,
            link_bytes.LinkKind.QUOTA,
            link_bytes.LinkKind.OTHER_PEER,
        )
    }
    for reply in links_client.read_hosts(
        [f'127.0.0.1:{host.metrics}' for host in hosts]
    ):
        assert reply.report is not None
        counted = {
            (total.direction, total.kind)
            for total in reply.report.links
            if total.place is link_bytes.Place.OWN and total.messages > 0
        }
        assert expected <= counted


def test_quota_over_two_hosts(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against components of quotas that are wired wrongly.

    Requests alternate between two hosts. Then one of them is killed, and the
    other one takes its place as owner.
    """
    text = test_settings.TEXT.replace(
        '[platform]', 'quota_window_s = 5\n[platform]'
    )
    monkeypatch.setattr(test_settings, 'TEXT', text)
    with contextlib.ExitStack() as stack:
        store = fakes.Store()
        stack.callback(store.close)
        for service in ('stock-1', 'stock-2', 'desk', 'desk-2'):
            searcher = fakes.Searcher(f'i-{service}', b'0123456789abcdef')
            stack.callback(searcher.close)
            test_entry_process._register(store, searcher, service)
        store.put('op/config', test_entry_process._config(8, _TENANTS))
        first = test_entry_process._Host(tmp_path / '1.toml', store.address)
        stack.callback(first.close)
        seeded = text.replace('127.0.0.1:7001', f'127.0.0.1:{first.control}')
        monkeypatch.setattr(
            test_settings, 'TEXT', seeded.replace('edge-a-1', 'edge-a-2')
        )
        second = test_entry_process._Host(tmp_path / '2.toml', store.address)
        stack.callback(second.close)
        hosts = (first, second)
        for host in hosts:
            host.wait_until(host.is_ready)
        # They grant nothing until they know each other, and less for some
        # seconds, as there may be hosts that they don't know yet.
        for host in hosts:
            host.wait_until(lambda: _status(host, 'secret-a')[0] == 200)
        time.sleep(quota_hosts.YOUNG_S)

        served: list[float] = []
        statuses: collections.Counter[int] = collections.Counter()
        begin_s = time.monotonic()
        number = 0
        while time.monotonic() - begin_s < _MEASURED_S:
            number += 1
            sent_s = time.monotonic()
            status, delay_s = _status(hosts[number % 2], 'secret-a')
            statuses[status] += 1
            if status == 200:
                served.append(sent_s)
            else:
                assert delay_s is not None and delay_s > 0
            time.sleep(_INTERVAL_S)
        assert set(statuses) <= {200, 429}
        assert statuses[429] > 0
        assert len(served) >= _RATE * _MEASURED_S * 0.8
        for end, end_s in enumerate(served):
            in_window = [t for t in served[: end + 1] if t > end_s - _WINDOW_S]
            assert len(in_window) <= _MOST

        # A workspace without a limit is not affected.
        for _ in range(20):
            assert _status(first, 'secret-b')[0] == 200

        text = test_entry_process._metrics(first)
        assert 'kind="quota-granted"' in text
        assert 'kind="quota-refused"' in text
        assert 'kind="quota-call-granted"' in text
        assert 'secret' not in text
        _check_report(hosts)
        _check_links(hosts)

        second.process.kill()
        second.process.wait()
        time.sleep(1.0)
        first.wait_until(lambda: _status(first, 'secret-a')[0] == 200)
        first.close()
        shortages = [
            e for e in first.events() if e.get('kind') == 'quota-shortage'
        ]
        assert {e['choice'] for e in shortages} == {'alpha'}
        assert 'secret' not in ''.join(first.lines)
