"""corianderport_tier.process.decision_log

Structured log records of the decisions on requests and on routing.
"""

import collections
import collections.abc
import logging
import typing

import attrs

__all__ = ['Decision', 'DecisionLog', 'DecisionObserver']

_MAX_RECENT_DECISIONS = 256
# Callers choose request ids, of any length up to that of a head.
_MAX_REQUEST_ID_CHARS = 200
_MAX_REASON_CHARS = 500


def _shortened_id(text: str) -> str:
    return text[:_MAX_REQUEST_ID_CHARS]


def _shortened_reason(text: str) -> str:
    return text[:_MAX_REASON_CHARS]


@attrs.frozen
class Decision:
    """A decision for a request, with its reason.

    ``inputs`` are the values that the decision is based on, with their age
    or version. Long request ids and reasons are cut.
    """

    kind: str
    request_id: str = attrs.field(converter=_shortened_id)
    choice: str
    reason: str = attrs.field(converter=_shortened_reason)
    alternatives: tuple[str, ...] = ()
    inputs: collections.abc.Mapping[str, object] = attrs.Factory(dict)


class DecisionObserver(typing.Protocol):
    """Receives decisions, for example to count them."""

    def decided(self, decision: Decision) -> None:
        """Handle one decision, on the task that made it."""


class DecisionLog:
    """Logs decisions and retains the most recent ones."""

    def __init__(
        self,
        logger: logging.Logger | None = None,
        observer: DecisionObserver | None = None,
    ) -> None:
        self._logger = logger or logging.getLogger('corianderport.decision')
        self._observer = observer
        self._recent: collections.deque[Decision] = collections.deque(
            maxlen=_MAX_RECENT_DECISIONS
        )

    def record(self, decision: Decision) -> None:
        """Log one decision; the log handler formats it."""
        self._recent.append(decision)
        if self._observer is not None:
            self._observer.decided(decision)
        self._logger.info('decision', extra={'decision': decision})

    def count(self, decision: Decision) -> None:
        """Count a routine decision without logging it."""
        if self._observer is not None:
            self._observer.decided(decision)

    def recent(self) -> tuple[Decision, ...]:
        """Return the most recent decisions, oldest first."""
        return tuple(self._recent.copy())
