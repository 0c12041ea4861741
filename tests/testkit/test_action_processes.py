"""Tests of actions and tickets over HTTP and thrift between processes."""

import collections.abc
import itertools
import time

import pytest

from corianderport_testkit.process import fleet
from corianderport_testkit.version import deployments

_DEPLOYMENT = deployments.Deployment(
    services=1, shards=1, documents=50, deadline_ms=10_000.0
)
_SERVICE = _DEPLOYMENT.service_names()[0]
_FLAGS = ('--drain_lag_s=0', '--drain_limit_s=20')
_TIMEOUT_S = 60.0
_PAYLOAD_NUMBERS = itertools.count(1)


@pytest.fixture(scope='module')
def running() -> collections.abc.Iterator[fleet.Fleet]:
    """Three daemons in front of three searchers."""
    with fleet.Fleet(_DEPLOYMENT, 3, _FLAGS) as started:
        for name in started.hosts:
            timeout_at_s = time.monotonic() + _TIMEOUT_S
            while _act(started, name, f'warm-up {name}')['name'] != 'OK':
                assert time.monotonic() < timeout_at_s
                time.sleep(0.05)
        yield started


def _ticket(running: fleet.Fleet, host: str) -> str:
    address = running.hosts[host].caller_address
    ticket = running.post(address, '/v1/tickets', {}).body['ticket']
    assert isinstance(ticket, str)
    return ticket


def _act(
    running: fleet.Fleet, host: str, payload: str, ticket: str | None = None
) -> fleet.Json:
    fields = {'payload': payload, 'deadline_ms': 9_000, 'ticket': ticket}
    address = running.hosts[host].caller_address
    return running.post(address, '/v1/actions/reserve', fields).body


def _runs(running: fleet.Fleet, payload: str) -> int:
    records = [running.record(name) for name in running.addresses]
    return sum(record['runs'].get(payload, 0) for record in records)


def test_repeat_at_another_host_gets_the_first_outcome(
    running: fleet.Fleet,
) -> None:
    """A repeat with the same ticket must not run the action again.

    The caller changes hosts between its tries. Every host must return the
    first outcome, and refuse another payload.
    """
    ticket = _ticket(running, 'host-0')
    payload = f'payload {next(_PAYLOAD_NUMBERS)}'
    answers = [
        _act(running, host, payload, ticket)
        for host in ('host-1', 'host-0', 'host-2')
    ]
    assert [a['name'] for a in answers] == ['OK'] * 3
    assert len({a['outcome'] for a in answers}) == 1
    conflict = _act(running, 'host-1', 'another payload', ticket)
    assert (conflict['name'], conflict['ran']) == ('TICKET_INVALID', 'no')
    assert _runs(running, payload) == 1
    assert _runs(running, 'another payload') == 0


# A searcher whose connection was cut counts as busy until the action's
# deadline. The cases with cuts are last, and leave one of the three free.
@pytest.mark.parametrize(
    ('with_ticket', 'behaviour', 'usual', 'name', 'runs'),
    [
        (False, {'shed': True}, {'shed': False}, 'UPSTREAM_REFUSED', 0),
        (True, {'shed': True}, {'shed': False}, 'UPSTREAM_REFUSED', 0),
        (False, {'act_cut': 'before'}, {'act_cut': ''}, 'OUTCOME_UNKNOWN', 0),
        (True, {'act_cut': 'after'}, {'act_cut': ''}, 'OUTCOME_UNKNOWN', 1),
    ],
)
def test_action_while_the_searchers_fail(
    running: fleet.Fleet,
    with_ticket: bool,
    behaviour: fleet.Json,
    usual: fleet.Json,
    name: str,
    runs: int,
) -> None:
    """An action must not be retried once it may have run.

    After a refusal by all searchers the answer says that it did not run.
    After a cut connection the outcome is unknown, whether it ran or not.
    """
    payload = f'payload {next(_PAYLOAD_NUMBERS)}'
    ticket = _ticket(running, 'host-0') if with_ticket else None
    for searcher in running.addresses:
        running.set_behaviour(searcher, **behaviour)
    try:
        answer = _act(running, 'host-1', payload, ticket)
    finally:
        for searcher in running.addresses:
            running.set_behaviour(searcher, **usual)
    assert answer['name'] == name
    if with_ticket:
        # The ticket keeps its outcome after the fault has ended.
        assert _act(running, 'host-2', payload, ticket)['name'] == name
    assert _runs(running, payload) == runs


def test_outcomes_survive_a_shutdown_but_not_a_crash(
    running: fleet.Fleet,
) -> None:
    """A host must hand over its ticket outcomes when it is shut down.

    After a crash its outcomes are lost, and the action must not run again.
    """
    payloads = [f'payload {next(_PAYLOAD_NUMBERS)}' for _ in range(3)]
    tickets = [_ticket(running, 'host-2') for _ in payloads]
    unused_ticket = _ticket(running, 'host-2')
    for payload, ticket in zip(payloads, tickets, strict=True):
        assert _act(running, 'host-0', payload, ticket)['ran'] == 'yes'
    stopped = running.terminate('host-2')
    assert stopped.process.wait(_TIMEOUT_S) == 0
    for payload, ticket in zip(payloads, tickets, strict=True):
        assert _act(running, 'host-0', payload, ticket)['name'] == 'OK'
    assert (
        _act(running, 'host-0', 'unused', unused_ticket)['name'] == 'NOT_READY'
    )
    lost_ticket = _ticket(running, 'host-1')
    assert _act(running, 'host-0', 'lost', lost_ticket)['ran'] == 'yes'
    running.kill('host-1')
    assert (
        _act(running, 'host-0', 'lost', lost_ticket)['name']
        == 'OUTCOME_UNKNOWN'
    )
    assert [_runs(running, p) for p in (*payloads, 'lost')] == [1] * 4
    assert _runs(running, 'unused') == 0


def test_second_signal_ends_a_long_shutdown() -> None:
    """A second SIGTERM must end a shutdown at once.

    Here the drain lag would keep the host running for ten minutes.
    """
    with fleet.Fleet(_DEPLOYMENT, 1, ('--drain_lag_s=600',)) as started:
        host = started.terminate('host-0')
        timeout_at_s = time.monotonic() + _TIMEOUT_S
        while started.is_ready(host.caller_address):
            assert time.monotonic() < timeout_at_s
        assert host.process.poll() is None
        host.process.terminate()
        assert host.process.wait(_TIMEOUT_S) == 0
