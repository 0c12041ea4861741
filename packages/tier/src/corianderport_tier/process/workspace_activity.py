"""corianderport_tier.process.workspace_activity

What a host shows to operators about the requests of workspaces.
"""

import collections.abc
import math

import attrs

from corianderport_tier.process import directory
from corianderport_tier.process import store_freshness
from corianderport_tier.process import workspace_counts
from corianderport_tier.version import workspaces

__all__ = [
    'ActivityReporter',
    'HostActivity',
    'RequestCounts',
    'WorkspaceActivity',
]

Outcome = workspace_counts.Outcome


@attrs.frozen
class RequestCounts:
    """Requests of a window; ``given_back`` are admitted ones that did not run.

    ``over_quota`` were refused with 429. The others were refused with 503 or,
    ``key_refused``, with 401: ``no_owner`` because no owner of the quota
    replied, ``over_share`` because the workspace used its share of the host
    or of a service, ``key_unconfirmed`` because the key could not be
    confirmed.
    """

    admitted: int = 0
    given_back: int = 0
    over_quota: int = 0
    no_owner: int = 0
    over_share: int = 0
    key_refused: int = 0
    key_unconfirmed: int = 0


@attrs.frozen
class WorkspaceActivity:
    """A workspace and its requests at one host.

    ``quota_part`` is the fraction of the quota that the host grants as an
    owner; ``tokens_granted`` are those that it granted in the window.
    """

    name: str
    priority: int
    rate_per_s: float
    burst: float
    requests: RequestCounts
    quota_part: float = 0.0
    tokens_granted: int = 0


@attrs.frozen
class HostActivity:
    """All workspaces at one host.

    ``version`` is that of the routing in force, None if there is none.
    ``store_age_s`` is None if the knowledge of the store was never known to
    be current. ``other`` are requests without a known workspace.
    """

    host: str
    version: int | None
    store_age_s: float | None
    window_s: float
    other: RequestCounts
    workspaces: tuple[WorkspaceActivity, ...]


class ActivityReporter:
    """Reports on the workspaces of the newest version known.

    :param quota_part: returns the fraction of the quota of a workspace that
        this host grants.
    """

    def __init__(
        self,
        own_name: str,
        searcher_directory: directory.Directory,
        freshness: store_freshness.StoreFreshness,
        counts: workspace_counts.WorkspaceCounts,
        quota_part: collections.abc.Callable[[workspaces.Workspace], float],
    ) -> None:
        self._own_name = own_name
        self._directory = searcher_directory
        self._freshness = freshness
        self._counts = counts
        self._quota_part = quota_part

    def report(self) -> HostActivity:
        """Return the activity of all workspaces in the latest window."""
        routing = self._directory.routing
        age_s = self._freshness.age_s
        window_s, recent = self._counts.recent()
        return HostActivity(
            self._own_name,
            None if routing is None else routing.version,
            None if age_s == math.inf else age_s,
            window_s,
            _request_counts(recent.get(None)),
            tuple(
                self._activity(workspace, recent.get(workspace.name))
                for workspace in self._directory.workspaces or ()
            ),
        )

    def _activity(
        self,
        workspace: workspaces.Workspace,
        recent: workspace_counts.RecentCounts | None,
    ) -> WorkspaceActivity:
        return WorkspaceActivity(
            workspace.name,
            workspace.rank,
            workspace.rate_per_s,
            workspace.burst,
            _request_counts(recent),
            self._quota_part(workspace),
            recent.tokens_granted if recent else 0,
        )


def _request_counts(
    recent: workspace_counts.RecentCounts | None,
) -> RequestCounts:
    if recent is None:
        return RequestCounts()
    return RequestCounts(**{o.value: n for o, n in recent.outcomes.items()})
