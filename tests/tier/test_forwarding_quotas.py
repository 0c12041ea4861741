"""Forwarding within quotas: admission, refusals and returned tokens."""

import pytest

from corianderport_tier import errors
from corianderport_tier.process import quota_account
from corianderport_tier.process import quotas
from corianderport_tier.process import workspace_counts
from corianderport_tier.request import forward_messages
from corianderport_tier import result_codes
from corianderport_tier.version import workspaces

from . import entries
from . import test_forwarding
from . import test_forwarding_keys

Code = result_codes.ResultCode
_LIMITED = workspaces.Workspace('alpha', 0, 11, 11)


class _Quotas(quotas.Quotas):
    """Quotas that admit or refuse as the test says."""

    def __init__(self) -> None:
        self.refusal: errors.Refusal | None = None
        self.admitted: list[str] = []
        self.given_back: list[quota_account.QuotaToken] = []

    def admit(
        self,
        workspace: workspaces.Workspace,
        request_id: str = '',
        latest_s: float = 0.0,
    ) -> quota_account.QuotaToken:
        if self.refusal is not None:
            raise self.refusal
        self.admitted.append(workspace.name)
        return quota_account.QuotaToken(workspace.name, latest_s)

    def give_back(self, token: quota_account.QuotaToken) -> None:
        self.given_back.append(token)


class _Host(test_forwarding_keys._Host):
    """A host whose callers' workspace has a quota."""

    def __init__(self) -> None:
        super().__init__(
            entries.route(),
            entries.route(name='open', prefix='/open/', public=True),
        )
        self.quotas = _Quotas()
        self.forwarder._quotas = self.quotas
        self.counts = workspace_counts.WorkspaceCounts(
            self.clock, lambda: 5.0, lambda: ('alpha',), dict
        )
        self.forwarder._activity = self.counts
        self.publish(test_forwarding_keys._keys(k1=_LIMITED))

    def counted(self, name: str | None = 'alpha') -> dict[str, int]:
        """Return the outcomes that were counted for a workspace."""
        outcomes = self.counts.recent()[1][name].outcomes
        return {o.value: n for o, n in outcomes.items() if n}


@pytest.fixture(name='host')
def _host() -> _Host:
    return _Host()


def test_request_takes_one_token(host: _Host) -> None:
    """Guards against requests that are served without a token."""
    host.start()
    host.end(host.take(), test_forwarding.reply())
    assert isinstance(host.finish(), forward_messages.Relayed)
    assert host.quotas.admitted == ['alpha']
    assert host.quotas.given_back == []


def test_refused_request_is_not_sent(host: _Host) -> None:
    """Guards against a 429 to a request that runs nevertheless.

    The retry delay is the time at which there will be a token, even if it is
    longer than the delays of other refusals.
    """
    host.quotas.refusal = errors.QuotaExceeded('used up', 0.7)
    host.start()
    assert host.refusal(Code.QUOTA_EXCEEDED).retry_after_s == 0.7
    assert host.idle


def test_without_an_owner_the_retry_delay_is_short(host: _Host) -> None:
    """Guards against callers that wait although another host can serve."""
    host.quotas.refusal = errors.NotReady('no owner replied')
    host.start()
    retry_after_s = host.refusal(Code.NOT_READY).retry_after_s
    assert retry_after_s is not None and retry_after_s <= 0.1
    assert host.idle


def test_owners_that_have_just_started_determine_the_retry_delay(
    host: _Host,
) -> None:
    """Guards against callers that come back before there is quota."""
    host.quotas.refusal = errors.QuotaPending('just started', 0.9)
    host.start()
    assert host.refusal(Code.NOT_READY).retry_after_s == 0.9
    assert host.idle


def test_token_of_a_request_that_no_searcher_ran_is_given_back(
    host: _Host,
) -> None:
    """Guards against counting requests that did not run."""
    host.start()
    for _ in range(3):
        host.end(host.take(), test_forwarding.reply(503, ran=False))
    host.refusal(Code.UPSTREAM_REFUSED)
    assert len(host.quotas.given_back) == 1


def test_token_of_a_request_that_may_have_run_is_kept(host: _Host) -> None:
    """Guards against more requests than the quota permits.

    The connection is lost after the request was sent.
    """
    host.start()
    for _ in range(2):
        host.end(host.take(), errors.ConnectionBroken('reset'))
    answer = host.finish()
    assert isinstance(answer, forward_messages.Failure)
    assert answer.code is Code.OUTCOME_UNKNOWN
    assert host.quotas.given_back == []


def test_unknown_key_takes_no_token(host: _Host) -> None:
    """Guards against strangers who use up the quota of a workspace."""
    host.credential = 'unknown'
    host.start()
    host.refusal(Code.UNAUTHENTICATED)
    assert host.quotas.admitted == []


@pytest.mark.parametrize(
    ('credential', 'admitted'), [(None, []), ('k1', ['alpha'])]
)
def test_public_route(
    host: _Host, credential: str | None, admitted: list[str]
) -> None:
    """Guards against requests of a workspace that its quota leaves out.

    A known key is treated on a public route as on any other one.
    """
    host.credential = credential
    host.start(path='/open/x')
    host.end(host.take(), test_forwarding.reply())
    assert isinstance(host.finish(), forward_messages.Relayed)
    assert host.quotas.admitted == admitted


def test_each_outcome_is_counted_for_its_workspace(host: _Host) -> None:
    """Guards against a report that hides why requests are refused."""
    host.start()
    host.end(host.take(), test_forwarding.reply())
    host.finish()
    assert host.counted() == {'admitted': 1}
    host.quotas.refusal = errors.QuotaExceeded('used up', 0.7)
    host.start()
    host.refusal(Code.QUOTA_EXCEEDED)
    host.quotas.refusal = errors.NotReady('no owner replied')
    host.start()
    host.refusal(Code.NOT_READY)
    assert host.counted() == {'admitted': 1, 'over_quota': 1, 'no_owner': 1}
    host.credential = 'unknown'
    host.start()
    host.refusal(Code.UNAUTHENTICATED)
    assert host.counted(None) == {'key_refused': 1}


def test_request_that_did_not_run_is_counted(host: _Host) -> None:
    """Guards against admitted requests that seem to have run."""
    host.start()
    for _ in range(3):
        host.end(host.take(), test_forwarding.reply(503, ran=False))
    host.refusal(Code.UPSTREAM_REFUSED)
    assert host.counted() == {'admitted': 1, 'given_back': 1}


def test_requests_of_public_routes_have_no_workspace(host: _Host) -> None:
    """Guards against requests that are counted for nobody."""
    host.credential = None
    host.start(path='/open/x')
    host.end(host.take(), test_forwarding.reply())
    host.finish()
    assert host.counted(None) == {'admitted': 1}
