"""corianderport_operator.process.workspace_totals

Adds up the activity of workspaces over hosts.
"""

import collections.abc

import attrs

from corianderport_operator.connection import workspaces_client
from corianderport_tier.process import workspace_activity

__all__ = ['FleetActivity', 'HostSummary', 'HostWorkspace', 'WorkspaceTotal']

Counts = workspace_activity.RequestCounts
Activity = workspace_activity.WorkspaceActivity


@attrs.frozen
class HostSummary:
    """What holds for all workspaces at one host.

    ``problem`` is empty if the host answered; the other fields are empty
    otherwise. ``other`` are requests without a known workspace.
    """

    address: str
    problem: str
    host: str = ''
    version: int | None = None
    store_age_s: float | None = None
    window_s: float = 0.0
    other: Counts = Counts()


@attrs.frozen
class HostWorkspace:
    """A workspace at one host."""

    address: str
    requests: Counts
    quota_part: float
    tokens_granted: int


@attrs.frozen
class WorkspaceTotal:
    """A workspace at all hosts that answered, and the sum over them.

    Priority, rate and burst are those of the newest version.
    """

    name: str
    priority: int
    rate_per_s: float
    burst: float
    requests: Counts
    quota_part: float
    tokens_granted: int
    hosts: tuple[HostWorkspace, ...]


@attrs.frozen
class FleetActivity:
    """The activity at all given hosts; partial if one did not answer."""

    partial: bool
    hosts: tuple[HostSummary, ...]
    workspaces: tuple[WorkspaceTotal, ...]

    @classmethod
    def from_replies(
        cls, replies: collections.abc.Sequence[workspaces_client.HostReply]
    ) -> 'FleetActivity':
        """Add up the replies of hosts."""
        found: dict[str, list[tuple[int, str, Activity]]] = {}
        for reply in replies:
            if reply.report is None:
                continue
            for workspace in reply.report.workspaces:
                found.setdefault(workspace.name, []).append(
                    (reply.report.version or 0, reply.address, workspace)
                )
        return cls(
            any(reply.report is None for reply in replies),
            tuple(map(_summary, replies)),
            tuple(_total(name, found[name]) for name in sorted(found)),
        )


def _summary(reply: workspaces_client.HostReply) -> HostSummary:
    activity = reply.report
    if activity is None:
        return HostSummary(reply.address, reply.problem)
    return HostSummary(
        reply.address,
        reply.problem,
        activity.host,
        activity.version,
        activity.store_age_s,
        activity.window_s,
        activity.other,
    )


def _total(
    name: str, found: collections.abc.Sequence[tuple[int, str, Activity]]
) -> WorkspaceTotal:
    _, _, newest = max(found, key=lambda item: item[0])
    activities = [activity for _, _, activity in found]
    return WorkspaceTotal(
        name,
        newest.priority,
        newest.rate_per_s,
        newest.burst,
        _sum(activity.requests for activity in activities),
        sum(activity.quota_part for activity in activities),
        sum(activity.tokens_granted for activity in activities),
        tuple(
            HostWorkspace(
                address,
                activity.requests,
                activity.quota_part,
                activity.tokens_granted,
            )
            for _, address, activity in found
        ),
    )


def _sum(counts: collections.abc.Iterable[Counts]) -> Counts:
    rows = [attrs.astuple(count) for count in counts]
    return Counts(*map(sum, zip(*rows, strict=True)))
