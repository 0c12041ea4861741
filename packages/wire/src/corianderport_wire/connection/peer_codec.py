"""corianderport_wire.connection.peer_codec

The thrift structures of the messages between hosts.
"""

import pathlib
import typing

import thriftpy2

__all__ = ['FRAME_BYTES', 'PEER']

_IDL = pathlib.Path(__file__).parent.parent / 'peer.thrift'

# A document of 1 MB, with room for later versions.
FRAME_BYTES = 4_194_304

PEER: typing.Any = thriftpy2.load(str(_IDL), module_name='peer_thrift')
