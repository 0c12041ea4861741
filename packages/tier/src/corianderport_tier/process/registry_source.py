"""corianderport_tier.process.registry_source

Reads changes from the store, directly or through another host.

In each data centre a few hosts (readers) watch the store, and the others
(followers) watch one of them, so that the load on the store grows slowly with
the fleet. A follower whose reader fails or is out of date reads the store
itself immediately, and so does one whose reader refuses to relay a large
change.
"""

import collections.abc
import logging
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import membership
from corianderport_tier.process import registry_relay
from corianderport_tier.process import rendezvous
from corianderport_tier.process import store_contact
from corianderport_tier.process import store_freshness
from corianderport_tier.version import registrations

__all__ = ['RegistryPeer', 'RegistrySource', 'SourceTimes', 'reader_for']

_LOG = logging.getLogger(__name__)

# Hosts per reader in a data centre. With fewer than _MIN_HOSTS hosts, each
# reads the store: a reader with followers must call it twice as often, so
# that relaying would save no calls.
_HOSTS_PER_READER = 24
_MIN_HOSTS = 6
# Hosts that are asked while the store does not answer. Some of them may not
# reach it either.
_SUBSTITUTES = 3
# Name of the store in log lines that name the host otherwise.
_STORE = 'the store'


@attrs.frozen
class SourceTimes:
    """Timing of readers and followers, in seconds."""

    # Duration of a reader's watch; followers consider the reader failed soon
    # after it.
    reader_watch_s: float = 1.0
    follower_wait_s: float = 1.0
    # Timeout of a call to the reader, after which it counts as failed. It can
    # be short, as such calls stay within the network of the hosts, like
    # heartbeats.
    follower_timeout_s: float = 1.4
    # Time during which a failed reader is not called again.
    reader_backoff_s: float = 5.0
    # The same for a reader that answers but has no recent reply of the store.
    reader_recovery_s: float = 1.0
    # Duration and timeout of calls to substitutes, the hosts that are asked
    # while the store does not answer. The store is called again after each.
    substitute_wait_s: float = 0.5
    substitute_timeout_s: float = 0.8
    # Time during which no hosts are asked after none could help.
    substitute_backoff_s: float = 1.0


class RegistryPeer(typing.Protocol):
    """Client that asks other hosts for changes; used by one task."""

    def registry_changes(
        self,
        member: membership.Member,
        after: registrations.Revision,
        wait_s: float,
        timeout_s: float,
    ) -> registrations.StoredEntries:
        """Wait for changes relayed by another host."""

    def registry_entries(
        self, member: membership.Member, timeout_s: float
    ) -> registrations.StoredEntries:
        """Return all entries that another host knows."""


class RegistrySource:
    """Implements ``transports.Registry`` for this host's reader task.

    :param store: direct connection to the store.
    :param relay: buffers the changes that this host reads from the store.
    :param current_view: returns the membership view.
    :param freshness: how old relayed changes may be; None for any age.
    """

    def __init__(
        self,
        store: transports.Registry,
        relay: registry_relay.RegistryRelay,
        peer: RegistryPeer,
        own_host: membership.Member,
        current_view: collections.abc.Callable[[], membership.View],
        clock: clocks.Clock,
        times: SourceTimes | None = None,
        freshness: store_freshness.StoreFreshness | None = None,
    ) -> None:
        self._store = store
        self._relay = relay
        self._peer = peer
        self._own_host = own_host
        self._current_view = current_view
        self._clock = clock
        self._times = SourceTimes() if times is None else times
        self._freshness = freshness
        self._reader_retry_at_s = float('-inf')
        self._substitutes_retry_at_s = float('-inf')
        self._last_substitute = ''
        self._last_reader = ''
        self._contact = store_contact.StoreContact()

    def read(self, prefix: str) -> registrations.StoredEntries:
        """Read all entries under a prefix directly from the store.

        A host that knows no entries takes those of another host while the
        store does not answer.
        """
        called_s = self._clock.boottime()
        try:
            stored = self._store.read(prefix)
        except errors.CorianderportError as error:
            failed_before = self._record_failure(error)
            if self._relay.snapshot.known or not failed_before:
                raise
            stored = self._read_from_hosts(error)
        else:
            stored = self._record_reply(stored, called_s)
            self._relay.reset(stored.revision, stored.as_of_s)
            _log_changes(_STORE, stored)
        self._relay.snapshot.replace(stored)
        return stored

    def watch(
        self, prefix: str, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        """Wait for changes from the assigned reader or from the store."""
        changes = self._watch(prefix, after, wait_s)
        self._relay.snapshot.apply(changes)
        return changes

    def _watch(
        self, prefix: str, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        reader = reader_for(self._own_host, self._current_view())
        self._log_reader_change(reader)
        if reader is None:
            return self._watch_store(prefix, after, wait_s)
        if reader.name == self._own_host.name:
            wait_s = min(wait_s, self._times.reader_watch_s)
        elif self._clock.monotonic() >= self._reader_retry_at_s:
            try:
                stored = self._peer.registry_changes(
                    reader,
                    after,
                    self._follower_wait_s(),
                    self._times.follower_timeout_s,
                )
                if self._suffices(stored):
                    _log_changes(reader.name, stored)
                    return stored
                raise errors.NotReady('its knowledge is too old')
            except errors.NotRelayed as error:
                _LOG.info(
                    'reading once from the store, not %s: %s',
                    reader.name,
                    error,
                )
                # The store has the changes, so that the watch does not wait.
                wait_s = min(wait_s, self._times.reader_watch_s)
            except errors.CorianderportError as error:
                _LOG.info('reading the store, not %s: %s', reader.name, error)
                self._reader_retry_at_s = (
                    self._clock.monotonic() + self._backoff_s(error)
                )
                # Fetch changes that the reader has missed without waiting.
                wait_s = 0.0
        return self._watch_store(prefix, after, wait_s)

    def _backoff_s(self, error: errors.CorianderportError) -> float:
        """Return for how long a reader that failed is not asked."""
        if isinstance(error, errors.NotReady):
            # The call took no longer than a round trip between hosts.
            return self._times.reader_recovery_s
        return self._times.reader_backoff_s

    def _watch_store(
        self, prefix: str, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        called_s = self._clock.boottime()
        try:
            stored = self._store.watch(prefix, after, wait_s)
        except errors.HistoryGone:
            raise
        except errors.CorianderportError as error:
            failed_before = self._record_failure(error)
            # A single failure may concern only the connection; calling the
            # store again takes less time than asking hosts in vain.
            if not failed_before:
                raise
            return self._changes_from_hosts(after, error)
        stored = self._record_reply(stored, called_s)
        self._relay.add_reply(after, stored)
        _log_changes(_STORE, stored)
        return stored

    def _record_failure(self, error: errors.CorianderportError) -> bool:
        """Record a failed call; return whether the last one failed too."""
        failed_before = self._contact.interruption is not None
        self._contact.record_failure(error)
        return failed_before

    def _record_reply(
        self, stored: registrations.StoredEntries, called_s: float
    ) -> registrations.StoredEntries:
        """Record a reply; return it with its age and the end of an outage.

        The reply shows the state at some time after the call was sent. That
        a watch ends without a change proves nothing more: the store may hold
        back changes while it drops history.

        :param called_s: when the call, or that for the first page, was sent.
        """
        self._last_substitute = ''
        return attrs.evolve(
            stored, returned=self._contact.record_reply(), as_of_s=called_s
        )

    def _follower_wait_s(self) -> float:
        if self._freshness is None:
            return self._times.follower_wait_s
        return min(
            self._times.follower_wait_s, self._freshness.longest_watch_s
        )

    def _suffices(self, stored: registrations.StoredEntries) -> bool:
        """Whether a reader's reply is recent enough to rely on the reader."""
        return self._freshness is None or self._freshness.relay_suffices(
            stored.as_of_s
        )

    def _read_from_hosts(
        self, store_error: errors.CorianderportError
    ) -> registrations.StoredEntries:
        """Return the newest entries that some other hosts know.

        Of equal entries, those that were certainly current last are taken.

        :raises CorianderportError: the error of the store; no host has any.
        """
        newest: registrations.StoredEntries | None = None
        for member in self._substitutes():
            try:
                stored = self._peer.registry_entries(
                    member, self._times.substitute_timeout_s
                )
            except errors.CorianderportError as error:
                _LOG.info('no entries from %s: %s', member.name, error)
                continue
            self._log_substitute(member, store_error)
            _log_changes(member.name, stored)
            if newest is None or _recency(stored) > _recency(newest):
                newest = stored
        if newest is None:
            raise store_error
        return newest

    def _changes_from_hosts(
        self,
        after: registrations.Revision,
        store_error: errors.CorianderportError,
    ) -> registrations.StoredEntries:
        """Return changes that another host has read.

        :raises CorianderportError: the error of the store; no host has read
            it recently.
        """
        members = self._substitutes()
        for member in members:
            try:
                changes = self._peer.registry_changes(
                    member,
                    after,
                    self._times.substitute_wait_s,
                    self._times.substitute_timeout_s,
                )
            except errors.CorianderportError as error:
                _LOG.debug('no changes from %s: %s', member.name, error)
                continue
            self._log_substitute(member, store_error)
            _log_changes(member.name, changes)
            return changes
        if members:
            self._substitutes_retry_at_s = (
                self._clock.monotonic() + self._times.substitute_backoff_s
            )
        raise store_error

    def _substitutes(self) -> list[membership.Member]:
        """Return hosts that may reach the store, nearest first."""
        if self._clock.monotonic() < self._substitutes_retry_at_s:
            return []
        view = self._current_view()
        alive = [
            m
            for m in view.live
            if m.name != self._own_host.name
            and view.standings[m.name] is membership.Standing.ALIVE
        ]
        ranked = rendezvous.rank(self._own_host.name, alive)
        centre = self._own_host.data_centre
        ranked.sort(key=lambda m: m.data_centre != centre)
        return ranked[:_SUBSTITUTES]

    def _log_substitute(
        self, member: membership.Member, error: errors.CorianderportError
    ) -> None:
        if member.name != self._last_substitute:
            self._last_substitute = member.name
            _LOG.warning(
                'reading from %s, as the store does not answer: %s',
                member.name,
                error,
            )

    def _log_reader_change(self, reader: membership.Member | None) -> None:
        name = self._own_host.name if reader is None else reader.name
        if name != self._last_reader:
            _LOG.info('changes of the store are read by %s', name)
            self._last_reader = name


def _recency(stored: registrations.StoredEntries) -> tuple[int, float]:
    as_of_s = stored.as_of_s
    return stored.revision, float('-inf') if as_of_s is None else as_of_s


def _log_changes(source: str, stored: registrations.StoredEntries) -> None:
    if stored.entries:
        _LOG.info(
            'entries of the store up to revision %d from %s: %d, %d bytes',
            stored.revision,
            source,
            len(stored.entries),
            stored.size_bytes,
        )


def reader_for(
    own_host: membership.Member, view: membership.View
) -> membership.Member | None:
    """Return the reader assigned to a host.

    Readers are in the host's own data centre. Both the readers and the
    assignment follow from rendezvous hashing; a reader is assigned to itself.

    :return: None if there are so few hosts that each reads the store.
    """
    local_hosts = [
        member
        for member in view.live
        if member.data_centre == own_host.data_centre
        and view.standings[member.name] is membership.Standing.ALIVE
    ]
    if len(local_hosts) < _MIN_HOSTS:
        return None
    count = -(-len(local_hosts) // _HOSTS_PER_READER)
    readers = rendezvous.rank(f'store {own_host.data_centre}', local_hosts)[
        :count
    ]
    for member in readers:
        if member.name == own_host.name:
            return member
    return rendezvous.rank(own_host.name, readers)[0]
