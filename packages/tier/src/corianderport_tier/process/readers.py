"""corianderport_tier.process.readers

Reads the platform: one task for the configuration, one for the host list.
"""

import logging
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import membership

__all__ = ['ConfigurationReader', 'HostListReader', 'ReaderTimes']

_LOG = logging.getLogger(__name__)


@attrs.frozen
class ReaderTimes:
    """Timing of the readers, in seconds."""

    watch_s: float = 10.0
    retry_s: float = 0.5
    host_list_period_s: float = 0.5
    timeout_s: float = 2.0


class _Reader:
    """A task that reads until it is closed."""

    def __init__(
        self,
        platform: transports.Platform,
        clock: clocks.Clock,
        times: ReaderTimes,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._times = times
        self._condition = threading.Condition()
        self._closed = False

    def run(self) -> None:
        """Read again and again until closed."""
        while not self._closed:
            try:
                pause_s = self._read()
            except errors.CorianderportError as error:
                _LOG.warning('cannot read the platform: %s', error)
                pause_s = self._times.retry_s
            with self._condition:
                if pause_s > 0 and not self._closed:
                    self._clock.wait(self._condition, pause_s)

    def close(self) -> None:
        """End the task after its present read."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()

    def _read(self) -> float:
        """Read once and return the pause before the next, seconds."""
        raise NotImplementedError


class ConfigurationReader(_Reader):
    """Watches the configuration service and offers what it publishes."""

    def __init__(
        self,
        platform: transports.Platform,
        store: configuration_store.ConfigurationStore,
        clock: clocks.Clock,
        times: ReaderTimes,
    ) -> None:
        super().__init__(platform, clock, times)
        self._store = store

    def _read(self) -> float:
        document = self._platform.watch_configuration(
            self._store.version, self._times.watch_s
        )
        if document is None:
            return 0.0
        try:
            accepted = self._store.offer(document)
        except errors.CorianderportError as error:
            _LOG.error('configuration not accepted: %s', error)
            return self._times.retry_s
        _LOG.info('configuration %d is in force', accepted.version)
        return 0.0


class HostListReader(_Reader):
    """Polls the host list."""

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
        self._members.replace(self._platform.hosts(self._times.timeout_s))
        return self._times.host_list_period_s
