"""corianderport_tier.process.decision_log

One structured log record for each routing or placement decision.
"""

import collections
import collections.abc
import logging
import typing

import attrs

__all__ = ['Decision', 'DecisionLog', 'DecisionObserver']

_RECENT_DECISIONS = 256


@attrs.frozen
class Decision:
    """A decision: what was chosen for which request, and why.

    ``inputs`` are the values that decided it, with their age or version.
    """

    kind: str
    request_id: str
    choice: str
    reason: str
    alternatives: tuple[str, ...] = ()
    inputs: collections.abc.Mapping[str, object] = attrs.Factory(dict)


class DecisionObserver(typing.Protocol):
    """Counts decisions."""

    def decided(self, decision: Decision) -> None:
        """Learn of one decision, on the task that took it."""


class DecisionLog:
    """Logs decisions and keeps the most recent ones."""

    def __init__(
        self,
        logger: logging.Logger | None = None,
        observer: DecisionObserver | None = None,
    ) -> None:
        self._logger = logger or logging.getLogger('corianderport.decision')
        self._observer = observer
        self._recent: collections.deque[Decision] = collections.deque(
            maxlen=_RECENT_DECISIONS
        )

    def record(self, decision: Decision) -> None:
        """Log one decision; formatting is left to the handler."""
        self._recent.append(decision)
        if self._observer is not None:
            self._observer.decided(decision)
        self._logger.info('decision', extra={'decision': decision})

    def count(self, decision: Decision) -> None:
        """Count a usual decision that gets no line of its own."""
        if self._observer is not None:
            self._observer.decided(decision)

    def recent(self) -> tuple[Decision, ...]:
        """Return the most recent decisions, oldest first."""
        return tuple(self._recent.copy())
