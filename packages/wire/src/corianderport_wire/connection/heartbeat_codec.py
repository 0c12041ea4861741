"""corianderport_wire.connection.heartbeat_codec

Thrift structures of heartbeats.
"""

import math
import typing

from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_wire.connection import peer_codec

__all__ = [
    'heartbeat_from_thrift',
    'heartbeat_to_thrift',
    'rumour_from_thrift',
    'rumour_to_thrift',
]

_PEER = peer_codec.PEER
_LEAVING = membership.MemberState.LEAVING


def heartbeat_to_thrift(message: heartbeats.Heartbeat) -> typing.Any:
    """Encode a heartbeat; empty optional fields are omitted."""
    return _PEER.Heartbeat(
        sender=rumour_to_thrift(message.sender),
        version=message.version,
        rumours=[rumour_to_thrift(r) for r in message.rumours] or None,
        joining=message.joining or None,
        known_change=message.known_change,
        last_change=message.last_change,
    )


def heartbeat_from_thrift(fields: typing.Any) -> heartbeats.Heartbeat:
    """Decode a heartbeat."""
    return heartbeats.Heartbeat(
        sender=rumour_from_thrift(fields.sender),
        version=fields.version,
        rumours=tuple(rumour_from_thrift(r) for r in fields.rumours or ()),
        joining=bool(fields.joining),
        known_change=fields.known_change,
        last_change=fields.last_change,
    )


def _capacity(value: float | None) -> float:
    """Return the capacity of a link, 0 if it is unknown or no capacity."""
    if value is None or not math.isfinite(value):
        return 0.0
    return max(0.0, value)


def rumour_to_thrift(rumour: membership.Rumour) -> typing.Any:
    """Encode what a heartbeat says about one host."""
    return _PEER.MemberRumour(
        name=rumour.member.name,
        data_centre=rumour.member.data_centre,
        peer_address=rumour.member.peer_address,
        state=rumour.member.state.value,
        incarnation=rumour.member.incarnation,
        standing=int(rumour.standing),
        refutation=rumour.refutation,
        link_bytes_s=rumour.member.link_bytes_s or None,
    )


def rumour_from_thrift(fields: typing.Any) -> membership.Rumour:
    """Decode what a heartbeat says about one host."""
    leaving = fields.state == _LEAVING.value
    # A later version may send values that this version does not know; they
    # are clamped to the known range.
    standing = min(max(fields.standing, 0), int(membership.Standing.GONE))
    return membership.Rumour(
        member=membership.Member(
            name=fields.name,
            data_centre=fields.data_centre,
            peer_address=fields.peer_address,
            state=_LEAVING if leaving else membership.MemberState.LIVE,
            incarnation=fields.incarnation,
            link_bytes_s=_capacity(fields.link_bytes_s),
        ),
        standing=membership.Standing(standing),
        refutation=fields.refutation,
    )
