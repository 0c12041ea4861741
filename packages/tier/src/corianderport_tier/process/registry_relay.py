"""corianderport_tier.process.registry_relay

Relays changes that this host has read from the store to other hosts.
"""

import collections
import collections.abc
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import registry_snapshot
from corianderport_tier.process import token_bucket
from corianderport_tier.request import deadlines
from corianderport_tier.version import registrations

__all__ = ['DEFAULT_LINK_BYTES_S', 'MAX_REPLY_AGE_S', 'RegistryRelay']

# Changes are relayed only if the store has replied within this time. A
# reader polls the store each second, and new versions must reach the other
# hosts within three seconds.
MAX_REPLY_AGE_S = 1.5
_MAX_BATCHES = 256
# A few of the largest values of the store. Followers that are further behind
# read the store.
_MAX_BUFFERED_BYTES = 4_194_304
# Each follower occupies one task of the listener for other hosts, which has
# 64.
_MAX_FOLLOWERS = 32
# Link of a host whose settings do not state one: 10 Mbit/s.
DEFAULT_LINK_BYTES_S = 1_250_000.0
# The rest of the link is left to callers and searchers.
_MAX_LINK_SHARE = 0.2
# Responses to callers wait behind a burst for at most this time.
_MAX_LINK_BURST_S = 0.1


@attrs.frozen
class _Batch:
    """Changes from one reply of the store."""

    entries: collections.abc.Sequence[registrations.StoredEntry]
    revision: registrations.Revision
    returned: bool
    size_bytes: int


class RegistryRelay:
    """Buffers recent changes and serves hosts that wait for new ones.

    Large changes are relayed to as many hosts as the link allows without
    delaying other traffic; the other hosts have to read them from the store.

    :param link_bytes_s: capacity of this host's link in bytes per second.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        link_bytes_s: float = DEFAULT_LINK_BYTES_S,
    ) -> None:
        self._clock = clock
        self.snapshot = registry_snapshot.RegistrySnapshot()
        self._link_budget = token_bucket.TokenBucket(
            clock,
            _MAX_LINK_SHARE * link_bytes_s,
            _MAX_LINK_BURST_S * link_bytes_s,
        )
        self._condition = threading.Condition()
        self._batches: collections.deque[_Batch] = collections.deque()
        self._buffered_bytes = 0
        # Changes up to this revision are no longer buffered.
        self._discarded_revision: registrations.Revision | None = None
        self._revision: registrations.Revision = -1
        self._last_reply_s = float('-inf')
        # When the buffered state of the store was certainly current.
        self._as_of_s: float | None = None
        self._followers = 0

    def reset(
        self, revision: registrations.Revision, as_of_s: float | None = None
    ) -> None:
        """Clear the buffer after all entries were read at a revision.

        :param as_of_s: when the entries were certainly current.
        """
        with self._condition:
            self._discard_all()
            self._discarded_revision = self._revision = revision
            self._on_store_reply(as_of_s)

    def add_reply(
        self,
        after: registrations.Revision,
        stored: registrations.StoredEntries,
    ) -> None:
        """Buffer the store's reply to a watch that began at a revision."""
        with self._condition:
            if self._discarded_revision is None or after != self._revision:
                # The changes in between came from another host.
                self._discard_all()
                self._discarded_revision = after
            if stored.entries:
                self._buffer(stored)
            self._revision = max(after, stored.revision)
            self._on_store_reply(stored.as_of_s)

    def registry_entries(self) -> registrations.StoredEntries:
        """Return all entries, for a host that the store does not answer.

        :raises NotReady: this host has not read them.
        :raises NotRelayed: they are too large for this host's link.
        """
        entries = self.snapshot.entries()
        self._spend_link(entries)
        return entries

    def registry_changes(
        self, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        """Return the changes after a revision; wait if there are none.

        :param wait_s: maximum time to wait for a change, in seconds.
        :raises HistoryGone: changes after the revision were discarded.
        :raises NotRelayed: the changes are too large for this host's link.
        :raises NotReady: the store has not replied recently.
        :raises Overloaded: too many hosts are waiting for changes.
        """
        with self._condition:
            if self._followers >= _MAX_FOLLOWERS:
                raise errors.Overloaded(
                    'too many hosts are waiting for changes'
                )
            self._followers += 1
            try:
                return self._wait_for_changes(after, wait_s)
            finally:
                self._followers -= 1

    def _wait_for_changes(
        self, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        until = deadlines.Deadline.after(self._clock, wait_s)
        while True:
            until_stale_s = (
                self._last_reply_s + MAX_REPLY_AGE_S - self._clock.boottime()
            )
            if self._discarded_revision is None or until_stale_s <= 0:
                raise errors.NotReady('no answer of the store just now')
            if after < self._discarded_revision:
                raise errors.HistoryGone(
                    f'changes after revision {after} are not buffered'
                )
            remaining_s = until.remaining(self._clock)
            if self._revision > after or remaining_s <= 0:
                return self._changes_after(after)
            self._clock.wait(self._condition, min(remaining_s, until_stale_s))

    def _changes_after(
        self, after: registrations.Revision
    ) -> registrations.StoredEntries:
        batches = [b for b in self._batches if b.revision > after]
        changes = registrations.StoredEntries(
            [e for b in batches for e in b.entries if e.revision > after],
            max(after, self._revision),
            any(b.returned for b in batches),
            self._as_of_s,
        )
        self._spend_link(changes)
        return changes

    def _spend_link(self, stored: registrations.StoredEntries) -> None:
        if not self._link_budget.try_spend(stored.size_bytes):
            raise errors.NotRelayed(
                f'{stored.size_bytes} bytes exceed the budget of the link'
            )

    def _buffer(self, stored: registrations.StoredEntries) -> None:
        size_bytes = stored.size_bytes
        self._batches.append(
            _Batch(
                stored.entries, stored.revision, stored.returned, size_bytes
            )
        )
        self._buffered_bytes += size_bytes
        while (
            len(self._batches) > _MAX_BATCHES
            or self._buffered_bytes > _MAX_BUFFERED_BYTES
        ):
            oldest = self._batches.popleft()
            self._buffered_bytes -= oldest.size_bytes
            self._discarded_revision = oldest.revision

    def _discard_all(self) -> None:
        self._batches.clear()
        self._buffered_bytes = 0

    def _on_store_reply(self, as_of_s: float | None) -> None:
        # A host that was suspended must not relay what it knew before.
        self._last_reply_s = self._clock.boottime()
        self._as_of_s = as_of_s
        self._condition.notify_all()
