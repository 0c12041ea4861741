"""corianderport_testkit.process.control_peers

What a host without searchers serves to others.
"""

import collections.abc
import concurrent.futures
import contextlib
import logging
import os

from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import handed_over
from corianderport_tier.process import heartbeats
from corianderport_tier.request import messages
from corianderport_tier.version import registrations

__all__ = ['ControlPeer', 'end_process', 'tasks']


class ControlPeer:
    """Serves heartbeats and configurations only."""

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        exchange: heartbeats.HeartbeatExchange,
    ) -> None:
        self._store = store
        self._exchange = exchange

    def act_with_ticket(
        self, request: messages.ActionRequest
    ) -> messages.ActionAnswer:
        """Refuse the action."""
        raise errors.NotOwner('no tickets')

    def hand_over(self, part: handed_over.HandOver) -> None:
        """Ignore the outcomes."""

    def heartbeat(self, message: heartbeats.Heartbeat) -> heartbeats.Heartbeat:
        """Take a heartbeat and return the reply."""
        return self._exchange.receive(message)

    def registry_changes(
        self, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        """Refuse: this host reads no store of searchers."""
        raise errors.NotReady('no store is read')

    def document(self, known_version: int) -> tuple[int, bytes | None]:
        """Return the version in force, and its document when newer."""
        accepted = self._store.accepted()
        version = accepted.configuration.version
        newer = version > known_version
        return version, accepted.document if newer else None


@contextlib.contextmanager
def tasks(
    count: int,
) -> collections.abc.Iterator[concurrent.futures.ThreadPoolExecutor]:
    """Return an executor whose tasks are not waited for."""
    executor = concurrent.futures.ThreadPoolExecutor(count)
    try:
        yield executor
    finally:
        executor.shutdown(wait=False, cancel_futures=True)


def end_process() -> None:
    """Exit although tasks still wait for peers."""
    logging.shutdown()
    os._exit(0)
