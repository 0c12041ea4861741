"""corianderport_daemon.process.entry_settings

Settings of an entry host that sends directly to searchers.
"""

import collections.abc

import attrs

from corianderport_tier.process import fleet_share
from corianderport_tier.process import host_bounds
from corianderport_tier.process import placement
from corianderport_tier.process import quota_bucket
from corianderport_tier.process import registry_relay
from corianderport_tier.process import send_order

__all__ = ['EntrySettings']


@attrs.frozen
class EntrySettings:
    """All settings; addresses have the form ``ip:port``.

    ``regions`` maps data centres to regions. ``grace_s`` is the time between
    the request to stop and the kill of the process. ``seeds`` are peer
    addresses of other hosts, which may be down. ``link_bytes_s`` is the
    capacity of this host's link in bytes per second. ``limits`` bounds what
    callers and tasks use of the host. ``revoke_s`` is the time within which a
    key that was taken away must stop working, in seconds; None if the age of
    what is known is not checked. ``first_start`` is True only when all hosts
    of the deployment start for the first time. ``quota`` bounds the requests
    of workspaces over all hosts; None if they are not limited.
    ``placement`` is one of ``placement.SETTINGS``, and ``send_order`` one of
    ``send_order.SETTINGS``.
    """

    host: str
    data_centre: str
    caller_address: str
    ready_address: str
    peer_address: str
    metrics_address: str | None
    store_address: str
    shared_keys: str = attrs.field(repr=False)
    seeds: tuple[str, ...]
    regions: collections.abc.Mapping[str, str]
    grace_s: float
    watch_s: float
    fleet: fleet_share.FleetBounds
    link_bytes_s: float = registry_relay.DEFAULT_LINK_BYTES_S
    first_start: bool = False
    limits: host_bounds.HostBounds = attrs.Factory(
        host_bounds.HostBounds.from_machine
    )
    placement: str = placement.AUTO
    send_order: str = send_order.AUTO
    log_level: str = 'INFO'
    revoke_s: float | None = None
    quota: quota_bucket.QuotaBounds | None = None
