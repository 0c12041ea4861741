"""corianderport_daemon.process.entry_quotas

Builds the components of an entry host that hold the quotas of workspaces.
"""

import collections.abc
import concurrent.futures
import random

from corianderport_daemon.process import fleet as fleet_module
from corianderport_tier import clocks
from corianderport_tier import closing
from corianderport_tier.process import decision_log
from corianderport_tier.process import limit_events
from corianderport_tier.process import owner_connections
from corianderport_tier.process import quota_bucket
from corianderport_tier.process import quota_calls
from corianderport_tier.process import quota_messages
from corianderport_tier.process import quota_owner
from corianderport_tier.process import quotas
from corianderport_tier.process import workspace_counts
from corianderport_tier.version import workspaces

__all__ = ['EntryQuotas']


class EntryQuotas(closing.Closing):
    """The quotas that this host uses, and those that it owns a part of.

    :param bounds: None switches quotas off.
    :param newest: returns the workspaces of the newest version known.
    """

    def __init__(
        self,
        own_name: str,
        fleet: fleet_module.Fleet,
        bounds: quota_bucket.QuotaBounds | None,
        newest: collections.abc.Callable[[], workspaces.Workspaces | None],
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        self._bounds = bounds
        self._owner = quota_owner.QuotaOwner(
            own_name,
            fleet.quota_hosts,
            quota_owner.WorkspaceIndex(newest),
            lambda: self._bounds,
            clock,
        )
        self._connections = owner_connections.OwnerConnections(
            fleet.dialer,
            lambda: fleet.view,
            fleet.process_ended,
            executor,
            clock,
            limit_events.LimitEvents(log, clock),
        )
        calls = quota_calls.QuotaCalls(
            own_name,
            fleet.quota_hosts,
            self._owner,
            self._connections,
            clock,
            log,
        )
        self.used = quotas.Quotas(calls, lambda: self._bounds, clock, log, rng)
        self.counts = workspace_counts.WorkspaceCounts(
            clock,
            self._window_s,
            lambda: [workspace.name for workspace in newest() or ()],
            self._owner.granted_totals,
        )

    def set_bounds(self, bounds: quota_bucket.QuotaBounds | None) -> None:
        """Replace the bounds."""
        self._bounds = bounds

    def grant(
        self, request: quota_messages.QuotaRequest
    ) -> quota_messages.QuotaGrant:
        """Grant tokens to another host.

        :raises Refusal: this host does not grant tokens of the workspace.
        """
        return self._owner.grant(request)

    def part(self, workspace: workspaces.Workspace) -> float:
        """Return the fraction of a quota that this host grants."""
        return self._owner.part(workspace)

    def expire(self) -> None:
        """Drop what is no longer used; called periodically."""
        self._owner.expire()
        self.used.expire()
        self.counts.sample()

    def close(self) -> None:
        """Close the connections to owners."""
        self._connections.close()

    def _window_s(self) -> float:
        bounds = self._bounds
        return bounds.window_s if bounds else workspace_counts.DEFAULT_WINDOW_S
