"""corianderport_tier.process.candidates

Which searchers of a service may receive one more request now.
"""

import collections.abc
import enum

from corianderport_tier.process import fleet_share
from corianderport_tier.process import searcher_state

__all__ = ['CandidateFilter', 'NoChoice']

SearcherState = searcher_state.SearcherState


class NoChoice(enum.Enum):
    """Reason why no searcher can be chosen now."""

    NONE_REGISTERED = 'no searcher is registered'
    LEAVING = 'every searcher is leaving'
    ALL_TRIED = 'every searcher has been tried'
    PAUSED = 'every searcher has asked for a pause'
    BACKING_OFF = 'every searcher has failed'
    COLD = 'every searcher is cold and has its share'
    FULL = 'every searcher has its share of requests'
    SHARE = 'the workspace uses its share of the service'


_Condition = tuple[NoChoice, collections.abc.Callable[[SearcherState], bool]]
# Reason for which a single searcher is excluded.
_REASONS = {
    NoChoice.LEAVING: 'is leaving',
    NoChoice.ALL_TRIED: 'has been tried',
    NoChoice.PAUSED: 'has asked for a pause',
    NoChoice.BACKING_OFF: 'has failed',
    NoChoice.COLD: 'is cold and has its share',
    NoChoice.FULL: 'has its share of requests',
}


class CandidateFilter:
    """Excludes searchers; guarded by the lock of their service."""

    def __init__(self, share: fleet_share.FleetShare) -> None:
        self._share = share
        # Requests a second that a cold searcher handles; 0 if not limited.
        self.cold_rate = 0.0

    def candidates(
        self,
        registered: collections.abc.Iterable[SearcherState],
        excluded: collections.abc.Collection[str],
        now_s: float,
    ) -> list[SearcherState] | NoChoice:
        """Return the searchers that may be chosen.

        :param excluded: names of searchers that must not be chosen.
        """
        states = list(registered)
        if not states:
            return NoChoice.NONE_REGISTERED
        used = self._used(states, excluded, now_s)
        allowed = self._permitted(used, excluded, now_s)
        return allowed or self._reason_of_none(used, excluded, now_s)

    def _permitted(
        self,
        states: list[SearcherState],
        excluded: collections.abc.Collection[str],
        now_s: float,
    ) -> list[SearcherState]:
        return [
            s
            for s in states
            if s.name not in excluded
            and s.may_receive(now_s)
            and s.has_capacity
            and self._within_cold_rate(s, now_s)
        ]

    def _reason_of_none(
        self,
        states: list[SearcherState],
        excluded: collections.abc.Collection[str],
        now_s: float,
    ) -> NoChoice:
        """Return which condition excludes the last of the searchers."""
        for reason, allowed in self._conditions(excluded, now_s):
            states = [s for s in states if allowed(s)]
            if not states:
                return reason
        # The share of a cold searcher grows when a host leaves meanwhile.
        return NoChoice.COLD

    def exclusions(
        self,
        registered: collections.abc.Iterable[SearcherState],
        excluded: collections.abc.Collection[str],
        now_s: float,
    ) -> list[tuple[SearcherState, str]]:
        """Return all searchers with the reason for which each is excluded.

        The reason is empty for a candidate; a test compares the result with
        that of ``candidates``.
        """
        states = list(registered)
        used = self._used(states, excluded, now_s)
        conditions = self._conditions(excluded, now_s)
        return [
            (
                state,
                next(
                    (
                        _REASONS[reason]
                        for reason, allowed in conditions
                        if not allowed(state)
                    ),
                    '',
                )
                if state in used
                else 'left to other hosts',
            )
            for state in states
        ]

    def _used(
        self,
        states: list[SearcherState],
        excluded: collections.abc.Collection[str],
        now_s: float,
    ) -> list[SearcherState]:
        """Return the searchers in this host's share, or all if needed.

        Where searchers accept fewer connections than there are hosts, a host
        may have a share of only one or two searchers of a service, or none.
        It uses the others for another send, and if those in its share are
        slow or out of use. A first send waits while they are merely busy.
        """
        shared = [s for s in states if s.connections > 0]
        if not shared or len(shared) == len(states):
            return states
        permitted = self._permitted(shared, excluded, now_s)
        if permitted:
            needs_others = all(s.is_slow(now_s) for s in permitted)
        else:
            needs_others = bool(excluded) or not any(
                s.may_receive(now_s) for s in shared
            )
        return states if needs_others else shared

    def _conditions(
        self, excluded: collections.abc.Collection[str], now_s: float
    ) -> tuple[_Condition, ...]:
        return (
            (NoChoice.LEAVING, lambda s: not s.availability.leaving),
            (NoChoice.ALL_TRIED, lambda s: s.name not in excluded),
            (NoChoice.PAUSED, lambda s: s.availability.permits_request(now_s)),
            (NoChoice.BACKING_OFF, lambda s: s.retry_at_s <= now_s),
            (NoChoice.COLD, lambda s: self._within_cold_rate(s, now_s)),
            (NoChoice.FULL, lambda s: s.has_capacity),
        )

    def _within_cold_rate(self, state: SearcherState, now_s: float) -> bool:
        # Without a configured rate, cold searchers are not limited.
        if self.cold_rate <= 0 or not state.warm_up.is_cold(now_s):
            return True
        return state.warm_up.may_send(
            now_s, self._share.cold_rate(state.name, self.cold_rate)
        )
