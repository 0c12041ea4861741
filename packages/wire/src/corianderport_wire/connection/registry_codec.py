"""corianderport_wire.connection.registry_codec

Thrift structures of the registry changes that hosts forward to each other.
"""

import math
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.version import registrations
from corianderport_wire.connection import peer_codec

__all__ = [
    'CallTimer',
    'entries_from_thrift',
    'entries_to_thrift',
    'request_to_thrift',
]

_PEER = peer_codec.PEER


class CallTimer:
    """Translates the age of entries between the clocks of two hosts.

    Create one when a call is sent, or when it is received.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._begun_s = clock.boottime()

    def entries_to_thrift(
        self, stored: registrations.StoredEntries
    ) -> typing.Any:
        """Encode the entries of a reply and their age."""
        fields = entries_to_thrift(stored)
        if stored.as_of_s is not None:
            now_s = self._clock.boottime()
            fields.age_ms = (now_s - stored.as_of_s) * 1e3
            fields.held_ms = (now_s - self._begun_s) * 1e3
        return fields

    def entries_from_thrift(
        self, fields: typing.Any
    ) -> registrations.StoredEntries:
        """Decode the entries of a reply and when they were current.

        The peer received the call after it was sent, so that its entries
        were current at the sending plus ``held_ms`` less ``age_ms``, or
        later.

        :raises ConnectionBroken: an entry lacks its key or its revision.
        """
        return attrs.evolve(
            entries_from_thrift(fields), as_of_s=self._as_of_s(fields)
        )

    def _as_of_s(self, fields: typing.Any) -> float | None:
        if fields.age_ms is None or fields.held_ms is None:
            return None
        age_ms, held_ms = float(fields.age_ms), float(fields.held_ms)
        if not (0 <= age_ms < math.inf and 0 <= held_ms < math.inf):
            return None
        # The peer can't have held the call for longer than it took.
        taken_s = self._clock.boottime() - self._begun_s
        return self._begun_s + min(held_ms / 1e3, taken_s) - age_ms / 1e3


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
