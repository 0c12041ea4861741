"""corianderport_tier.process.quota_calls

Asks the owners of a workspace's quota for tokens.
"""

import threading
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import quota_account
from corianderport_tier.process import quota_bucket
from corianderport_tier.process import quota_hosts
from corianderport_tier.process import quota_messages
from corianderport_tier.version import workspaces

__all__ = ['LocalOwner', 'QuotaCalls', 'QuotaPeers', 'QuotaReplies']

# An owner in another data centre replies within a few milliseconds.
_CALL_TIMEOUT_S = 0.25
# An owner that did not reply is not asked again for this time, which doubles
# with each further call without a reply up to the maximum. Each such call
# delays the requests of the workspace.
_SILENT_S = 1.0
_MAX_SILENT_S = 8.0
# An owner that has just started or is leaving is not asked again for this
# time.
_NOT_READY_S = 0.25
_MAX_TOKENS_PER_CALL = 10_000


class QuotaPeers(typing.Protocol):
    """Calls to the other hosts."""

    def request(
        self,
        host: str,
        request: quota_messages.QuotaRequest,
        timeout_s: float,
    ) -> quota_messages.QuotaGrant:
        """Ask a host for tokens.

        :raises TransportError: the host did not reply.
        :raises Refusal: the host does not grant tokens of the workspace.
        """


class LocalOwner(typing.Protocol):
    """The part of quotas that this host owns."""

    def grant(
        self, request: quota_messages.QuotaRequest
    ) -> quota_messages.QuotaGrant:
        """Grant as many of the requested tokens as there are.

        :raises Refusal: this host does not grant tokens of the workspace.
        """


@attrs.define
class QuotaReplies:
    """Replies of the owners that one task asks in turn.

    ``replied`` counts the owners that grant tokens of the workspace, even
    if they have none at present. ``not_ready`` is set if an owner replied
    that it grants no tokens yet.
    """

    wanted: int
    granted: int = 0
    expires_s: float = float('inf')
    replied: int = 0
    not_ready: bool = False
    asked: list[str] = attrs.Factory(list)

    @property
    def missing(self) -> int:
        """Number of tokens that have not been granted."""
        return self.wanted - self.granted


@attrs.frozen
class _Avoided:
    """A host that is not asked until ``until_s``.

    ``not_ready`` is set if it replied that it grants no tokens yet.
    """

    until_s: float
    seconds: float
    not_ready: bool = False


class QuotaCalls:
    """Asks owners, and skips those that can't grant tokens at present."""

    def __init__(
        self,
        own_name: str,
        fleet: quota_hosts.QuotaFleet,
        owner: LocalOwner,
        peers: QuotaPeers,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
    ) -> None:
        self._own_name = own_name
        self._fleet = fleet
        self._owner = owner
        self._peers = peers
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._avoided: dict[str, _Avoided] = {}

    def ask(
        self,
        account: quota_account.QuotaAccount,
        workspace: workspaces.Workspace,
        bounds: quota_bucket.QuotaBounds,
        wanted: int,
        deadline_s: float,
    ) -> QuotaReplies:
        """Ask one owner after the other until enough tokens are granted.

        Must be called by one task at a time for each account.
        """
        owners, next_host = self._owners(account, workspace, bounds)
        start = account.next_owner % len(owners)
        replies = QuotaReplies(wanted)
        for host in owners[start:] + owners[:start]:
            if replies.missing <= 0:
                break
            if account.empty_until_s.get(host, 0) > self._clock.monotonic():
                replies.replied += 1
                continue
            rank = owners.index(host)
            self._ask_host(account, host, rank, bounds, replies, deadline_s)
        account.next_owner = start + max(1, len(replies.asked))
        if replies.missing > 0 and replies.not_ready and next_host:
            # The host that is replaced by an owner that has just started
            # may still be granting.
            rank = len(owners)
            self._ask_host(
                account, next_host, rank, bounds, replies, deadline_s
            )
        return replies

    def retry_after_s(
        self,
        account: quota_account.QuotaAccount,
        workspace: workspaces.Workspace,
    ) -> float:
        """Return after which time owners that have just started may grant.

        The caller holds the condition of the account.
        """
        hosts = len(self._fleet.hosts.names)
        return account.retries.retry_after_s(
            workspace,
            self._fleet.grants_in_s,
            hosts,
            self._clock.monotonic(),
        )

    def expire(self) -> None:
        """Forget hosts that have not been avoided for some time."""
        with self._lock:
            forget_s = self._clock.monotonic() - _MAX_SILENT_S
            for host, avoided in list(self._avoided.items()):
                if avoided.until_s <= forget_s:
                    self._avoided.pop(host, None)

    def _owners(
        self,
        account: quota_account.QuotaAccount,
        workspace: workspaces.Workspace,
        bounds: quota_bucket.QuotaBounds,
    ) -> tuple[tuple[str, ...], str | None]:
        """Return the owners, and the host that follows them if any."""
        names = self._fleet.hosts.names
        count = bounds.owners(workspace, len(names))
        known = min(count + 1, len(names))
        if account.names is not names or len(account.first_hosts) != known:
            account.names = names
            account.first_hosts = quota_hosts.first_hosts(
                workspace.name, names, known
            )
        following = account.first_hosts[count:]
        return account.first_hosts[:count], next(iter(following), None)

    def _ask_host(
        self,
        account: quota_account.QuotaAccount,
        host: str,
        rank: int,
        bounds: quota_bucket.QuotaBounds,
        replies: QuotaReplies,
        deadline_s: float,
    ) -> None:
        now_s = self._clock.monotonic()
        timeout_s = min(_CALL_TIMEOUT_S, deadline_s - now_s)
        if self._skip(host, replies, now_s) or timeout_s <= 0:
            return
        request = quota_messages.QuotaRequest(
            account.name, min(replies.missing, _MAX_TOKENS_PER_CALL), rank
        )
        replies.asked.append(host)
        try:
            grant = self._call(host, request, timeout_s)
        except errors.ConnectionSilent:
            self._count('silent')
            self._on_failure(host)
        except errors.TransportError:
            self._count('failed')
            self._on_failure(host)
        except errors.NotReady:
            self._count('not-ready')
            self._avoid(host, _NOT_READY_S, not_ready=True)
            replies.not_ready = True
        except errors.CorianderportError:
            self._count('not-owner')
        else:
            self._avoided.pop(host, None)
            granted = min(grant.granted, request.tokens)
            replies.replied += 1
            replies.granted += granted
            # Counted from before the owner granted the tokens, on the clock
            # of this host.
            expires_s = now_s + min(grant.valid_s, bounds.valid_s)
            replies.expires_s = min(replies.expires_s, expires_s)
            if granted < request.tokens:
                due_s = self._clock.monotonic() + grant.retry_after_s
                account.empty_until_s[host] = due_s
            full = granted == request.tokens
            self._count('granted' if full else 'short')

    def _skip(self, host: str, replies: QuotaReplies, now_s: float) -> bool:
        if host in self._fleet.hosts.dead:
            return True
        avoided = self._avoided.get(host)
        if avoided is None or avoided.until_s <= now_s:
            return False
        replies.not_ready = replies.not_ready or avoided.not_ready
        return True

    def _on_failure(self, host: str) -> None:
        """Avoid a host that did not reply, longer after each failure."""
        avoided = self._avoided.get(host)
        seconds = _SILENT_S
        if avoided is not None and not avoided.not_ready:
            seconds = min(_MAX_SILENT_S, 2 * avoided.seconds)
        self._avoid(host, seconds)

    def _avoid(
        self, host: str, seconds: float, not_ready: bool = False
    ) -> None:
        with self._lock:
            until_s = self._clock.monotonic() + seconds
            self._avoided[host] = _Avoided(until_s, seconds, not_ready)

    def _call(
        self,
        host: str,
        request: quota_messages.QuotaRequest,
        timeout_s: float,
    ) -> quota_messages.QuotaGrant:
        if host == self._own_name:
            return self._owner.grant(request)
        return self._peers.request(host, request, timeout_s)

    def _count(self, outcome: str) -> None:
        self._log.count(
            decision_log.Decision(f'quota-call-{outcome}', '', '', '')
        )
