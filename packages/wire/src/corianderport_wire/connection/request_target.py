"""corianderport_wire.connection.request_target

Turns the targets of requests into the form that servers get.
"""

import re

import attrs

from corianderport_wire.connection import caller_messages

__all__ = ['resolved']

_BAD_REQUEST = 400
_NOT_IMPLEMENTED = 501
_HOST = b'host'
_ORIGIN = re.compile(rb'/[^#]*')
# An authority with user information is refused, as RFC 9110 advises.
_ABSOLUTE = re.compile(
    rb'(?i:https?)://(?P<host>[^/?#@]+)(?P<path>/[^?#]*)?(?P<query>\?[^#]*)?'
)


def resolved(
    head: caller_messages.RequestHead,
) -> caller_messages.RequestHead:
    """Return the head with a target that begins with its path.

    The host of an absolute target replaces the Host field.

    :raises RequestRejected: the target is malformed, or asks for a tunnel.
    """
    if head.method == b'CONNECT':
        raise caller_messages.RequestRejected(_NOT_IMPLEMENTED)
    if _ORIGIN.fullmatch(head.target):
        return head
    if head.target == b'*' and head.method == b'OPTIONS':
        return head
    match = _ABSOLUTE.fullmatch(head.target)
    if match is None:
        raise caller_messages.RequestRejected(_BAD_REQUEST)
    others = tuple(field for field in head.headers if field[0] != _HOST)
    return attrs.evolve(
        head,
        target=(match['path'] or b'/') + (match['query'] or b''),
        headers=((_HOST, match['host']), *others),
    )
