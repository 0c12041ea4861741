"""corianderport_tier.process.store_contact

Tells an outage of the store from the loss of one connection to it.

During an outage searchers cannot renew their entries, so that entries which
are missing afterwards say little about their searchers. A connection that
was lost says nothing about the store: what it has removed meanwhile is gone.
"""

import enum
import logging

from corianderport_tier import errors

__all__ = ['Interruption', 'StoreContact']

_LOG = logging.getLogger(__name__)


class Interruption(enum.Enum):
    """Why calls to the store have failed since its last reply."""

    CONNECTION = 'a connection to the store was lost'
    OUTAGE = 'the store was unavailable'


class StoreContact:
    """Records the results of this host's calls to the store."""

    def __init__(self) -> None:
        self._interruption: Interruption | None = None

    @property
    def interruption(self) -> Interruption | None:
        """Why the last call failed, None after a reply."""
        return self._interruption

    def record_failure(self, error: errors.CorianderportError) -> None:
        """Record a call without a usable reply."""
        if _shows_outage(error):
            self._interruption = Interruption.OUTAGE
        elif self._interruption is None:
            self._interruption = Interruption.CONNECTION

    def record_reply(self) -> bool:
        """Record a reply; return whether it is the first after an outage."""
        interruption, self._interruption = self._interruption, None
        if interruption is not None:
            _LOG.info('the store answers again; %s', interruption.value)
        return interruption is Interruption.OUTAGE


def _shows_outage(error: errors.CorianderportError) -> bool:
    """Whether a failed call shows that the store itself is unavailable.

    A connection that has carried replies may have gone silent or may have
    been reset while the store serves others; only a new one tells.
    """
    if isinstance(error, errors.ReplyIncomplete | errors.ReplyTooLarge):
        return False
    if isinstance(error, errors.StoreUnavailable):
        return True
    return isinstance(error, errors.TransportError) and error.fresh
