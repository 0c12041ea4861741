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
# When all hosts start together, they grant once the known hosts have changed
# by less than a tenth within a second. With the gossip of up to 195 hosts, the
# parts of all hosts that take themselves for owners then sum up to 1.04.
_CALM_PERIOD_S = 1.0
_CALM_CHANGE = 0.1
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
    the time at which it lost its place.
    """

    bucket: quota_bucket.QuotaBucket
    owners: int
    known_fraction: float
    names: tuple[str, ...]
    released_s: float | None = None


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
        # The hosts known at the last check of how much they change.
        self._checked_names: tuple[str, ...] = ()
        self._checked_s = now_s
        self._calm = False
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
        if now_s - self._checked_s >= _CALM_PERIOD_S:
            changed = len(set(names).symmetric_difference(self._checked_names))
            self._calm = changed < _CALM_CHANGE * len(names)
            self._checked_names = names
            self._checked_s = now_s
        if self._granting_since_s is None and self._may_begin(now_s):
            self._granting_since_s = now_s

    def _may_begin(self, now_s: float) -> bool:
        if not self._fleet.serving:
            return False
        if now_s - self._started_s >= quota_hosts.YOUNG_S:
            return True
        return self._calm and self._fleet.first_start and not self._paused

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
        # Nobody else has granted this host's part since then.
        assert self._granting_since_s is not None
        since_s = max(self._names_since_s + _RELEASE_S, self._granting_since_s)
        share = bounds.share(workspace, owners, hosts.known_fraction)
        bucket = quota_bucket.QuotaBucket(
            share, now_s, max(0.0, now_s - since_s)
        )
        owned = _OwnedQuota(bucket, owners, hosts.known_fraction, hosts.names)
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
            elif owned.released_s is None:
                owned.released_s = now_s
        if owned.released_s is None:
            owned.known_fraction = hosts.known_fraction
        if (
            owned.released_s is not None
            and now_s - owned.released_s >= _RELEASE_S
        ):
            del self._owned[workspace.name]
            return None
        return owned

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
        if now_s - self._started_s < quota_hosts.YOUNG_S:
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
