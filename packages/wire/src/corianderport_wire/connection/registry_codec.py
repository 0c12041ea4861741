"""corianderport_wire.connection.registry_codec

Thrift structures of the registry changes that hosts forward to each other.
"""

import typing

from corianderport_tier import errors
from corianderport_tier.version import registrations
from corianderport_wire.connection import peer_codec

__all__ = ['entries_from_thrift', 'entries_to_thrift', 'request_to_thrift']

_PEER = peer_codec.PEER


def request_to_thrift(
    after: registrations.Revision, wait_s: float
) -> typing.Any:
    """Encode a request for changes after a revision."""
    return _PEER.NewsRequest(after=after, wait_ms=wait_s * 1e3)


def entries_to_thrift(stored: registrations.StoredEntries) -> typing.Any:
    """Encode registry entries."""
    return _PEER.StoredEntries(
        entries=[
            _PEER.StoredEntry(
                key=e.key, revision=e.revision, content=e.content
            )
            for e in stored.entries
        ],
        revision=stored.revision,
        returned=stored.returned or None,
    )


def entries_from_thrift(fields: typing.Any) -> registrations.StoredEntries:
    """Decode registry entries.

    :raises ConnectionBroken: an entry lacks its key or its revision.
    """
    for entry in fields.entries or ():
        if entry.key is None or entry.revision is None:
            raise errors.ConnectionBroken('incomplete registry entry')
    return registrations.StoredEntries(
        [
            registrations.StoredEntry(e.key, e.revision, e.content)
            for e in fields.entries or ()
        ],
        fields.revision,
        bool(fields.returned),
    )
