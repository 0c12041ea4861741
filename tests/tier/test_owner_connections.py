"""Connections to owners: one for each in use, closed when idle."""

import collections.abc
import concurrent.futures
import contextlib
import threading

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.connection import owner_connection
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import limit_events
from corianderport_tier.process import membership
from corianderport_tier.process import metrics
from corianderport_tier.process import owner_connections
from corianderport_tier.process import quota_messages

_WAIT_S = 10.0
_REQUEST = quota_messages.QuotaRequest('kami', 3, 0)
_GRANT = quota_messages.QuotaGrant(3, 0.0, 0.5)
_OWNER = membership.Member('owner', 'dc-a', '127.0.0.1:7')


class _Transport:
    """A connection whose calls have the outcomes that the test sets."""

    def __init__(self, dialer: '_Dialer') -> None:
        self._dialer = dialer
        self.closed = threading.Event()

    def quota(
        self, request: quota_messages.QuotaRequest, timeout_s: float
    ) -> quota_messages.QuotaGrant:
        self._dialer.calls += 1
        self._dialer.begun.release()
        assert self._dialer.may_reply.wait(_WAIT_S)
        outcome: quota_messages.QuotaGrant | Exception = _GRANT
        if self._dialer.outcomes:
            outcome = self._dialer.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def close(self) -> None:
        self.closed.set()


class _Dialer:
    """Opens connections, or refuses them."""

    def __init__(self) -> None:
        self.calls = 0
        self.begun = threading.Semaphore(0)
        self.may_reply = threading.Event()
        self.may_reply.set()
        self.refusal: Exception | None = None
        self.outcomes: list[quota_messages.QuotaGrant | Exception] = []
        self.opened: list[_Transport] = []

    def dial(self, member: membership.Member, timeout_s: float) -> _Transport:
        if self.refusal is not None:
            raise self.refusal
        self.opened.append(_Transport(self))
        return self.opened[-1]


class _Connections:
    """The connections of one host."""

    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        self.dialer = _Dialer()
        self.refused: list[str] = []
        self.counts = metrics.Metrics()
        own = membership.Member('own', 'dc-a', '127.0.0.1:1')
        self.members = membership.Membership(own, self.clock)
        self.members.replace([own, _OWNER])
        self.executor = concurrent.futures.ThreadPoolExecutor(8)
        self.connections = owner_connections.OwnerConnections(
            self.dialer,
            lambda: self.members.view,
            lambda member: self.refused.append(member.name),
            self.executor,
            self.clock,
            limit_events.LimitEvents(
                decision_log.DecisionLog(observer=self.counts), self.clock
            ),
        )

    def ask(self) -> quota_messages.QuotaGrant:
        return self.connections.request('owner', _REQUEST, 0.25)


@pytest.fixture(name='host')
def _host() -> collections.abc.Iterator[_Connections]:
    host = _Connections()
    with contextlib.closing(host.connections):
        yield host
    host.executor.shutdown(wait=False)


def test_calls_share_one_connection(host: _Connections) -> None:
    """Guards against one connection for each call."""
    for _ in range(5):
        assert host.ask() == _GRANT
    assert len(host.dialer.opened) == 1
    assert host.connections.size == 1


def test_idle_connection_is_closed(host: _Connections) -> None:
    """Guards against connections to every owner that was ever used."""
    host.ask()
    host.clock.await_waiters(1)
    host.clock.advance(owner_connection.IDLE_S - 1)
    assert not host.dialer.opened[0].closed.is_set()
    host.clock.advance(1.1)
    assert host.dialer.opened[0].closed.wait(_WAIT_S)
    assert host.ask() == _GRANT
    assert len(host.dialer.opened) == 2


def test_call_on_a_connection_that_the_owner_has_closed(
    host: _Connections,
) -> None:
    """Guards against a refused request because an owner was restarted."""
    host.ask()
    host.dialer.outcomes.append(errors.ConnectionBroken('reset'))
    assert host.ask() == _GRANT
    assert len(host.dialer.opened) == 2
    assert host.dialer.opened[0].closed.is_set()


def test_silent_call_is_not_repeated(host: _Connections) -> None:
    """Guards against a late reply taken for that to the next call."""
    host.ask()
    host.dialer.outcomes.append(errors.ConnectionSilent('no reply'))
    with pytest.raises(errors.ConnectionSilent):
        host.ask()
    assert host.dialer.calls == 2
    assert host.ask() == _GRANT
    assert len(host.dialer.opened) == 2


def test_refusal_keeps_the_connection(host: _Connections) -> None:
    """Guards against a new connection after each refusal."""
    host.dialer.outcomes.append(errors.NotOwner('another host'))
    with pytest.raises(errors.NotOwner):
        host.ask()
    host.ask()
    assert len(host.dialer.opened) == 1


def test_refused_connection_is_reported(host: _Connections) -> None:
    """Guards against an owner whose end is noticed only by heartbeats."""
    host.dialer.refusal = errors.ConnectRefused('refused')
    with pytest.raises(errors.ConnectRefused):
        host.ask()
    assert host.refused == ['owner']


def test_unknown_host(host: _Connections) -> None:
    """Guards against a failure when the owner has just been removed."""
    with pytest.raises(errors.ConnectFailed):
        host.connections.request('nobody', _REQUEST, 0.25)


def test_calls_that_wait_for_a_silent_owner_fail_together(
    host: _Connections,
) -> None:
    """Guards against calls that wait for one time-out after the other."""
    host.dialer.may_reply.clear()
    with concurrent.futures.ThreadPoolExecutor(4) as executor:
        first = executor.submit(host.ask)
        assert host.dialer.begun.acquire(timeout=_WAIT_S)
        others = [executor.submit(host.ask) for _ in range(3)]
        host.clock.await_waiters(4)
        host.dialer.outcomes.append(errors.ConnectionSilent('no reply'))
        host.dialer.may_reply.set()
        for asked in (first, *others):
            with pytest.raises(errors.TransportError):
                asked.result(_WAIT_S)
    assert host.dialer.calls == 1


def test_call_ends_at_its_timeout(host: _Connections) -> None:
    """Guards against a request that waits for a frozen owner."""
    host.dialer.may_reply.clear()
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        asked = executor.submit(host.ask)
        # The call begins once its caller waits; before that, the only wait
        # may be that of the idle connection.
        assert host.dialer.begun.acquire(timeout=_WAIT_S)
        host.clock.advance(0.25)
        with pytest.raises(errors.ConnectionSilent):
            asked.result(_WAIT_S)
    host.dialer.may_reply.set()


def test_closed_host_makes_no_calls(host: _Connections) -> None:
    """Guards against a connection that is opened during the shutdown."""
    host.ask()
    host.connections.close()
    assert host.dialer.opened[0].closed.wait(_WAIT_S)
    with pytest.raises(errors.TransportError):
        host.ask()


def test_unexpected_error_is_counted(
    host: _Connections, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against errors that fill the log or that nothing counts."""
    for _ in range(3):
        host.dialer.outcomes.append(ZeroDivisionError())
        with pytest.raises(errors.ConnectionBroken):
            host.ask()
    assert host.counts.totals().decisions == {'quota_call_failed': 3}
    assert [record.levelname for record in caplog.records] == ['WARNING']
