"""corianderport_tier.version.registrations

Entries of the platform's store: registrations of searchers and others.
"""

import collections.abc
import typing

import attrs

from corianderport_tier.version import routes

__all__ = [
    'Entry',
    'Lifetime',
    'Listing',
    'OutOfService',
    'Published',
    'Registration',
    'Revision',
    'StoredEntries',
    'StoredEntry',
    'Unreadable',
]

# Name and start time of a searcher: the key of one start of its process.
Lifetime = tuple[str, int]


@attrs.frozen
class Registration:
    """Registration of a running searcher.

    ``started_ms`` distinguishes successive starts under the same name; it
    is 0 if the searcher does not publish it.
    """

    searcher: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    warm_up_left_s: float
    started_ms: int = 0

    @property
    def instance(self) -> tuple[str, str, int]:
        """Key of one start of the searcher process at its address."""
        return (self.searcher, self.address, self.started_ms)

    @property
    def lifetime(self) -> Lifetime:
        """Key of one start of the searcher process, at any address."""
        return (self.searcher, self.started_ms)


@attrs.frozen
class OutOfService:
    """A data centre whose searchers must not be sent to."""

    data_centre: str


@attrs.frozen
class Unreadable:
    """A published value that cannot be decoded, and the reason."""

    reason: str


Published = routes.RoutingVersion | Registration | OutOfService | Unreadable

# Revision of the store; increases with each change of any entry.
Revision: typing.TypeAlias = int


@attrs.frozen
class Entry:
    """A key and its decoded value; None if the key was removed."""

    key: str
    revision: Revision
    value: Published | None


@attrs.frozen
class Listing:
    """Entries and the revision from which a watch continues."""

    entries: collections.abc.Sequence[Entry]
    revision: Revision


@attrs.frozen
class StoredEntry:
    """A key and its stored content; None if the key was removed."""

    key: str
    revision: Revision
    content: bytes | None

    @property
    def size_bytes(self) -> int:
        """Size of the key and the content."""
        return len(self.key) + len(self.content or b'')


@attrs.frozen
class StoredEntries:
    """Stored entries and the revision from which a watch continues.

    ``returned`` is True if the reader has just reconnected to the store
    after losing it.
    """

    entries: collections.abc.Sequence[StoredEntry]
    revision: Revision
    returned: bool = False

    @property
    def size_bytes(self) -> int:
        """Size of all keys and contents."""
        return sum(entry.size_bytes for entry in self.entries)
