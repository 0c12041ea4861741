"""Forwarding with keys: admission, and the check before each send."""

import attrs
import pytest

from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import store_freshness
from corianderport_tier.request import forward_messages
from corianderport_tier.request import forward_send
from corianderport_tier.request import forwarding
from corianderport_tier import result_codes
from corianderport_tier.version import routes
from corianderport_tier.version import workspaces

from . import entries
from . import test_forwarding

Code = result_codes.ResultCode
Failure = forward_messages.Failure
_ALPHA = workspaces.Workspace('alpha', 0)
_BETA = workspaces.Workspace('beta', 0)
_KEY = 'k1'
_SHARDS = ('shard-a', 'shard-b', 'shard-c', 'shard-d')
_LOST = errors.ConnectionBroken('reset')


def _keys(**by_key: workspaces.Workspace) -> workspaces.Workspaces:
    return workspaces.Workspaces.from_keys(by_key.items())


class _Host(test_forwarding._Host):
    """A host in strict mode whose configuration has workspaces."""

    def __init__(self, *host_routes: routes.Route, replicas: int = 3) -> None:
        super().__init__(*host_routes, replicas=replicas)
        self._routes = host_routes
        self._version = 1
        self.freshness = store_freshness.StoreFreshness(
            self.clock,
            decision_log.DecisionLog(),
            lambda: self.directory.workspaces is not None,
            5.0,
        )
        self.log = decision_log.DecisionLog()
        self.forwarder = forwarding.Forwarder(
            self.directory,
            self.clock,
            self.log,
            self.forwarder.rng,
            freshness=self.freshness,
        )
        self.credential: str | None = _KEY
        self.publish(_keys(k1=_ALPHA, k2=_BETA))

    def publish(self, known: workspaces.Workspaces | None) -> None:
        """Apply a version with other workspaces, read from the store."""
        self._version += 1
        version = attrs.evolve(
            entries.routing(self._version, *self._routes), workspaces=known
        )
        self.directory.apply([entries.entry(self._version + 100, version)])
        self.freshness.record(self.clock.boottime())

    def take_away(self) -> None:
        """Publish a version without the request's key."""
        self.publish(_keys(k2=_BETA))

    def request(
        self, path: str, deadline_s: float, waited_s: float
    ) -> forward_messages.ForwardRequest:
        return attrs.evolve(
            super().request(path, deadline_s, waited_s),
            credential=self.credential,
        )

    def refusal(self, code: Code) -> Failure:
        """Wait for the answer, which must be a refusal with a code."""
        answer = self.finish()
        assert isinstance(answer, Failure)
        assert answer.code is code
        assert code.ran is result_codes.Ran.NO
        return answer


def _identity(send: forward_send.SendAttempt) -> object:
    return send._call.identity


def test_searcher_learns_the_workspace() -> None:
    """Guards against a searcher that is told no workspace, or a wrong one."""
    host = _Host(entries.route())
    host.start()
    send = host.take()
    assert _identity(send) == forward_messages.CallerIdentity('alpha')
    host.end(send, test_forwarding._reply())
    assert isinstance(host.finish(), forward_messages.Relayed)
    inputs = host.log.recent()[-1].inputs
    assert (inputs['workspace'], inputs['rank']) == ('alpha', 0)


@pytest.mark.parametrize('credential', [None, 'unknown'])
def test_request_without_a_known_key_is_refused(
    credential: str | None,
) -> None:
    """Guards against service without a key.

    Callers do not repeat the request, so that no delay is suggested.
    """
    host = _Host(entries.route())
    host.credential = credential
    host.start()
    assert host.refusal(Code.UNAUTHENTICATED).retry_after_s is None
    assert host.idle


def test_unknown_route_goes_before_a_missing_key() -> None:
    """Guards against 401 for a path that no key opens."""
    host = _Host(entries.route())
    host.credential = None
    host.start(path='/none')
    host.refusal(Code.UNKNOWN_SERVICE)


def test_host_without_configuration_does_not_judge_keys() -> None:
    """Guards against 401 from a host that has just started."""
    host = test_forwarding._Host()
    host.directory._routing = None
    host.start()
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.NOT_READY


def test_public_route_is_served_without_a_key() -> None:
    """Guards against 401 on a public route."""
    host = _Host(entries.route(public=True))
    host.credential = None
    host.clock.suspend(60.0)
    host.start()
    send = host.take()
    assert _identity(send) == forward_messages.CallerIdentity(None)
    host.end(send, test_forwarding._reply())
    assert isinstance(host.finish(), forward_messages.Relayed)


def test_deployment_without_workspaces_is_served_as_before() -> None:
    """Guards against keys and ages that matter where there are none."""
    host = _Host(entries.route())
    host.publish(None)
    host.clock.suspend(60.0)
    for credential in (None, 'any'):
        host.credential = credential
        host.start()
        send = host.take()
        assert _identity(send) is None
        host.end(send, test_forwarding._reply())
        assert isinstance(host.finish(), forward_messages.Relayed)
        assert 'workspace' not in host.log.recent()[-1].inputs


def test_suspended_host_refuses_until_it_has_read_the_store() -> None:
    """Guards against old keys accepted by a machine that has just resumed."""
    host = _Host(entries.route())
    host.clock.suspend(4.5)
    host.start()
    retry_after_s = host.refusal(Code.NOT_READY).retry_after_s
    assert retry_after_s is not None
    assert retry_after_s > 0
    assert host.idle
    host.freshness.record(host.clock.boottime())
    host.start()
    host.end(host.take(), test_forwarding._reply())
    assert isinstance(host.finish(), forward_messages.Relayed)


def _end_unsent(host: _Host, send: forward_send.SendAttempt) -> None:
    """Perform a send attempt that must not be sent."""
    host.end(send, AssertionError('must not be sent'))
    assert not send.sent


def test_first_send_that_waited_is_not_made_without_the_key() -> None:
    """Guards against a send after the wait for a connection."""
    host = _Host(entries.route())
    host.start()
    send = host.take()
    host.take_away()
    _end_unsent(host, send)
    assert host.refusal(Code.UNAUTHENTICATED).retry_after_s is None
    assert host.idle


def test_first_send_that_waited_is_not_made_with_old_knowledge() -> None:
    """Guards against sends by a process that was suspended meanwhile."""
    host = _Host(entries.route())
    host.start()
    send = host.take()
    host.clock.suspend(4.5)
    _end_unsent(host, send)
    assert host.refusal(Code.NOT_READY).retry_after_s is not None
    assert host.idle


def test_key_of_another_workspace_promises_only_not_run() -> None:
    """Guards against 401 for a key that is known."""
    host = _Host(entries.route())
    host.start()
    send = host.take()
    host.publish(_keys(k1=_BETA))
    _end_unsent(host, send)
    host.refusal(Code.NOT_READY)


def test_retry_is_not_made_without_the_key() -> None:
    """Guards against a send to a second searcher.

    The first one said that it did not run the request.
    """
    host = _Host(entries.route())
    host.start()
    host.end(host.take(), test_forwarding._reply(503, ran=False))
    retry = host.take()
    host.take_away()
    _end_unsent(host, retry)
    host.refusal(Code.UNAUTHENTICATED)
    assert host.idle


@pytest.mark.parametrize('taken_away', [True, False])
def test_retry_that_is_not_made_hides_no_possible_run(
    taken_away: bool,
) -> None:
    """Guards against 401 or 503 for a request that may have run.

    The first searcher may have run the request.
    """
    host = _Host(entries.route())
    host.start()
    host.end(host.take(), _LOST)
    retry = host.take()
    if taken_away:
        host.take_away()
    else:
        host.clock.suspend(4.5)
    _end_unsent(host, retry)
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.OUTCOME_UNKNOWN
    assert answer.retry_after_s is None


def test_hedge_is_not_made_without_the_key() -> None:
    """Guards against a hedge after the key was taken away.

    The first send is running, and its answer still counts.
    """
    host = _Host(entries.route())
    host.start()
    first = host.begin()
    host.advance(0.06)
    hedge = host.take()
    host.take_away()
    _end_unsent(host, hedge)
    first.finish(test_forwarding._reply())
    assert isinstance(host.finish(), forward_messages.Relayed)
    assert host.idle


def test_send_after_a_pause_is_not_made_without_the_key() -> None:
    """Guards against a send that waited for a searcher's pause."""
    host = _Host(entries.route(), replicas=1)
    host.start()
    host.end(host.take(), test_forwarding._paused(0.02))
    host.clock.await_waiters(1)
    host.take_away()
    host.clock.advance(0.02)
    _end_unsent(host, host.take())
    host.refusal(Code.UNAUTHENTICATED)


def test_send_that_waited_for_capacity_is_not_made_without_the_key() -> None:
    """Guards against a send that waited until another request ended."""
    host = _Host(entries.route(idempotent=False), replicas=1)
    running = []
    while True:
        host.start()
        host.clock.await_waiters(len(running) + 1)
        if host.idle:
            break
        running.append((host._thread, host.begin()))
    host.take_away()
    first_thread, first = running[0]
    first.finish(test_forwarding._reply())
    assert first_thread is not None
    first_thread.join(10.0)
    # The request that ``start`` has started last was waiting.
    _end_unsent(host, host.take())
    host.refusal(Code.UNAUTHENTICATED)


def _gather(min_coverage: float) -> routes.Route:
    return entries.route(_SHARDS, min_coverage)


def test_parts_of_a_gather_are_not_sent_without_the_key() -> None:
    """Guards against a gather of which a part runs without the key."""
    host = _Host(_gather(0.75))
    host.start()
    sends = [host.take() for _ in _SHARDS]
    host.take_away()
    for send in sends:
        _end_unsent(host, send)
    assert host.refusal(Code.UNAUTHENTICATED).retry_after_s is None
    assert host.idle


def test_parts_of_a_gather_are_not_sent_with_old_knowledge() -> None:
    """Guards against a gather that is sent after a suspension."""
    host = _Host(_gather(0.75))
    host.start()
    sends = [host.take() for _ in _SHARDS]
    host.clock.suspend(4.5)
    for send in sends:
        _end_unsent(host, send)
    assert host.refusal(Code.NOT_READY).retry_after_s is not None


def test_gather_of_which_a_part_has_run_promises_nothing() -> None:
    """Guards against 401 for a request that has run in part."""
    host = _Host(_gather(1.0))
    host.start()
    sends = [host.take() for _ in _SHARDS]
    host.end(sends[0], test_forwarding._reply())
    host.take_away()
    for send in sends[1:]:
        _end_unsent(host, send)
    answer = host.finish()
    assert isinstance(answer, Failure)
    assert answer.code is Code.COVERAGE_NOT_MET


def test_keys_of_a_version_that_waits_for_searchers_apply() -> None:
    """Guards against a key that works while its successor version waits.

    The version with the new service waits up to 1.5 s for its searchers.
    """
    host = _Host(entries.route())
    waiting = attrs.evolve(
        entries.routing(9, entries.route(('new',))), workspaces=_keys(k2=_BETA)
    )
    host.directory.apply([entries.entry(200, waiting)])
    assert host.directory.routing is not None
    assert host.directory.routing.version != 9
    host.start()
    host.refusal(Code.UNAUTHENTICATED)
    host.credential = 'k2'
    host.start()
    host.end(host.take(), test_forwarding._reply())
    assert isinstance(host.finish(), forward_messages.Relayed)
