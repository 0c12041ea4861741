"""corianderport_tier.process.registry_reader

Keeps the directory in sync with the platform's store.

A single task reads all entries and then watches for changes, so that routing
and searchers are applied in the order in which they were written.
"""

import collections.abc
import logging
import random

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import directory
from corianderport_tier.process import periodic_task
from corianderport_tier.process import store_freshness
from corianderport_tier.version import registrations

__all__ = ['Decode', 'ReaderTimes', 'RegistryReader']

_LOG = logging.getLogger(__name__)

# Parses the content of a key; must not raise.
Decode = collections.abc.Callable[[str, bytes], registrations.Published]


@attrs.frozen
class ReaderTimes:
    """Timing of one reader, in seconds.

    A watch on a half-open connection is detected after ``watch_s`` plus its
    timeout, which must be well below the time limit for changes to take
    effect.
    """

    watch_s: float = 4.0
    # The first watch after a failure returns immediately: a long watch on a
    # connection to an unresponsive store would delay noticing its recovery.
    watch_after_failure_s: float = 0.0
    # Changes within this time are fetched in one call, to limit the number
    # of calls.
    coalesce_s: float = 0.4
    first_retry_s: float = 0.1
    longest_retry_s: float = 0.5


class RegistryReader(periodic_task.PeriodicTask):
    """Periodic task that reads the entries under a prefix.

    :param freshness: receives the age of what has been applied, and limits
        the length of a watch.
    """

    def __init__(
        self,
        prefix: str,
        registry: transports.Registry,
        decode: Decode,
        registry_directory: directory.Directory,
        clock: clocks.Clock,
        times: ReaderTimes,
        rng: random.Random,
        freshness: store_freshness.StoreFreshness | None = None,
    ) -> None:
        super().__init__(clock)
        self._prefix = prefix
        self._freshness = freshness
        self._registry = registry
        self._decode = decode
        self._directory = registry_directory
        self._times = times
        self._rng = rng
        self._revision: registrations.Revision | None = None
        self._failures = 0

    def set_watch_s(self, watch_s: float) -> None:
        """Set the length of the watches that begin from now on."""
        self._times = attrs.evolve(self._times, watch_s=watch_s)

    def step(self) -> float:
        """Read or watch once, then wait if there was a change or failure."""
        try:
            if self._revision is None:
                self._read()
            else:
                self._watch(self._revision)
        except errors.HistoryGone:
            _LOG.info(
                'the store no longer has the history; reading all entries'
            )
            self._revision = None
        except (errors.ReplyIncomplete, errors.ReplyTooLarge) as error:
            # The changes include every version that was missed, so that the
            # next reply would be larger still; the entries do not grow.
            self._revision = None
            self._on_failure(error)
        except errors.CorianderportError as error:
            self._on_failure(error)
        return 0.0

    def _read(self) -> None:
        stored = self._registry.read(self._prefix)
        self._on_success()
        listing = registrations.Listing(
            self._decode_entries(stored.entries), stored.revision
        )
        self._directory.replace(self._prefix, listing, stored.returned)
        self._record_age(stored)
        self._revision = listing.revision

    def _watch(self, after: registrations.Revision) -> None:
        times = self._times
        wait_s = (
            times.watch_after_failure_s if self._failures else times.watch_s
        )
        if self._freshness is not None:
            wait_s = min(wait_s, self._freshness.longest_watch_s)
        changes = self._registry.watch(self._prefix, after, wait_s)
        self._on_success()
        if changes.entries:
            self._directory.apply(
                self._decode_entries(changes.entries), changes.returned
            )
        self._record_age(changes)
        if changes.entries:
            self._wait(self._times.coalesce_s)
        self._revision = max(after, changes.revision)

    def _record_age(self, stored: registrations.StoredEntries) -> None:
        """Record the age of entries that the directory has applied."""
        if self._freshness is not None:
            self._freshness.record(stored.as_of_s)

    def _decode_entries(
        self, entries: collections.abc.Iterable[registrations.StoredEntry]
    ) -> list[registrations.Entry]:
        return [
            registrations.Entry(
                e.key,
                e.revision,
                None if e.content is None else self._decode(e.key, e.content),
            )
            for e in entries
        ]

    def _on_success(self) -> None:
        if self._failures:
            _LOG.info(
                'platform regained after %d failed calls', self._failures
            )
        self._failures = 0

    def _on_failure(self, error: errors.CorianderportError) -> None:
        if self._failures == 0:
            _LOG.warning('platform lost: %s', error)
        self._failures += 1
        longest_s = min(
            self._times.longest_retry_s,
            self._times.first_retry_s * 2.0 ** min(self._failures - 1, 10),
        )
        self._wait(longest_s * self._rng.uniform(0.7, 1.0))
