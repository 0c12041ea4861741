"""corianderport_tier.process.quotas

Admits requests of workspaces within their quotas over all hosts.
"""

import collections.abc
import math
import random
import threading

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import quota_account
from corianderport_tier.process import quota_bucket
from corianderport_tier.process import quota_calls
from corianderport_tier.process import quota_outlook
from corianderport_tier.process import quota_retries
from corianderport_tier.version import workspaces

__all__ = ['QuotaToken', 'Quotas']

QuotaToken = quota_account.QuotaToken

# Maximum time for which a request waits for tokens.
_MAX_WAIT_S = 0.5
# After a failure to reach any owner, requests are refused for this time
# without asking again, so that they do not wait for the same time-outs.
_UNREACHABLE_S = 0.25
# Accounts without a request for this time are dropped.
_UNUSED_S = 60.0
# Hosts begin with different owners.
_MAX_FIRST_OWNER = 1_000


class Quotas:
    """Holds tokens that owners have granted to this host.

    One task asks the owners of a workspace; other tasks with requests of
    the workspace wait for its result.

    :param bounds: returns the bounds; None switches quotas off.
    """

    def __init__(
        self,
        calls: quota_calls.QuotaCalls,
        bounds: collections.abc.Callable[[], quota_bucket.QuotaBounds | None],
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        self._calls = calls
        self._bounds = bounds
        self._clock = clock
        self._log = log
        self._rng = rng
        self._lock = threading.Lock()
        self._accounts: dict[str, quota_account.QuotaAccount] = {}

    @property
    def size(self) -> int:
        """Number of workspaces with an account."""
        return len(self._accounts)

    def admit(
        self,
        workspace: workspaces.Workspace,
        request_id: str = '',
        latest_s: float = math.inf,
    ) -> quota_account.QuotaToken | None:
        """Take a token for a request, waiting for owners if necessary.

        :param latest_s: time until which the request may wait.
        :return: None if the workspace has no quota.
        :raises QuotaExceeded: the quota is used up.
        :raises QuotaPending: the owners have just started.
        :raises NotReady: no owner of the quota could be reached.
        """
        bounds = self._bounds()
        if bounds is None or workspace.rate_per_s <= 0:
            return None
        account, now_s = self._enter(workspace.name)
        deadline_s = min(now_s + _MAX_WAIT_S, latest_s)
        try:
            while True:
                token = self._take_or_wait(account, workspace, deadline_s)
                if token is not None:
                    self._count('quota-granted')
                    return token
                self._ask(account, workspace, bounds, deadline_s, request_id)
        finally:
            with account.condition:
                account.waiting -= 1

    def outlook(
        self, workspace: workspaces.Workspace
    ) -> quota_outlook.QuotaOutlook | None:
        """Return what ``admit`` would decide now; change nothing.

        :return: None if the workspace has no quota.
        """
        if self._bounds() is None or workspace.rate_per_s <= 0:
            return None
        with self._lock:
            account = self._accounts.get(workspace.name)
        return quota_outlook.outlook(
            account, workspace, self._clock.monotonic()
        )

    def give_back(self, token: quota_account.QuotaToken) -> None:
        """Return a token whose request no searcher has run."""
        account = self._account(token.workspace)
        with account.condition:
            account.give_back(token)
            account.condition.notify()
        self._count('quota-given-back')

    def expire(self) -> None:
        """Drop accounts that are no longer used; called periodically."""
        now_s = self._clock.monotonic()
        with self._lock:
            unused = [
                name
                for name, account in self._accounts.items()
                if not account.waiting and now_s - account.used_s > _UNUSED_S
            ]
            for name in unused:
                del self._accounts[name]
        self._calls.expire()

    def _enter(self, name: str) -> tuple[quota_account.QuotaAccount, float]:
        account = self._account(name)
        with account.condition:
            now_s = self._clock.monotonic()
            account.count_request(now_s)
            account.waiting += 1
        return account, now_s

    def _account(self, name: str) -> quota_account.QuotaAccount:
        with self._lock:
            account = self._accounts.get(name)
            if account is None:
                account = quota_account.QuotaAccount(
                    name,
                    self._rng.randrange(_MAX_FIRST_OWNER),
                    self._clock.monotonic(),
                    quota_retries.QuotaRetries(self._rng),
                )
                self._accounts[name] = account
            return account

    def _take_or_wait(
        self,
        account: quota_account.QuotaAccount,
        workspace: workspaces.Workspace,
        deadline_s: float,
    ) -> quota_account.QuotaToken | None:
        """Take a token; return None if this task has to ask the owners."""
        with account.condition:
            while True:
                now_s = self._clock.monotonic()
                token = account.take(now_s)
                if token is not None:
                    return token
                if not account.asking:
                    self._check_refused(account, workspace, now_s)
                if now_s >= deadline_s:
                    raise self._unreachable(account, workspace)
                if not account.asking:
                    account.asking = True
                    return None
                self._clock.wait(account.condition, deadline_s - now_s)

    def _check_refused(
        self,
        account: quota_account.QuotaAccount,
        workspace: workspaces.Workspace,
        now_s: float,
    ) -> None:
        if account.refused_until_s > now_s:
            self._count('quota-refused')
            raise errors.QuotaExceeded(
                f'the quota of workspace {workspace.name!r}, '
                f'{workspace.rate_per_s:g} a second, is used up',
                account.refused_until_s - now_s,
            )
        if account.unreachable_until_s > now_s:
            raise self._unreachable(account, workspace)

    def _unreachable(
        self,
        account: quota_account.QuotaAccount,
        workspace: workspaces.Workspace,
    ) -> errors.NotReady:
        self._count('quota-unreachable')
        if account.pending:
            return errors.QuotaPending(
                f'the owners of the quota of workspace {workspace.name!r} '
                'have just started',
                self._calls.retry_after_s(account, workspace),
            )
        return errors.NotReady(
            f'no owner of the quota of workspace {workspace.name!r} replied'
        )

    def _ask(
        self,
        account: quota_account.QuotaAccount,
        workspace: workspaces.Workspace,
        bounds: quota_bucket.QuotaBounds,
        deadline_s: float,
        request_id: str,
    ) -> None:
        """Ask the owners and wake the tasks that wait for the result."""
        with account.condition:
            wanted = account.wanted
        replies = quota_calls.QuotaReplies(wanted)
        try:
            replies = self._calls.ask(
                account, workspace, bounds, wanted, deadline_s
            )
        finally:
            with account.condition:
                account.asking = False
                account.add(replies.granted, replies.expires_s)
                if replies.missing > 0:
                    self._note_shortage(account, replies)
                account.condition.notify_all()
        if replies.missing > 0:
            self._log_shortage(account, workspace, replies, request_id)

    def _note_shortage(
        self,
        account: quota_account.QuotaAccount,
        replies: quota_calls.QuotaReplies,
    ) -> None:
        """Refuse further requests until an owner has tokens again."""
        now_s = self._clock.monotonic()
        account.empty_until_s = {
            host: until_s
            for host, until_s in account.empty_until_s.items()
            if until_s > now_s
        }
        account.pending = replies.not_ready
        if replies.replied == 0:
            account.unreachable_until_s = now_s + _UNREACHABLE_S
        elif account.empty_until_s:
            account.refused_until_s = min(account.empty_until_s.values())

    def _log_shortage(
        self,
        account: quota_account.QuotaAccount,
        workspace: workspaces.Workspace,
        replies: quota_calls.QuotaReplies,
        request_id: str,
    ) -> None:
        wait_s = account.refused_until_s - self._clock.monotonic()
        if replies.replied == 0:
            reason = 'no owner replied'
        else:
            reason = (
                f'owners granted {replies.granted} of {replies.wanted} '
                f'tokens, the next one in {max(0.0, wait_s):.3f} s'
            )
        self._log.record(
            decision_log.Decision(
                'quota-shortage',
                request_id,
                workspace.name,
                reason,
                alternatives=tuple(replies.asked),
                inputs={
                    'rate_per_s': workspace.rate_per_s,
                    'burst': workspace.burst,
                },
            )
        )

    def _count(self, kind: str) -> None:
        self._log.count(decision_log.Decision(kind, '', '', ''))
