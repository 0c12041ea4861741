"""corianderport_tier.version.registrations

Entries of the platform's store: registrations of searchers and others.
"""

import collections.abc
import re
import typing

import attrs

from corianderport_tier.version import addresses
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

# Names are sent in headers and written to logs and metrics.
_SEARCHER_NAME = re.compile('[!-~]{1,200}')
_MAX_NAME_LENGTH = 200
_MAX_SLOTS = 1_000_000
_MAX_WARM_UP_S = 86_400.0
# The last millisecond of the year 9999.
_MAX_STARTED_MS = 253_402_300_799_999


def _check_searcher(
    instance: object, attribute: 'attrs.Attribute[str]', value: str
) -> None:
    if not _SEARCHER_NAME.fullmatch(value):
        raise ValueError(f'invalid searcher name {value!r:.80}')


def _check_name(
    instance: object, attribute: 'attrs.Attribute[str]', value: str
) -> None:
    if not value.isprintable() or not 0 < len(value) <= _MAX_NAME_LENGTH:
        raise ValueError(f'invalid {attribute.name} {value!r:.80}')


def _check_address(
    instance: object, attribute: 'attrs.Attribute[str]', value: str
) -> None:
    if not addresses.is_address(value):
        raise ValueError(f'invalid address {value!r:.80}')


def _in_range(
    low: float, high: float
) -> collections.abc.Callable[
    [object, 'attrs.Attribute[typing.Any]', float], None
]:
    def check(
        instance: object,
        attribute: 'attrs.Attribute[typing.Any]',
        value: float,
    ) -> None:
        if not low <= value <= high:
            raise ValueError(f'{attribute.name} {value!r:.80} is out of range')

    return check


@attrs.frozen
class Registration:
    """Registration of a running searcher.

    ``started_ms`` distinguishes successive starts under the same name; it
    is 0 if the searcher does not publish it.

    :raises ValueError: a value is out of its range, as in an entry of
        another program.
    """

    searcher: str = attrs.field(validator=_check_searcher)
    service: str = attrs.field(validator=_check_name)
    address: str = attrs.field(validator=_check_address)
    data_centre: str = attrs.field(validator=_check_name)
    slots: int = attrs.field(validator=_in_range(1, _MAX_SLOTS))
    draining: bool
    warm_up_left_s: float = attrs.field(validator=_in_range(0, _MAX_WARM_UP_S))
    started_ms: int = attrs.field(
        default=0, validator=_in_range(0, _MAX_STARTED_MS)
    )

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
    # May hold keys of workspaces.
    content: bytes | None = attrs.field(repr=False)

    @property
    def size_bytes(self) -> int:
        """Size of the key and the content."""
        return len(self.key) + len(self.content or b'')


@attrs.frozen
class StoredEntries:
    """Stored entries and the revision from which a watch continues.

    ``returned`` is True in the first reply of the store after an outage, not
    after the loss of a connection to it. ``as_of_s`` is a time of this host's
    ``Clock.boottime`` at which no later changes existed; None if unknown.
    """

    entries: collections.abc.Sequence[StoredEntry]
    revision: Revision
    returned: bool = False
    as_of_s: float | None = None

    @property
    def size_bytes(self) -> int:
        """Size of all keys and contents."""
        return sum(entry.size_bytes for entry in self.entries)
