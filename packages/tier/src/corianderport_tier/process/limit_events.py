"""corianderport_tier.process.limit_events

Counts and logs limits that take effect and errors on connections.
"""

import collections
import logging
import threading
import typing

from corianderport_tier import clocks
from corianderport_tier.process import decision_log

__all__ = ['LimitEvent', 'LimitEvents']

_LOG = logging.getLogger(__name__)
# Minimum time between two lines about the same limit, so that a crowd of
# connections does not fill the log.
_LOG_INTERVAL_S = 10.0

LimitEvent = typing.Literal[
    'caller_connection_refused',
    'caller_connection_evicted',
    'caller_task_evicted',
    'caller_task_refused',
    'caller_bytes_evicted',
    'caller_bytes_refused',
    'caller_response_evicted',
    # A response that HTTP does not permit was replaced by 502.
    'caller_response_replaced',
    # Unexpected errors, which end a connection unless stated otherwise.
    'caller_protocol_error',
    'caller_task_failed',
    'caller_task_not_started',
    'caller_dispatch_failed',
    'disconnect_watch_failed',
    'accept_failed',
    'listener_failed',
    'peer_call_failed',
    'searcher_task_failed',
    'quota_call_failed',
]


class LimitEvents:
    """Counts each event, and logs the events of a kind at intervals."""

    def __init__(
        self, log: decision_log.DecisionLog, clock: clocks.Clock
    ) -> None:
        self._log = log
        self._clock = clock
        self._lock = threading.Lock()
        self._logged_s: dict[LimitEvent, float] = {}
        self._unlogged: collections.Counter[LimitEvent] = collections.Counter()

    def record(
        self,
        event: LimitEvent,
        detail: str = '',
        error: BaseException | None = None,
    ) -> None:
        """Count an event.

        :param detail: logged with the event, if it is logged.
        :param error: cause of the event, whose traceback is logged.
        """
        self._log.count(decision_log.Decision(event, '', '', ''))
        now_s = self._clock.monotonic()
        with self._lock:
            self._unlogged[event] += 1
            logged_s = self._logged_s.get(event)
            if logged_s is not None and now_s - logged_s < _LOG_INTERVAL_S:
                return
            self._logged_s[event] = now_s
            count = self._unlogged.pop(event)
        _LOG.warning(
            '%s: %d since the last such line%s%.200s',
            event,
            count,
            ', the latest: ' if detail else '',
            detail,
            exc_info=error,
        )
