"""corianderport_tier.version.registrations

What searchers say of themselves, as the platform publishes it.
"""

import collections.abc
import typing

import attrs

from corianderport_tier.version import routes

__all__ = [
    'Entry',
    'Listing',
    'OutOfService',
    'Published',
    'Registration',
    'Revision',
    'StoredEntries',
    'StoredEntry',
    'Unreadable',
]


@attrs.frozen
class Registration:
    """One running searcher.

    ``started_ms`` differs between two starts under the same name; it is
    0 when the searcher does not publish it.
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
        """Key of one start of the searcher process."""
        return (self.searcher, self.address, self.started_ms)


@attrs.frozen
class OutOfService:
    """A data centre whose searchers may get nothing."""

    data_centre: str


@attrs.frozen
class Unreadable:
    """A published value that cannot be used, with the reason."""

    reason: str


Published = routes.RoutingVersion | Registration | OutOfService | Unreadable

# Revisions grow with each change of anything that is published.
Revision: typing.TypeAlias = int


@attrs.frozen
class Entry:
    """A key with its value, or None where the key was removed."""

    key: str
    revision: Revision
    value: Published | None


@attrs.frozen
class Listing:
    """Entries, and the revision from which a watch continues."""

    entries: collections.abc.Sequence[Entry]
    revision: Revision


@attrs.frozen
class StoredEntry:
    """A key with its content as stored, None where it was removed."""

    key: str
    revision: Revision
    content: bytes | None


@attrs.frozen
class StoredEntries:
    """Entries as stored, and the revision from which a watch continues.

    ``returned`` says that whoever read them had lost the store before.
    """

    entries: collections.abc.Sequence[StoredEntry]
    revision: Revision
    returned: bool = False
