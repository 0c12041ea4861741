"""corianderport_testkit.process.control_peers

The peer interface of a host that has only a control plane.
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
from corianderport_tier.process import quota_messages
from corianderport_tier.request import forward_messages
from corianderport_tier.request import gather_messages
from corianderport_tier.request import messages
from corianderport_tier.request import request_context
from corianderport_tier.version import registrations

__all__ = ['ControlPeer', 'abandoning_executor', 'exit_process']


class ControlPeer:
    """Serves only heartbeats and configurations to other hosts."""

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
        """Refuse the action, since this host has no tickets."""
        raise errors.NotOwner('this host has no tickets')

    def hand_over(self, part: handed_over.HandOver) -> None:
        """Discard the ticket outcomes."""

    def heartbeat(self, message: heartbeats.Heartbeat) -> heartbeats.Heartbeat:
        """Process a heartbeat and return the reply."""
        return self._exchange.receive(message)

    def registry_changes(
        self, after: registrations.Revision, wait_s: float
    ) -> registrations.StoredEntries:
        """Refuse the call, since this host does not read the store."""
        raise errors.NotReady('this host does not read the store')

    def registry_entries(self) -> registrations.StoredEntries:
        """Refuse the call, since this host does not read the store."""
        raise errors.NotReady('this host does not read the store')

    def quota(
        self, request: quota_messages.QuotaRequest
    ) -> quota_messages.QuotaGrant:
        """Refuse the call, since this host grants no quotas."""
        raise errors.NotOwner('this host grants no quotas')

    def gather_availability(self) -> gather_messages.GatherAvailability:
        """Refuse the call, since this host sends to no searchers."""
        raise errors.NotReady('this host sends to no searchers')

    def gather(
        self,
        call: gather_messages.GatherCall,
        caller: request_context.DisconnectWatch,
    ) -> forward_messages.ForwardAnswer | None:
        """Refuse the call, since this host sends to no searchers."""
        raise errors.NotReady('this host sends to no searchers')

    def document(self, known_version: int) -> tuple[int, bytes | None]:
        """Return the current version, and its document if it is newer."""
        accepted = self._store.accepted()
        version = accepted.configuration.version
        newer = version > known_version
        return version, accepted.document if newer else None


@contextlib.contextmanager
def abandoning_executor(
    max_workers: int,
) -> collections.abc.Iterator[concurrent.futures.ThreadPoolExecutor]:
    """Yield an executor that is shut down without waiting for its threads."""
    executor = concurrent.futures.ThreadPoolExecutor(max_workers)
    try:
        yield executor
    finally:
        executor.shutdown(wait=False, cancel_futures=True)


def exit_process() -> None:
    """Exit at once, although threads may still wait for replies of peers.

    A usual exit joins all threads of executors.
    """
    logging.shutdown()
    os._exit(0)
