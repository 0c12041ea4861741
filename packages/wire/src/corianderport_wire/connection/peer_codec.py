"""corianderport_wire.connection.peer_codec

Thrift structures and frame size of the messages between hosts.
"""

import pathlib
import typing

import thriftpy2

__all__ = ['MAX_FRAME_BYTES', 'PEER']

_IDL = pathlib.Path(__file__).parent.parent / 'peer.thrift'

# Fits a configuration document of 1 MB, with room for growth.
MAX_FRAME_BYTES = 4_194_304

PEER: typing.Any = thriftpy2.load(str(_IDL), module_name='peer_thrift')
