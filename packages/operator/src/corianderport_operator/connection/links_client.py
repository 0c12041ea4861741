"""corianderport_operator.connection.links_client

Reads the bytes that hosts exchange from their metrics addresses.
"""

import collections.abc

from corianderport_operator.connection import reports_client
from corianderport_tier.process import link_report
from corianderport_wire.request import report_codec

__all__ = ['TIMEOUT_S', 'HostReply', 'read_hosts']

# Time after which a host counts as not answering.
TIMEOUT_S = 2.0

HostReply = reports_client.HostReply[link_report.HostLinks]


def read_hosts(
    addresses: collections.abc.Sequence[str],
) -> tuple[HostReply, ...]:
    """Query all hosts in parallel; results are in the given order."""
    return reports_client.read_hosts(addresses, report_codec.LINKS, TIMEOUT_S)
