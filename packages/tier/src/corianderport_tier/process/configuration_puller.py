"""corianderport_tier.process.configuration_puller

Pulls newer configuration documents from other hosts.
"""

import logging
import threading

import attrs

from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import membership
from corianderport_tier.process import peers

__all__ = ['ConfigurationPuller']

_LOG = logging.getLogger(__name__)
_PULL_TIMEOUT_S = 3.0


@attrs.frozen
class _PullJob:
    """Requests the document of one host."""

    puller: 'ConfigurationPuller'
    member: membership.Member
    known_version: int
    announced_version: int

    def perform(self, transport: transports.PeerTransport) -> bytes | None:
        """Return the host's document, None if it is not newer."""
        return transport.configuration(self.known_version, _PULL_TIMEOUT_S)

    def finish(self, reply: object) -> None:
        """Pass the reply on to the puller."""
        self.puller.finish(self.member, self.announced_version, reply)


class ConfigurationPuller:
    """Pulls one document at a time from a host that announced it."""

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        remote: peers.Peers,
    ) -> None:
        self._store = store
        self._peers = remote
        self._lock = threading.Lock()
        self._pulling = False
        # The newest announced version and the host that announced it.
        self._newest_announced: tuple[int, membership.Member] | None = None
        self._refused_version = 0

    def on_version(self, member: membership.Member, version: int) -> None:
        """Handle the version that a host announces; pull it if newer."""
        with self._lock:
            if version <= max(self._store.version, self._refused_version):
                return
            if (
                self._newest_announced is None
                or version >= self._newest_announced[0]
            ):
                self._newest_announced = (version, member)
            if self._pulling:
                return
            self._pulling = True
        self._pull(member, version)

    def finish(
        self, member: membership.Member, announced_version: int, reply: object
    ) -> None:
        """Handle the reply to a pull."""
        if isinstance(reply, bytes):
            self._offer(member, announced_version, reply)
        elif reply is not None:
            _LOG.info(
                'cannot pull the configuration from %s: %s', member.name, reply
            )
        with self._lock:
            newest = self._newest_announced
            self._newest_announced = None
            self._pulling = newest is not None and (
                isinstance(reply, bytes)
                and newest[0] > max(self._store.version, self._refused_version)
            )
        if newest is not None and self._pulling:
            self._pull(newest[1], newest[0])

    def _pull(self, member: membership.Member, announced_version: int) -> None:
        job = _PullJob(self, member, self._store.version, announced_version)
        try:
            self._peers.pool(member).submit(job)
        except errors.CorianderportError as error:
            job.finish(error)

    def _offer(
        self,
        member: membership.Member,
        announced_version: int,
        document: bytes,
    ) -> None:
        try:
            accepted = self._store.offer(document)
        except errors.ConfigurationStale as error:
            _LOG.debug('configuration from %s ignored: %s', member.name, error)
        except errors.CorianderportError as error:
            _LOG.error('configuration from %s refused: %s', member.name, error)
            with self._lock:
                # Keeps the version from being pulled at each heartbeat.
                self._refused_version = announced_version
        else:
            _LOG.info(
                'configuration %d from %s is in force',
                accepted.version,
                member.name,
            )
