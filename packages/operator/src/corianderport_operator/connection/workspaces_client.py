"""corianderport_operator.connection.workspaces_client

Reads the activity of workspaces from the metrics addresses of hosts.
"""

import collections.abc

from corianderport_operator.connection import reports_client
from corianderport_tier.process import workspace_activity
from corianderport_wire.request import report_codec

__all__ = ['TIMEOUT_S', 'HostReply', 'read_hosts']

# Time after which a host counts as not answering.
TIMEOUT_S = 2.0

HostReply = reports_client.HostReply[workspace_activity.HostActivity]


def read_hosts(
    addresses: collections.abc.Sequence[str],
) -> tuple[HostReply, ...]:
    """Query all hosts in parallel; results are in the given order."""
    return reports_client.read_hosts(
        addresses, report_codec.WORKSPACES, TIMEOUT_S
    )
