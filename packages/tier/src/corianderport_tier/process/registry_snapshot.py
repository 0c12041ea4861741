"""corianderport_tier.process.registry_snapshot

All entries of the store as this host knows them, for hosts that know none.
"""

import threading

from corianderport_tier import errors
from corianderport_tier.version import registrations

__all__ = ['RegistrySnapshot']

# Fits one message between hosts. Hosts of larger fleets read the store only.
_MAX_BYTES = 2_097_152


class RegistrySnapshot:
    """Entries with their content, from the store or from another host."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._entries: dict[str, registrations.StoredEntry] = {}
        self._revision: registrations.Revision | None = None
        self._as_of_s: float | None = None
        self._size_bytes = 0
        self._too_large = False

    @property
    def known(self) -> bool:
        """Whether all entries have been read once."""
        return self._revision is not None

    def replace(self, stored: registrations.StoredEntries) -> None:
        """Replace all entries."""
        with self._lock:
            self._entries.clear()
            self._size_bytes = 0
            self._too_large = False
            self._revision = stored.revision
            self._as_of_s = stored.as_of_s
            self._add(stored)

    def apply(self, changes: registrations.StoredEntries) -> None:
        """Apply changes to entries that were read before."""
        with self._lock:
            if self._revision is None:
                return
            self._revision = max(self._revision, changes.revision)
            if changes.as_of_s is not None:
                # Changes that say nothing of their age make none older.
                self._as_of_s = max(
                    changes.as_of_s,
                    changes.as_of_s
                    if self._as_of_s is None
                    else self._as_of_s,
                )
            self._add(changes)

    def entries(self) -> registrations.StoredEntries:
        """Return all entries.

        :raises NotReady: none have been read.
        :raises NotRelayed: they are too large for a message.
        """
        with self._lock:
            if self._revision is None:
                raise errors.NotReady('no entries of the store are known')
            if self._too_large:
                raise errors.NotRelayed('the entries are too large')
            return registrations.StoredEntries(
                list(self._entries.values()),
                self._revision,
                as_of_s=self._as_of_s,
            )

    def _add(self, changes: registrations.StoredEntries) -> None:
        if self._too_large:
            return
        for entry in changes.entries:
            previous = self._entries.pop(entry.key, None)
            if previous is not None:
                self._size_bytes -= previous.size_bytes
            if entry.content is not None:
                self._entries[entry.key] = entry
                self._size_bytes += entry.size_bytes
        if self._size_bytes > _MAX_BYTES:
            self._too_large = True
            self._entries.clear()
