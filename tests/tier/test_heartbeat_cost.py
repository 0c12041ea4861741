"""Sizes of heartbeats on which the measured cost is based."""

import hypothesis
from hypothesis import strategies
import thriftpy2.protocol
import thriftpy2.thrift
import thriftpy2.transport

from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_wire.connection import heartbeat_codec
from corianderport_wire.connection import peer_codec

from . import heartbeat_cost

_NAMES = strategies.text('abc-1', min_size=1, max_size=9)
_NUMBERS = strategies.integers(0, 2**40)
_RUMOURS = strategies.builds(
    membership.Rumour,
    strategies.builds(
        membership.Member,
        _NAMES,
        _NAMES,
        _NAMES,
        strategies.sampled_from(membership.MemberState),
        _NAMES,
    ),
    strategies.sampled_from(membership.Standing),
    _NUMBERS,
)


@hypothesis.given(
    strategies.builds(
        heartbeats.Heartbeat,
        _RUMOURS,
        _NUMBERS,
        strategies.lists(_RUMOURS, max_size=4).map(tuple),
        strategies.booleans(),
        strategies.none() | _NUMBERS,
        strategies.none() | _NUMBERS,
    )
)
def test_size_is_that_of_the_encoded_message(
    message: heartbeats.Heartbeat,
) -> None:
    """Guards against a measured cost that the encoding does not have."""
    buffer = thriftpy2.transport.TMemoryBuffer()
    framed = thriftpy2.transport.TFramedTransport(buffer)
    protocol = thriftpy2.protocol.TBinaryProtocol(framed)
    client = thriftpy2.thrift.TClient(peer_codec.PEER.Peer, protocol)
    fields = heartbeat_codec.heartbeat_to_thrift(message)
    client._send('heartbeat', message=fields)
    assert heartbeat_cost.message_bytes(message) == len(buffer.getvalue())
