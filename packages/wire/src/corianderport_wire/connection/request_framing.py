"""corianderport_wire.connection.request_framing

Refuses framing that h11 accepts and other parsers may read differently.

A request that two parsers divide differently can carry another request past
the first one.
"""

from corianderport_wire.connection import caller_messages

__all__ = ['check_head']

_BAD_REQUEST = 400
_VERSION_NOT_SUPPORTED = 505


def check_head(head: caller_messages.RequestHead, version: bytes) -> bool:
    """Check the framing of a request; return whether its body is chunked.

    :param version: of HTTP, such as ``1.1``.
    :raises RequestRejected: the framing is ambiguous, or the version is not
        supported.
    """
    if not version.startswith(b'1.'):
        raise caller_messages.RequestRejected(_VERSION_NOT_SUPPORTED)
    names = {name for name, _ in head.headers}
    if b'transfer-encoding' not in names:
        return False
    # HTTP/1.0 has no chunks: a recipient of that version reads no body.
    if b'content-length' in names or version == b'1.0':
        raise caller_messages.RequestRejected(_BAD_REQUEST)
    return True
