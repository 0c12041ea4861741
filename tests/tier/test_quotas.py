"""Hosts ask owners no more than needed and refuse what they must."""

import concurrent.futures
import random
import threading

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import quota_bucket
from corianderport_tier.process import quota_calls
from corianderport_tier.process import quota_hosts
from corianderport_tier.process import quota_messages
from corianderport_tier.process import quotas
from corianderport_tier.version import workspaces

_WAIT_S = 10.0
_KAMI = workspaces.Workspace('kami', 0, 11, 11)
_BOUNDS = quota_bucket.QuotaBounds(5, 0.25, 20)
Request = quota_messages.QuotaRequest
Grant = quota_messages.QuotaGrant


class _Fleet:
    """Six hosts, all alive."""

    def __init__(self) -> None:
        self.hosts = quota_hosts.QuotaHosts(
            tuple(f'h{number}' for number in range(6))
        )
        self.serving = True
        self.first_start = False


class _Owners:
    """Owners that grant tokens from one stock, or fail."""

    def __init__(self, stock: int = 10_000) -> None:
        self.stock = stock
        self.retry_after_s = 0.3
        self.failures: dict[str, Exception] = {}
        self.requests: list[tuple[str, Request]] = []
        self.arrived = threading.Semaphore(0)
        # Cleared to delay the replies.
        self.may_reply = threading.Event()
        self.may_reply.set()

    def request(self, host: str, request: Request, timeout_s: float) -> Grant:
        self.requests.append((host, request))
        self.arrived.release()
        assert self.may_reply.wait(_WAIT_S)
        failure = self.failures.get(host) or self.failures.get('all')
        if failure is not None:
            raise failure
        granted = min(self.stock, request.tokens)
        self.stock -= granted
        return Grant(granted, self.retry_after_s, 0.5)

    def grant(self, request: Request) -> Grant:
        return self.request('own', request, 0)


class _Host:
    """One host that uses the quota of one workspace."""

    def __init__(self, stock: int = 10_000) -> None:
        self.clock = clock_module.ManualClock()
        self.fleet = _Fleet()
        self.owners = _Owners(stock)
        self.kinds: list[str] = []
        self.bounds: quota_bucket.QuotaBounds | None = _BOUNDS
        self.log = decision_log.DecisionLog(observer=self)
        self.calls = quota_calls.QuotaCalls(
            'own', self.fleet, self.owners, self.owners, self.clock, self.log
        )
        self.quotas = quotas.Quotas(
            self.calls,
            lambda: self.bounds,
            self.clock,
            self.log,
            random.Random(1),
        )

    def decided(self, decision: decision_log.Decision) -> None:
        self.kinds.append(decision.kind)

    @property
    def asked(self) -> list[str]:
        """The hosts that were asked, in order."""
        return [host for host, _ in self.owners.requests]


def test_no_tokens_are_requested_without_a_quota() -> None:
    """Guards against calls in deployments that have no quotas."""
    host = _Host()
    unlimited = workspaces.Workspace('free', 0, 0, 0)
    assert host.quotas.admit(unlimited) is None
    host.bounds = None
    assert host.quotas.admit(_KAMI) is None
    assert host.asked == []


def test_tokens_for_the_next_quarter_second_are_requested() -> None:
    """Guards against one call for each request of a busy workspace."""
    host = _Host()
    busy = workspaces.Workspace('busy', 0, 1_000, 1_000)
    calls_before = 0
    for number in range(300):
        assert host.quotas.admit(busy) is not None
        host.clock.advance(0.01)
        if number == 199:
            calls_before = len(host.asked)
    # A hundred requests in the last second, once the rate is known.
    assert 4 <= len(host.asked) - calls_before <= 5


def test_first_request_asks_for_one_token() -> None:
    """Guards against tokens that are lost since no request follows."""
    host = _Host()
    host.quotas.admit(_KAMI)
    host.clock.advance(1_000)
    host.quotas.admit(_KAMI)
    assert [request.tokens for _, request in host.owners.requests] == [1, 1]


def test_granted_tokens_expire() -> None:
    """Guards against tokens of a past window used in a later one."""
    host = _Host()
    account, now_s = host.quotas._enter('kami')
    account.add(5, now_s + 0.5)
    account.waiting = 0
    host.owners.stock = 0
    assert host.quotas.admit(_KAMI) is not None
    host.clock.advance(0.5)
    with pytest.raises(errors.QuotaExceeded):
        host.quotas.admit(_KAMI)


def test_expiry_counts_from_the_sending_of_the_call() -> None:
    """Guards against tokens that live longer the slower the owner is."""
    host = _Host()
    host.owners.may_reply.clear()
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        admitted = executor.submit(host.quotas.admit, _KAMI)
        assert host.owners.arrived.acquire(timeout=_WAIT_S)
        host.clock.advance(0.2)
        host.owners.may_reply.set()
        token = admitted.result(_WAIT_S)
    assert token is not None
    assert token.expires_s == pytest.approx(host.clock.monotonic() + 0.3)


def test_refusal_names_the_time_and_needs_no_further_call() -> None:
    """Guards against a call for each request beyond the quota."""
    host = _Host(stock=0)
    with pytest.raises(errors.QuotaExceeded) as raised:
        host.quotas.admit(_KAMI, 'r1')
    assert raised.value.retry_after_s == pytest.approx(0.3)
    calls = len(host.asked)
    for _ in range(100):
        with pytest.raises(errors.QuotaExceeded):
            host.quotas.admit(_KAMI)
    assert len(host.asked) == calls
    host.owners.stock = 1
    host.clock.advance(0.31)
    assert host.quotas.admit(_KAMI) is not None


def test_refusal_is_counted_and_logged_with_the_owners_reply() -> None:
    """Guards against a refusal that nobody can explain."""
    host = _Host(stock=0)
    for _ in range(2):
        with pytest.raises(errors.QuotaExceeded):
            host.quotas.admit(_KAMI, 'r1')
    logged = host.log.recent()
    assert len(logged) == 1
    assert logged[0].choice == 'kami'
    assert logged[0].request_id == 'r1'
    assert logged[0].inputs['rate_per_s'] == 11
    assert 'granted 0 of 1 tokens' in logged[0].reason
    assert host.kinds.count('quota-refused') == 2
    assert host.kinds.count('quota-call-short') == 4


def test_requests_at_once_share_one_call() -> None:
    """Guards against one call for each of many requests at once."""
    host = _Host()
    host.owners.may_reply.clear()
    with concurrent.futures.ThreadPoolExecutor(20) as executor:
        first = executor.submit(host.quotas.admit, _KAMI)
        assert host.owners.arrived.acquire(timeout=_WAIT_S)
        others = [executor.submit(host.quotas.admit, _KAMI) for _ in range(19)]
        host.clock.await_waiters(19)
        assert len(host.asked) == 1
        host.owners.may_reply.set()
        for admitted in (first, *others):
            assert admitted.result(_WAIT_S) is not None
    assert len(host.asked) <= 3


def test_waiting_request_gives_up_in_time() -> None:
    """Guards against a request that waits for longer than half a second."""
    host = _Host()
    host.owners.may_reply.clear()
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        executor.submit(host.quotas.admit, _KAMI)
        assert host.owners.arrived.acquire(timeout=_WAIT_S)
        second = executor.submit(host.quotas.admit, _KAMI)
        host.clock.await_waiters(1)
        host.clock.advance(0.5)
        with pytest.raises(errors.NotReady):
            second.result(_WAIT_S)
        host.owners.may_reply.set()


def test_workspace_without_tokens_does_not_delay_others() -> None:
    """Guards against one workspace whose owners are slow holding others."""
    host = _Host()
    host.owners.may_reply.clear()
    other = workspaces.Workspace('other', 0, 11, 11)
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        slow = executor.submit(host.quotas.admit, _KAMI)
        assert host.owners.arrived.acquire(timeout=_WAIT_S)
        account, now_s = host.quotas._enter('other')
        account.waiting = 0
        account.add(1, now_s + 0.5)
        assert host.quotas.admit(other) is not None
        host.owners.may_reply.set()
        slow.result(_WAIT_S)


def test_other_owners_are_asked_when_one_is_silent() -> None:
    """Guards against refusals while one of the owners is frozen."""
    host = _Host()
    host.quotas.admit(_KAMI)
    silent = host.asked[0]
    host.owners.failures[silent] = errors.ConnectionSilent('no reply')
    for _ in range(40):
        host.clock.advance(0.6)
        assert host.quotas.admit(_KAMI) is not None
    # Once a second at first, then every eight seconds.
    assert 3 <= host.asked.count(silent) - 1 <= 7


def test_dead_owner_is_not_asked() -> None:
    """Guards against a time-out for an owner that is known to be dead."""
    host = _Host()
    host.quotas.admit(_KAMI)
    dead = host.asked[0]
    host.fleet.hosts = quota_hosts.QuotaHosts(
        host.fleet.hosts.names, frozenset({dead})
    )
    for _ in range(20):
        host.clock.advance(0.6)
        assert host.quotas.admit(_KAMI) is not None
    assert host.asked.count(dead) == 1


def test_without_any_owner_requests_are_refused_as_not_ready() -> None:
    """Guards against 429 if another host may still reach an owner."""
    host = _Host()
    host.owners.failures['all'] = errors.ConnectFailed('unreachable')
    with pytest.raises(errors.NotReady):
        host.quotas.admit(_KAMI)
    calls = len(host.asked)
    with pytest.raises(errors.NotReady):
        host.quotas.admit(_KAMI)
    assert len(host.asked) == calls
    assert host.kinds.count('quota-unreachable') == 2
    host.owners.failures.clear()
    host.clock.advance(1.1)
    assert host.quotas.admit(_KAMI) is not None


def test_predecessor_of_a_starting_owner_is_asked() -> None:
    """Guards against a lost part of the quota while an owner starts."""
    host = _Host()
    owners = quota_hosts.first_hosts('kami', host.fleet.hosts.names, 5)
    for name in owners[:4]:
        host.owners.failures[name] = errors.NotReady('just started')
    assert host.quotas.admit(_KAMI) is not None
    assert host.asked[-1] == owners[4]
    assert host.owners.requests[-1][1].rank == 4


def test_token_that_was_given_back_is_used_again() -> None:
    """Guards against counting requests that no searcher has run."""
    host = _Host(stock=1)
    token = host.quotas.admit(_KAMI)
    assert token is not None
    host.quotas.give_back(token)
    assert host.quotas.admit(_KAMI) == token
    host.quotas.give_back(token)
    host.clock.advance(0.6)
    with pytest.raises(errors.QuotaExceeded):
        host.quotas.admit(_KAMI)


def test_unused_accounts_are_dropped() -> None:
    """Guards against memory that grows with every workspace ever used."""
    host = _Host()
    for number in range(3_000):
        host.quotas.admit(workspaces.Workspace(f'w{number}', 0, 5, 5))
    assert host.quotas.size == 3_000
    host.clock.advance(59)
    host.quotas.admit(_KAMI)
    host.clock.advance(2)
    host.quotas.expire()
    assert host.quotas.size == 1
