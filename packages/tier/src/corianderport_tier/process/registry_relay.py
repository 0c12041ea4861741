"""corianderport_tier.process.registry_relay

Passes changes that this host has read from the store on to other hosts.
"""

import collections
import collections.abc
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import deadlines
from corianderport_tier.version import registrations

__all__ = ['FRESH_S', 'RegistryRelay']

# The store has to have answered this recently. A reader asks again after
# one second, and versions are due at other hosts within three.
FRESH_S = 1.5
_MOST_BATCHES = 256
# Each of them occupies a task of the listener for other hosts, which has 64.
_MOST_FOLLOWERS = 32


@attrs.frozen
class _Batch:
    """Changes that arrived in one answer."""

    entries: collections.abc.Sequence[registrations.StoredEntry]
    revision: registrations.Revision
    returned: bool


class RegistryRelay:
    """Keeps the most recent changes and serves those that wait for more."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._condition = threading.Condition()
        self._batches: collections.deque[_Batch] = collections.deque()
        # Changes up to this revision are not to be had any more.
        self._since: registrations.Revision | None = None
        self._revision: registrations.Revision = -1
        self._fresh_s = float('-inf')
        self._followers = 0

    def restart(self, revision: registrations.Revision) -> None:
        """Begin anew after all entries were read at a revision."""
        with self._condition:
            self._batches.clear()
            self._since = self._revision = revision
            self._note_fresh()

    def take(
        self,
        after: registrations.Revision,
        stored: registrations.StoredEntries,
    ) -> None:
        """Take the store's answer to a watch from a revision."""
        with self._condition:
            if self._since is None or after != self._revision:
                # Changes up to there came another way.
                self._batches.clear()
                self._since = after
            if stored.entries:
                self._batches.append(
                    _Batch(stored.entries, stored.revision, stored.returned)
                )
            if len(self._batches) > _MOST_BATCHES:
                self._since = self._batches.popleft().revision
            self._revision = max(after, stored.revision)
            self._note_fresh()

    def registry_changes(
        self, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        """Return the changes after a revision, once there are any.

        :param wait_s: how long to wait for a change, seconds.
        :raises HistoryGone: changes after the revision are missing.
        :raises NotReady: the store has not answered just now.
        :raises Overloaded: too many hosts wait for changes.
        """
        with self._condition:
            if self._followers >= _MOST_FOLLOWERS:
                raise errors.Overloaded('too many hosts wait for changes')
            self._followers += 1
            try:
                return self._await(after, wait_s)
            finally:
                self._followers -= 1

    def _await(
        self, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        until = deadlines.Deadline.after(self._clock, wait_s)
        while True:
            stale_s = self._fresh_s + FRESH_S - self._clock.monotonic()
            if self._since is None or stale_s <= 0:
                raise errors.NotReady('no answer of the store just now')
            if after < self._since:
                raise errors.HistoryGone(f'changes after {after}')
            left_s = until.remaining(self._clock)
            if self._revision > after or left_s <= 0:
                return self._after(after)
            self._clock.wait(self._condition, min(left_s, stale_s))

    def _after(
        self, after: registrations.Revision
    ) -> registrations.StoredEntries:
        batches = [b for b in self._batches if b.revision > after]
        return registrations.StoredEntries(
            [e for b in batches for e in b.entries if e.revision > after],
            max(after, self._revision),
            any(b.returned for b in batches),
        )

    def _note_fresh(self) -> None:
        self._fresh_s = self._clock.monotonic()
        self._condition.notify_all()
