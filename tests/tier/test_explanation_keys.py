"""Explanations of what the check of a key and the quota would decide."""

import pytest

from corianderport_tier import errors
from corianderport_tier.process import quotas
from corianderport_tier.request import explanation
from corianderport_tier.request import forwarding
from corianderport_tier.version import workspaces

from . import entries
from . import test_forwarding_keys
from . import test_quotas

_LIMITED = workspaces.Workspace('kami', 2, 11, 11)
_UNLIMITED = workspaces.Workspace('beta', 0)


class _Host(test_forwarding_keys._Host):
    """A host with keys and quotas, whose owners have some tokens."""

    def __init__(self, stock: int = 10_000) -> None:
        super().__init__(
            entries.route(),
            entries.route(name='open', prefix='/open/', public=True),
        )
        quota_host = test_quotas._Host(stock)
        quota_host.clock = self.clock
        self.owners = quota_host.owners
        self.quota_log = quota_host.log
        self.quotas = quotas.Quotas(
            quota_host.calls,
            lambda: quota_host.bounds,
            self.clock,
            quota_host.log,
            self.forwarder.rng,
        )
        self.forwarder = forwarding.Forwarder(
            self.directory,
            self.clock,
            self.log,
            self.forwarder.rng,
            freshness=self.freshness,
            quotas=self.quotas,
        )
        self.publish(test_forwarding_keys._keys(k1=_LIMITED, k2=_UNLIMITED))

    def explain(
        self, key: str | None, path: str = '/find/x'
    ) -> explanation.Explanation:
        return self.forwarder.explainer.explain(
            'a.example', path, 0, explanation.GivenKey(key)
        )


def test_key_is_left_out_unless_it_is_asked_about() -> None:
    """Guards against refusals of explanations that state no key."""
    host = _Host()
    explained = host.forwarder.explainer.explain('a.example', '/find/x', 0)
    assert explained.key is None
    assert explained.refusal == ''


def test_age_of_the_knowledge_of_the_store() -> None:
    """Guards against trust in an explanation from old knowledge."""
    host = _Host()
    host.clock.advance(1.5)
    for path in ('/find/x', '/none/x'):
        assert host.explain('k1', path).store_age_s == pytest.approx(1.5)


@pytest.mark.parametrize(
    ('key', 'reason'),
    [(None, 'no valid key'), ('unknown', 'the key is unknown')],
)
def test_refused_key(key: str | None, reason: str) -> None:
    host = _Host()
    explained = host.explain(key)
    assert explained.key is not None and explained.key.needed
    assert reason in explained.key.refusal
    assert explained.refusal == explained.key.refusal
    public = host.explain(key, '/open/x')
    assert public.refusal == ''
    assert public.key == explanation.KeyView(True, priority=1)


def test_old_knowledge_refuses_keys_and_logs_nothing() -> None:
    """Guards against an explanation that changes the state of the host."""
    host = _Host()
    host.clock.advance(10.0)
    decisions = len(host.freshness._log.recent())
    assert 'too old' in host.explain('k1').refusal
    assert len(host.freshness._log.recent()) == decisions
    assert not host.freshness._refuses


def test_accepted_key() -> None:
    host = _Host()
    explained = host.explain('k2')
    assert explained.key == explanation.KeyView(True, '', 'beta', 0, None)
    limited = host.explain('k1').key
    assert limited is not None and limited.quota is not None
    assert (limited.workspace, limited.priority) == ('kami', 2)
    assert (limited.quota.rate_per_s, limited.quota.burst) == (11, 11)


def test_explanations_spend_no_token() -> None:
    """Guards against explanations that count against the quota.

    They ask no owner either, and add no account.
    """
    host = _Host()
    for _ in range(100):
        assert host.explain('k1').refusal == ''
    assert host.quotas.size == 0
    assert host.owners.requests == []
    for _ in range(3):
        host.quotas.admit(_LIMITED)
    calls = len(host.owners.requests)
    held = [host.explain('k1').key for _ in range(100)]
    assert len(set(held)) == 1
    assert len(host.owners.requests) == calls


@pytest.mark.parametrize(
    ('silent', 'error', 'reason'),
    [
        (False, errors.QuotaExceeded, 'the quota is used up for 0.3'),
        (True, errors.NotReady, 'no owner of the quota replied'),
    ],
)
def test_explanation_agrees_with_the_next_decision(
    silent: bool, error: type[Exception], reason: str
) -> None:
    """Guards against an explanation that is not what happens."""
    host = _Host(stock=1)
    if silent:
        host.owners.failures['all'] = errors.ConnectionSilent('silent')
    else:
        assert host.quotas.admit(_LIMITED) is not None
    with pytest.raises(error):
        host.quotas.admit(_LIMITED)
    explained = host.explain('k1')
    assert explained.key is not None and explained.key.quota is not None
    assert reason in explained.key.quota.refusal
    assert explained.refusal == explained.key.quota.refusal
    calls = len(host.owners.requests)
    with pytest.raises(error):
        host.quotas.admit(_LIMITED)
    assert len(host.owners.requests) == calls
    host.clock.advance(1.0)
    assert host.explain('k1').refusal == ''


def test_no_explanation_holds_the_key() -> None:
    """Guards against keys in the output of the command or in logs."""
    host = _Host()
    host.publish(test_forwarding_keys._keys(secret=_LIMITED))
    for key in ('secret', 'secret-unknown'):
        assert 'secret' not in repr(explanation.GivenKey(key))
        assert 'secret' not in repr(host.explain(key))
    assert 'secret' not in repr(host.log.recent())
