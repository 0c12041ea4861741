"""Authorization: the decision on admission and before each send."""

import typing

import attrs
import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import store_freshness
from corianderport_tier.request import authorization
from corianderport_tier.request import forward_messages
from corianderport_tier.version import workspaces

from . import entries

_ALPHA = workspaces.Workspace('alpha', 0)
_BETA = workspaces.Workspace('beta', 3)
_ROUTE = entries.route()
_PUBLIC = entries.route(public=True)
_ANONYMOUS = forward_messages.CallerIdentity(None)


def _keys(**by_key: workspaces.Workspace) -> workspaces.Workspaces:
    return workspaces.Workspaces.from_keys(by_key.items())


@attrs.define
class _Directory:
    workspaces: workspaces.Workspaces | None


class _Host:
    def __init__(self, known: workspaces.Workspaces | None) -> None:
        self.clock = clock_module.ManualClock()
        self.directory = _Directory(known)
        self.freshness = store_freshness.StoreFreshness(
            self.clock,
            decision_log.DecisionLog(),
            lambda: self.directory.workspaces is not None,
            5.0,
        )
        self.freshness.record(self.clock.boottime())
        self.authorizer = authorization.Authorizer(
            typing.cast(typing.Any, self.directory), self.freshness
        )


def test_key_names_its_workspace() -> None:
    """Guards against a request that is served for another customer."""
    host = _Host(_keys(k1=_ALPHA, k2=_BETA))
    for route in (_ROUTE, _PUBLIC):
        admitted = host.authorizer.admit(route, 'k2')
        assert admitted.identity == forward_messages.CallerIdentity('beta')
        assert admitted.workspace is _BETA
        admitted.check()


@pytest.mark.parametrize('credential', [None, '', 'k', 'k11', 'K1'])
def test_request_without_a_known_key_is_refused(
    credential: str | None,
) -> None:
    """Guards against service without a key, except on public routes."""
    host = _Host(_keys(k1=_ALPHA))
    with pytest.raises(errors.Unauthenticated):
        host.authorizer.admit(_ROUTE, credential)
    admitted = host.authorizer.admit(_PUBLIC, credential)
    assert admitted.identity == _ANONYMOUS
    assert admitted.workspace is None
    admitted.check()


def test_deployment_without_workspaces_checks_nothing() -> None:
    """Guards against changed headers in a deployment without keys."""
    host = _Host(None)
    host.clock.advance(60.0)
    admitted = host.authorizer.admit(_ROUTE, 'k1')
    assert admitted.identity is None
    admitted.check()


def test_priority_of_the_workspace_goes_before_that_of_the_route() -> None:
    """Guards against a customer served with the route's priority."""
    host = _Host(_keys(k2=_BETA))
    assert _ROUTE.rank == 1
    assert host.authorizer.admit(_ROUTE, 'k2').rank(_ROUTE) == 3
    assert host.authorizer.admit(_PUBLIC, None).rank(_PUBLIC) == 1


@pytest.mark.parametrize('credential', ['k1', 'unknown'])
def test_old_knowledge_refuses_every_key(credential: str) -> None:
    """Guards against a key that was taken away without this host's knowledge.

    A key that is unknown here may have been added, so that 401 could be
    wrong, after which callers do not try another host.
    """
    host = _Host(_keys(k1=_ALPHA))
    host.clock.suspend(4.5)
    with pytest.raises(errors.KeyUnconfirmed):
        host.authorizer.admit(_ROUTE, credential)
    with pytest.raises(errors.Unauthenticated):
        host.authorizer.admit(_ROUTE, None)
    assert host.freshness.refuses_keys


@pytest.mark.parametrize('credential', ['k1', 'unknown', None])
def test_public_route_is_served_with_old_knowledge(
    credential: str | None,
) -> None:
    """Guards against refusals on routes that need no key.

    The key may have been taken away, so that it names no workspace.
    """
    host = _Host(_keys(k1=_ALPHA))
    host.clock.suspend(4.5)
    admitted = host.authorizer.admit(_PUBLIC, credential)
    assert admitted.identity == _ANONYMOUS
    admitted.check()


def test_key_that_was_taken_away_is_noticed_before_a_send() -> None:
    """Guards against a send after the key was taken away."""
    for route in (_ROUTE, _PUBLIC):
        host = _Host(_keys(k1=_ALPHA, k2=_BETA))
        admitted = host.authorizer.admit(route, 'k1')
        host.directory.workspaces = _keys(k2=_BETA)
        with pytest.raises(errors.Unauthenticated):
            admitted.check()


def test_key_that_names_another_workspace_is_noticed_before_a_send() -> None:
    """Guards against a request counted and served for the wrong customer."""
    host = _Host(_keys(k1=_ALPHA))
    admitted = host.authorizer.admit(_ROUTE, 'k1')
    host.directory.workspaces = _keys(k1=_BETA)
    with pytest.raises(errors.KeyUnconfirmed):
        admitted.check()


def test_changed_limits_of_a_workspace_do_not_end_its_requests() -> None:
    """Guards against refusals when an operator changes a rate."""
    host = _Host(_keys(k1=_ALPHA))
    admitted = host.authorizer.admit(_ROUTE, 'k1')
    host.directory.workspaces = _keys(k1=attrs.evolve(_ALPHA, rate_per_s=5.0))
    admitted.check()


def test_knowledge_that_became_old_is_noticed_before_a_send() -> None:
    """Guards against a send by a process that was suspended meanwhile."""
    host = _Host(_keys(k1=_ALPHA))
    admitted = host.authorizer.admit(_ROUTE, 'k1')
    host.clock.suspend(4.5)
    with pytest.raises(errors.KeyUnconfirmed):
        admitted.check()
    host.freshness.record(host.clock.boottime())
    admitted.check()


def test_workspaces_that_appear_stop_sends_with_the_callers_headers() -> None:
    """Guards against a key that is passed on to a searcher."""
    host = _Host(None)
    admitted = host.authorizer.admit(_ROUTE, 'k1')
    host.directory.workspaces = _keys(k1=_ALPHA)
    with pytest.raises(errors.KeyUnconfirmed):
        admitted.check()


def test_workspaces_that_are_removed_end_no_request() -> None:
    """Guards against refusals when an operator opens a deployment."""
    host = _Host(_keys(k1=_ALPHA))
    admitted = host.authorizer.admit(_ROUTE, 'k1')
    host.directory.workspaces = None
    admitted.check()


def test_age_is_read_before_the_keys() -> None:
    """Guards against old keys that are taken for confirmed.

    The process is suspended after it has looked up the keys; when it
    resumes, its reader brings the new ones and the age is small again.
    """
    host = _Host(_keys(k1=_ALPHA))
    old = host.directory.workspaces
    read: list[str] = []

    class _Directory:
        @property
        def workspaces(self) -> workspaces.Workspaces | None:
            read.append('keys')
            return old

    class _Freshness:
        @property
        def fresh(self) -> bool:
            read.append('age')
            return True

    authorizer = authorization.Authorizer(
        typing.cast(typing.Any, _Directory()),
        typing.cast(typing.Any, _Freshness()),
    )
    authorizer.confirm('k1')
    assert read == ['age', 'keys']


def test_no_repr_or_error_holds_the_key() -> None:
    """Guards against keys in log lines that print a request."""
    host = _Host(_keys(secret=_ALPHA))
    admitted = host.authorizer.admit(_ROUTE, 'secret')
    assert 'secret' not in repr(admitted)
    host.directory.workspaces = _keys(other=_ALPHA)
    with pytest.raises(errors.Unauthenticated) as caught:
        admitted.check()
    assert 'secret' not in str(caught.value)
