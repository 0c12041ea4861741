"""corianderport_operator.process.workspaces_command

The command that shows what becomes of the requests of each workspace.
"""

import collections.abc
import sys

from corianderport_operator.connection import workspaces_client
from corianderport_operator.process import output
from corianderport_operator.process import sources
from corianderport_operator.process import workspace_totals
from corianderport_tier.process import workspace_activity

__all__ = ['workspaces']

_EXIT_PARTIAL = 1
_ALL = 'all'
_ALL_PARTIAL = 'all (partial)'
_NO_WORKSPACE = '(no workspace)'


def workspaces(host: str = '127.0.0.1:9464', json: bool = False) -> None:
    """Show the requests of each workspace at running hosts.

    The requests are those of the last quota_window_s seconds. Exit codes: 0
    all given hosts answered, 1 the sum is partial, 2 usage error.

    Example: corianderport workspaces --host 10.1.0.1:9464
    --host 10.1.0.2:9464

    Args:
        host: metrics address of a host; may be repeated.
        json: print JSON instead of tables.
    """
    addresses = sources.parse_repeated_addresses('host', host)
    activity = workspace_totals.FleetActivity.from_replies(
        workspaces_client.read_hosts(addresses)
    )
    if json:
        output.print_json(activity)
    else:
        _print(activity)
    if activity.partial:
        sys.exit(_EXIT_PARTIAL)


def _print(activity: workspace_totals.FleetActivity) -> None:
    output.print_table(
        ('address', 'host', 'version', 'store age s', 'window s', 'state'),
        [
            (
                host.address,
                host.host,
                '' if host.version is None else host.version,
                '' if host.store_age_s is None else f'{host.store_age_s:.1f}',
                f'{host.window_s:.1f}' if host.host else '',
                host.problem or 'answered',
            )
            for host in activity.hosts
        ],
    )
    print()
    all_hosts = _ALL_PARTIAL if activity.partial else _ALL
    output.print_table(
        (
            'workspace', 'priority', 'rate/s', 'burst', 'host', 'admitted',
            'not run', '429', '503 owners', '503 share', '401', '503 keys',
            'part', 'granted',
        ),
        [
            *(
                row
                for workspace in activity.workspaces
                for row in _rows(workspace, all_hosts)
            ),
            *(
                (
                    _NO_WORKSPACE, '', '', '', host.address,
                    *_counts(host.other), '', '',
                )
                for host in activity.hosts
                if not host.problem
            ),
        ],
    )  # fmt: skip


def _rows(
    workspace: workspace_totals.WorkspaceTotal, all_hosts: str
) -> collections.abc.Iterator[tuple[object, ...]]:
    limit = (
        (f'{workspace.rate_per_s:g}', f'{workspace.burst:g}')
        if workspace.rate_per_s
        else ('no limit', '')
    )
    yield (
        workspace.name,
        workspace.priority,
        *limit,
        all_hosts,
        *_counts(workspace.requests),
        f'{workspace.quota_part:.2f}',
        workspace.tokens_granted,
    )
    for host in workspace.hosts:
        yield (
            *('',) * 4,
            host.address,
            *_counts(host.requests),
            f'{host.quota_part:.2f}',
            host.tokens_granted,
        )


def _counts(counts: workspace_activity.RequestCounts) -> tuple[int, ...]:
    return (
        counts.admitted,
        counts.given_back,
        counts.over_quota,
        counts.no_owner,
        counts.over_share,
        counts.key_refused,
        counts.key_unconfirmed,
    )
