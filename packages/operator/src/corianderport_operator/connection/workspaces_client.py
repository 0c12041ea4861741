"""corianderport_operator.connection.workspaces_client

Reads the activity of workspaces from the metrics addresses of hosts.
"""

import collections.abc
import concurrent.futures

import attrs

from corianderport_tier import errors
from corianderport_tier.process import workspace_activity
from corianderport_wire.connection import curl_client
from corianderport_wire.request import workspaces_codec

__all__ = ['NOT_SUPPORTED', 'TIMEOUT_S', 'HostReply', 'read_hosts']

# Time after which a host counts as not answering.
TIMEOUT_S = 2.0
NOT_SUPPORTED = 'not supported'
_MAX_WORKERS = 64


@attrs.frozen
class HostReply:
    """The activity at one host, or why it is missing."""

    address: str
    activity: workspace_activity.HostActivity | None
    problem: str = ''


def read_hosts(
    addresses: collections.abc.Sequence[str],
) -> tuple[HostReply, ...]:
    """Query all hosts in parallel; results are in the given order."""
    with concurrent.futures.ThreadPoolExecutor(_MAX_WORKERS) as executor:
        return tuple(executor.map(_read_host, addresses))


def _read_host(address: str) -> HostReply:
    client = curl_client.CurlClient(address, TIMEOUT_S)
    try:
        reply = client.get(workspaces_codec.PATH, TIMEOUT_S)
    except errors.TransportError as error:
        return HostReply(address, None, f'no answer: {error}')
    finally:
        client.close()
    activity = workspaces_codec.decode(reply.status, reply.body)
    if activity is None:
        return HostReply(address, None, NOT_SUPPORTED)
    return HostReply(address, activity)
