"""corianderport_tier.process.configuration_store

The newest accepted configuration; never goes back.
"""

import collections.abc
import threading
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import deadlines
from corianderport_tier.version import configuration

__all__ = ['Accepted', 'ConfigurationStore', 'DocumentDecoder']


class DocumentDecoder(typing.Protocol):
    """Decodes and checks a published document."""

    def decode(self, document: bytes) -> configuration.Configuration:
        """Return the configuration.

        :raises ConfigurationInvalid: lists the document's faults.
        """


@attrs.frozen
class Accepted:
    """A configuration in force and the document it came from."""

    configuration: configuration.Configuration
    document: bytes


class ConfigurationStore:
    """Holds the version in force and tells waiters of a newer one."""

    def __init__(self, decoder: DocumentDecoder, clock: clocks.Clock) -> None:
        self._decoder = decoder
        self._clock = clock
        self._condition = threading.Condition()
        self._accepted: Accepted | None = None
        self._refusal = ''
        self._listeners: list[collections.abc.Callable[[], None]] = []

    @property
    def version(self) -> int:
        """The version in force, 0 when there is none."""
        accepted = self._accepted
        return 0 if accepted is None else accepted.configuration.version

    @property
    def refusal(self) -> str:
        """Faults of a document refused since the last accepted one."""
        return self._refusal

    def current(self) -> configuration.Configuration:
        """Return the configuration in force.

        :raises NotReady: none has been accepted yet.
        """
        return self.accepted().configuration

    def accepted(self) -> Accepted:
        """Return the configuration in force with its document.

        :raises NotReady: none has been accepted yet.
        """
        accepted = self._accepted
        if accepted is None:
            raise errors.NotReady('no configuration has been accepted')
        return accepted

    def offer(self, document: bytes) -> configuration.Configuration:
        """Put a document in force, whole or not at all.

        :raises ConfigurationInvalid: the document has faults.
        :raises ConfigurationStale: its version is not newer.
        """
        try:
            candidate = self._decoder.decode(document)
        except errors.ConfigurationInvalid as error:
            self._refusal = str(error)
            raise
        with self._condition:
            if candidate.version <= self.version:
                raise errors.ConfigurationStale(
                    f'version {candidate.version} is not newer than '
                    f'{self.version}'
                )
            self._accepted = Accepted(candidate, document)
            self._refusal = ''
            self._condition.notify_all()
        for listener in self._listeners:
            listener()
        return candidate

    def region_of(self, data_centre: str) -> str | None:
        """Return the region of a data centre, None when unknown."""
        accepted = self._accepted
        if accepted is None:
            return None
        centre = accepted.configuration.data_centres.get(data_centre)
        return None if centre is None else centre.region

    def add_listener(
        self, listener: collections.abc.Callable[[], None]
    ) -> None:
        """Call this after each change of the version in force."""
        self._listeners.append(listener)

    def wait_newer(self, version: int, until: deadlines.Deadline) -> bool:
        """Wait until a version newer than the given one is in force."""
        with self._condition:
            while self.version <= version:
                remaining = until.remaining(self._clock)
                if remaining <= 0:
                    return False
                self._clock.wait(self._condition, remaining)
            return True
