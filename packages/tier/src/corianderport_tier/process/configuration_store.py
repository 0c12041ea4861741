"""corianderport_tier.process.configuration_store

Holds the newest accepted configuration; its version never decreases.
"""

import collections.abc
import threading
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import deadlines
from corianderport_tier.version import configuration

__all__ = ['AcceptedConfiguration', 'ConfigurationStore', 'DocumentDecoder']


class DocumentDecoder(typing.Protocol):
    """Decodes and validates a published document."""

    def decode(self, document: bytes) -> configuration.Configuration:
        """Return the configuration of a document.

        :raises ConfigurationInvalid: lists the document's faults.
        """


@attrs.frozen
class AcceptedConfiguration:
    """A configuration and the document that it was decoded from."""

    configuration: configuration.Configuration
    document: bytes


class ConfigurationStore:
    """Holds the configuration in force and notifies of newer versions."""

    def __init__(self, decoder: DocumentDecoder, clock: clocks.Clock) -> None:
        self._decoder = decoder
        self._clock = clock
        self._condition = threading.Condition()
        self._accepted: AcceptedConfiguration | None = None
        self._refusal = ''
        self._listeners: list[collections.abc.Callable[[], None]] = []

    @property
    def version(self) -> int:
        """The version in force, 0 if there is none."""
        accepted = self._accepted
        return 0 if accepted is None else accepted.configuration.version

    @property
    def refusal(self) -> str:
        """Faults of a document rejected since the last accepted one."""
        return self._refusal

    def current(self) -> configuration.Configuration:
        """Return the configuration in force.

        :raises NotReady: none has been accepted yet.
        """
        return self.accepted().configuration

    def accepted(self) -> AcceptedConfiguration:
        """Return the configuration in force with its document.

        :raises NotReady: none has been accepted yet.
        """
        accepted = self._accepted
        if accepted is None:
            raise errors.NotReady('no configuration has been accepted')
        return accepted

    def offer(self, document: bytes) -> configuration.Configuration:
        """Accept a document atomically.

        :raises ConfigurationInvalid: the document has faults.
        :raises ConfigurationStale: its version is not newer than the one
            in force.
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
            self._accepted = AcceptedConfiguration(candidate, document)
            self._refusal = ''
            self._condition.notify_all()
        for listener in self._listeners:
            listener()
        return candidate

    def region_of(self, data_centre: str) -> str | None:
        """Return the region of a data centre, None if unknown."""
        accepted = self._accepted
        if accepted is None:
            return None
        centre = accepted.configuration.data_centres.get(data_centre)
        return None if centre is None else centre.region

    def add_listener(
        self, listener: collections.abc.Callable[[], None]
    ) -> None:
        """Register a callback for each change of the version in force."""
        self._listeners.append(listener)

    def wait_for_newer(self, version: int, until: deadlines.Deadline) -> bool:
        """Wait until a version newer than the given one is in force."""
        with self._condition:
            while self.version <= version:
                remaining = until.remaining(self._clock)
                if remaining <= 0:
                    return False
                self._clock.wait(self._condition, remaining)
            return True
