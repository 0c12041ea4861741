"""corianderport_tier.process.readers

Tasks that fetch the configuration and the host list from the platform.
"""

import collections.abc
import logging

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import membership
from corianderport_tier.process import periodic_task
from corianderport_tier.process import rendezvous

__all__ = [
    'ConfigurationReader',
    'HostListReader',
    'ReaderTimes',
    'is_reader',
]

_LOG = logging.getLogger(__name__)
_READERS_PER_DATA_CENTRE = 2
_MEMBER_BYTES = 120


@attrs.frozen
class ReaderTimes:
    """Timing of the readers, in seconds."""

    watch_s: float = 10.0
    retry_s: float = 0.5
    host_list_period_s: float = 0.5
    timeout_s: float = 2.0
    # Delay before a rejected document is read again.
    refused_s: float = 2.0
    host_list_bytes_per_s: float = 2_000.0


class _Reader(periodic_task.PeriodicTask):
    """Periodic task that reads from the platform."""

    def __init__(
        self,
        platform: transports.Platform,
        clock: clocks.Clock,
        times: ReaderTimes,
    ) -> None:
        super().__init__(clock)
        self._platform = platform
        self._times = times

    def step(self) -> float:
        """Read once."""
        try:
            return self._read()
        except errors.CorianderportError as error:
            _LOG.warning('cannot read from the platform: %s', error)
            return self._times.retry_s

    def _read(self) -> float:
        """Read once; return the delay until the next read in seconds."""
        raise NotImplementedError


class ConfigurationReader(_Reader):
    """Watches the configuration service and applies new versions.

    :param is_assigned: returns whether this host should call the service.
    """

    def __init__(
        self,
        platform: transports.Platform,
        store: configuration_store.ConfigurationStore,
        clock: clocks.Clock,
        times: ReaderTimes,
        is_assigned: collections.abc.Callable[[], bool],
    ) -> None:
        super().__init__(platform, clock, times)
        self._store = store
        self._is_assigned = is_assigned
        self._refused: bytes | None = None

    def _read(self) -> float:
        if not self._is_assigned():
            return self._times.retry_s
        document = self._platform.watch_configuration(
            self._store.version, self._times.watch_s
        )
        if document is None:
            return 0.0
        if document == self._refused:
            return self._times.refused_s
        try:
            accepted = self._store.offer(document)
        except errors.ConfigurationStale as error:
            # The service returned an old version, or a peer delivered this
            # one first.
            _LOG.info('configuration is not newer: %s', error)
            return self._times.retry_s
        except errors.CorianderportError as error:
            _LOG.error('configuration rejected: %s', error)
            self._refused = document
            return self._times.retry_s
        _LOG.info('configuration %d is now in force', accepted.version)
        return 0.0


def is_reader(members: membership.Membership) -> bool:
    """Whether this host watches the service for its data centre.

    A host does so only once it knows the host list, so that the number of
    calls while a fleet starts does not grow with its size.
    """
    if not members.list_known:
        return False
    own_host = members.own
    centre = own_host.data_centre
    local_hosts = [m for m in members.live() if m.data_centre == centre]
    readers = rendezvous.rank(f'readers of {centre}', local_hosts)[
        :_READERS_PER_DATA_CENTRE
    ]
    return any(member.name == own_host.name for member in readers)


class HostListReader(_Reader):
    """Polls the host list at a rate that depends on its length."""

    def __init__(
        self,
        platform: transports.Platform,
        members: membership.Membership,
        clock: clocks.Clock,
        times: ReaderTimes,
    ) -> None:
        super().__init__(platform, clock, times)
        self._members = members

    def _read(self) -> float:
        listed = self._platform.hosts(self._times.timeout_s)
        self._members.replace(listed)
        # The polling period grows with the list, which limits the bytes
        # read per second.
        return max(
            self._times.host_list_period_s,
            len(listed) * _MEMBER_BYTES / self._times.host_list_bytes_per_s,
        )
