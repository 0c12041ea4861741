"""corianderport_tier.process.quota_owner

Grants tokens of the quotas that this host owns a part of.
"""

import collections.abc
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import quota_bucket
from corianderport_tier.process import quota_hosts
from corianderport_tier.process import quota_messages
from corianderport_tier.version import workspaces

__all__ = ['QuotaOwner', 'WorkspaceIndex']

Bounds = collections.abc.Callable[[], quota_bucket.QuotaBounds | None]

# A host that has lost its place among the owners to a new host still grants
# for this time. The news of the new host reaches all hosts within five
# seconds, and the new host grants nothing for eight.
_RELEASE_S = 3.0
# After a pause of the process of this length, other hosts may have taken its
# place. They do so after 120 s.
_MAX_PAUSE_S = 60.0


class WorkspaceIndex:
    """Finds workspaces by name in the newest version known.

    :param newest: returns the workspaces of that version.
    """

    def __init__(
        self,
        newest: collections.abc.Callable[
            [], collections.abc.Iterable[workspaces.Workspace] | None
        ],
    ) -> None:
        self._newest = newest
        self._indexed: tuple[object, dict[str, workspaces.Workspace]]
        self._indexed = (None, {})

    def find(self, name: str) -> workspaces.Workspace | None:
        """Return the workspace with a name, None if there is none."""
        newest = self._newest()
        indexed, by_name = self._indexed
        if indexed is not newest:
            by_name = {w.name: w for w in newest or ()}
            self._indexed = (newest, by_name)
        return by_name.get(name)


@attrs.define
class _OwnedQuota:
    """The bucket of one workspace.

    ``owners`` and ``known_fraction`` determine the part that this host had
    when it was last an owner, among the hosts in ``names``. ``released_s`` is
    the time at which it lost its place. ``initial_due`` is set while the
    bucket lacks its initial tokens.
    """

    bucket: quota_bucket.QuotaBucket
    owners: int
    known_fraction: float
    names: tuple[str, ...]
    released_s: float | None = None
    initial_due: bool = False


class QuotaOwner:
    """Decides whether this host may grant tokens, and how many.

    The owners of a workspace are the first hosts in rendezvous order of
    those that may be granting. Each grants an equal part of the quota. A
    host that does not answer keeps its place, so that in a partition the
    owners on both sides together grant no more than the quota.
    """

    def __init__(
        self,
        own_name: str,
        fleet: quota_hosts.QuotaFleet,
        index: WorkspaceIndex,
        bounds: Bounds,
        clock: clocks.Clock,
    ) -> None:
        self._own_name = own_name
        self._fleet = fleet
        self._index = index
        self._bounds = bounds
        self._clock = clock
        self._lock = threading.Lock()
        self._owned: dict[str, _OwnedQuota] = {}
        # Tokens granted since the start of the process, by workspace.
        self._granted: dict[str, int] = {}
        self._names: tuple[str, ...] = ()
        now_s = clock.monotonic()
        self._names_since_s = now_s
        # When this host began to find the fleet.
        self._started_s = now_s
        self._observed_s = now_s
        self._paused = False
        # When this host began to grant; None while it may not.
        self._granting_since_s: float | None = None

    @property
    def size(self) -> int:
        """Number of workspaces with a bucket."""
        return len(self._owned)

    def grant(
        self, request: quota_messages.QuotaRequest
    ) -> quota_messages.QuotaGrant:
        """Grant as many of the requested tokens as there are.

        :raises NotOwner: this host does not own a part of the quota.
        :raises NotReady: this host has just started or is leaving, or does
            not know the workspace yet.
        """
        bounds = self._bounds()
        workspace = self._index.find(request.workspace)
        if bounds is None or workspace is None:
            raise errors.NotReady('the quota is not known here')
        if workspace.rate_per_s <= 0:
            return quota_messages.QuotaGrant(
                request.tokens, 0.0, bounds.valid_s
            )
        with self._lock:
            now_s = self._clock.monotonic()
            self._observe(now_s)
            if self._granting_since_s is None or not self._fleet.serving:
                raise errors.NotReady('this host grants no tokens yet')
            owned = self._find(workspace, bounds, now_s)
            if owned is None:
                raise errors.NotOwner('other hosts own the quota')
            share = bounds.share(workspace, owned.owners, owned.known_fraction)
            granted = owned.bucket.take(share, request.tokens, now_s)
            total = self._granted.get(workspace.name, 0) + granted
            self._granted[workspace.name] = total
            retry_after_s = 0.0
            if granted < request.tokens:
                retry_after_s = owned.bucket.retry_after_s(now_s)
            return quota_messages.QuotaGrant(
                granted, retry_after_s, bounds.valid_s
            )

    def granted_totals(self) -> dict[str, int]:
        """Return the tokens granted since the start, by workspace."""
        with self._lock:
            return dict(self._granted)

    def part(self, workspace: workspaces.Workspace) -> float:
        """Return the fraction of a quota that this host grants now."""
        bounds = self._bounds()
        if bounds is None or workspace.rate_per_s <= 0:
            return 0.0
        with self._lock:
            now_s = self._clock.monotonic()
            self._observe(now_s)
            if self._granting_since_s is None or not self._fleet.serving:
                return 0.0
            owned = self._check_place(workspace, bounds, now_s)
            if owned is not None:
                return owned.known_fraction / owned.owners
            hosts = self._fleet.hosts
            owners = self._owners(workspace, bounds, hosts, now_s)
            if not self._is_owner(workspace, hosts, owners):
                return 0.0
            return hosts.known_fraction / owners

    def expire(self) -> None:
        """Drop buckets that are no longer used; called periodically."""
        bounds = self._bounds()
        with self._lock:
            now_s = self._clock.monotonic()
            self._observe(now_s)
            for name in list(self._owned):
                workspace = self._index.find(name)
                if bounds is None or workspace is None:
                    del self._owned[name]
                else:
                    self._check_place(workspace, bounds, now_s)
            for name in list(self._granted):
                if self._index.find(name) is None:
                    del self._granted[name]

    def _observe(self, now_s: float) -> None:
        """Note changes of the fleet, and whether this host may grant."""
        if now_s - self._observed_s > _MAX_PAUSE_S:
            self._started_s = now_s
            self._paused = True
            self._granting_since_s = None
            self._owned.clear()
        self._observed_s = now_s
        names = self._fleet.hosts.names
        if names != self._names:
            self._names = names
            self._names_since_s = now_s
        if self._granting_since_s is None and not self._fleet.connected:
            # Other hosts don't know it yet, however long it has run.
            self._started_s = now_s
        if not self._may_grant(now_s):
            if self._is_young(now_s):
                # Another host may take the part over at once.
                self._granting_since_s = None
                self._owned.clear()
        elif self._granting_since_s is None:
            self._granting_since_s = now_s

    def _may_grant(self, now_s: float) -> bool:
        """Return whether no other host can be granting this host's parts.

        A young host may if all hosts have started together and it knows
        those that rely on it. The last one has begun before the first one is
        no longer young and stops to look for others.
        """
        if not self._fleet.serving:
            return False
        if not self._is_young(now_s):
            return True
        return (
            not self._paused
            and self._fleet.confirmed
            and self._fleet.first_start
            and (self._granting_since_s is not None or self._fleet.all_young)
        )

    def _is_young(self, now_s: float) -> bool:
        return now_s - self._started_s < quota_hosts.YOUNG_S

    def _find(
        self,
        workspace: workspaces.Workspace,
        bounds: quota_bucket.QuotaBounds,
        now_s: float,
    ) -> _OwnedQuota | None:
        owned = self._check_place(workspace, bounds, now_s)
        if owned is not None:
            return owned
        hosts = self._fleet.hosts
        owners = self._owners(workspace, bounds, hosts, now_s)
        if not self._is_owner(workspace, hosts, owners):
            return None
        # Nobody else has granted this host's part since then. A young owner
        # is replaced at once.
        assert self._granting_since_s is not None
        young = self._is_young(now_s)
        release_s = 0.0 if young else _RELEASE_S
        since_s = max(self._names_since_s + release_s, self._granting_since_s)
        share = bounds.share(workspace, owners, hosts.known_fraction)
        if young:
            # While hosts start, owners change so often that their initial
            # tokens would exceed the slack. They are added later.
            share = attrs.evolve(share, initial=0.0)
        bucket = quota_bucket.QuotaBucket(
            share, now_s, max(0.0, now_s - since_s)
        )
        owned = _OwnedQuota(
            bucket,
            owners,
            hosts.known_fraction,
            hosts.names,
            initial_due=young,
        )
        self._owned[workspace.name] = owned
        return owned

    def _check_place(
        self,
        workspace: workspaces.Workspace,
        bounds: quota_bucket.QuotaBounds,
        now_s: float,
    ) -> _OwnedQuota | None:
        """Return the bucket of a workspace if it may still be used."""
        owned = self._owned.get(workspace.name)
        if owned is None:
            return None
        hosts = self._fleet.hosts
        owners = self._owners(workspace, bounds, hosts, now_s)
        if owned.names is not hosts.names or owned.owners != owners:
            owned.names = hosts.names
            if self._is_owner(workspace, hosts, owners):
                owned.owners = owners
                owned.released_s = None
            elif self._is_replaced_at_once(workspace, hosts, owners):
                del self._owned[workspace.name]
                return None
            elif owned.released_s is None:
                owned.released_s = now_s
        if owned.released_s is None:
            owned.known_fraction = hosts.known_fraction
        if owned.initial_due and self._is_stable(bounds, now_s):
            share = bounds.share(workspace, owners, owned.known_fraction)
            owned.bucket.add(share.initial)
            owned.initial_due = False
        if (
            owned.released_s is not None
            and now_s - owned.released_s >= _RELEASE_S
        ):
            del self._owned[workspace.name]
            return None
        return owned

    def _is_stable(
        self, bounds: quota_bucket.QuotaBounds, now_s: float
    ) -> bool:
        """Return whether the owners have not changed for half a window.

        Initial tokens are thus added at most twice in each window, however
        often hosts restart.
        """
        assert self._granting_since_s is not None
        since_s = max(self._names_since_s, self._granting_since_s)
        return now_s - since_s >= bounds.window_s / 2

    def _is_replaced_at_once(
        self,
        workspace: workspaces.Workspace,
        hosts: quota_hosts.QuotaHosts,
        owners: int,
    ) -> bool:
        """Return whether a new owner may not wait until all know it."""
        if not self._is_young(self._names_since_s):
            return False
        names = [name for name in hosts.names if name not in hosts.late]
        early = quota_hosts.QuotaHosts(tuple(names))
        return not self._is_owner(workspace, early, owners)

    def _owners(
        self,
        workspace: workspaces.Workspace,
        bounds: quota_bucket.QuotaBounds,
        hosts: quota_hosts.QuotaHosts,
        now_s: float,
    ) -> int:
        """Return the number of owners of a workspace.

        A host that has just started may not know all hosts yet and assumes
        that the quota is divided among the maximum number of owners.
        """
        count = len(hosts.names)
        if self._is_young(now_s):
            count = max(count, quota_bucket.MAX_OWNERS)
        return bounds.owners(workspace, count)

    def _is_owner(
        self,
        workspace: workspaces.Workspace,
        hosts: quota_hosts.QuotaHosts,
        owners: int,
    ) -> bool:
        first = quota_hosts.first_hosts(workspace.name, hosts.names, owners)
        return self._own_name in first
