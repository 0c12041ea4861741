"""corianderport_tier.process.registry_source

Where this host reads the store's changes: the store, or a host that does.

A few hosts of a data centre read the store, and the others wait for changes
at one of them, so that calls to the store grow slowly with the fleet. A host
that gets no fresh news from its reader reads the store itself at once.
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
from corianderport_tier.version import registrations

__all__ = ['RegistryPeer', 'RegistrySource', 'SourceTimes', 'reader_for']

_LOG = logging.getLogger(__name__)

# Hosts of a data centre for each that reads the store. A small fleet gains
# nothing: a reader with followers has to call twice as often.
_HOSTS_PER_READER = 24
_LEAST_HOSTS = 6


@attrs.frozen
class SourceTimes:
    """Timing in seconds."""

    # A reader's watch; its followers take it for lost soon after.
    reader_watch_s: float = 1.0
    follower_wait_s: float = 1.0
    # On the same network as heartbeats; a silent reader is given up then.
    follower_timeout_s: float = 1.4
    # A reader that failed is not asked for this long.
    avoid_s: float = 5.0


class RegistryPeer(typing.Protocol):
    """Asks other hosts for changes; used by one task."""

    def registry_changes(
        self,
        member: membership.Member,
        after: registrations.Revision,
        wait_s: float,
        timeout_s: float,
    ) -> registrations.StoredEntries:
        """Wait for changes that a host has read from the store."""


class RegistrySource:
    """Implements ``transports.Registry`` for the reader of this host.

    :param store: the store itself.
    :param view: returns the present view of the hosts.
    """

    def __init__(
        self,
        store: transports.Registry,
        relay: registry_relay.RegistryRelay,
        peer: RegistryPeer,
        own: membership.Member,
        view: collections.abc.Callable[[], membership.View],
        clock: clocks.Clock,
        times: SourceTimes | None = None,
    ) -> None:
        self._store = store
        self._relay = relay
        self._peer = peer
        self._own = own
        self._view = view
        self._clock = clock
        self._times = SourceTimes() if times is None else times
        self._avoided_until_s = float('-inf')
        self._reader = ''
        self._lost = False

    def read(self, prefix: str) -> registrations.StoredEntries:
        """Return all entries below a prefix, from the store."""
        stored = self._store.read(prefix)
        self._relay.restart(stored.revision)
        return stored

    def watch(
        self, prefix: str, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        """Wait for changes, at the reader or at the store."""
        reader = reader_for(self._own, self._view())
        self._note_reader(reader)
        if reader is None:
            return self._watch_store(prefix, after, wait_s)
        if reader.name == self._own.name:
            wait_s = min(wait_s, self._times.reader_watch_s)
        elif self._clock.monotonic() >= self._avoided_until_s:
            try:
                return self._peer.registry_changes(
                    reader,
                    after,
                    self._times.follower_wait_s,
                    self._times.follower_timeout_s,
                )
            except errors.CorianderportError as error:
                _LOG.info('reading the store, not %s: %s', reader.name, error)
                self._avoided_until_s = (
                    self._clock.monotonic() + self._times.avoid_s
                )
                # What the reader has missed is to be had at once.
                wait_s = 0.0
        return self._watch_store(prefix, after, wait_s)

    def _watch_store(
        self, prefix: str, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        try:
            stored = self._store.watch(prefix, after, wait_s)
        except errors.HistoryGone:
            raise
        except errors.CorianderportError:
            self._lost = True
            raise
        stored = attrs.evolve(stored, returned=self._lost)
        self._lost = False
        self._relay.take(after, stored)
        return stored

    def _note_reader(self, reader: membership.Member | None) -> None:
        name = self._own.name if reader is None else reader.name
        if name != self._reader:
            _LOG.info('changes of the store are read by %s', name)
            self._reader = name


def reader_for(
    own: membership.Member, view: membership.View
) -> membership.Member | None:
    """Return the host that reads changes for a host.

    It is of the own data centre, chosen by rendezvous hashing among those
    that read, and may be the host itself.

    :return: None when there are so few hosts that each reads for itself.
    """
    near = [
        member
        for member in view.live
        if member.data_centre == own.data_centre
        and view.standings[member.name] is membership.Standing.ALIVE
    ]
    if len(near) < _LEAST_HOSTS:
        return None
    count = -(-len(near) // _HOSTS_PER_READER)
    readers = rendezvous.rank(f'store {own.data_centre}', near)[:count]
    for member in readers:
        if member.name == own.name:
            return member
    return rendezvous.rank(own.name, readers)[0]
