"""corianderport_tier.process.service_searchers

Load balancing of requests over the searchers of one service.
"""

import collections.abc
import enum
import random
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier.process import budgets
from corianderport_tier.process import fleet_share
from corianderport_tier.process import searcher_state
from corianderport_tier.version import registrations
from corianderport_tier.version import routes

__all__ = ['Choice', 'NoChoice', 'OpenPool', 'ServiceSearchers']

SearcherState = searcher_state.SearcherState
OpenPool = collections.abc.Callable[
    [registrations.Registration, int], searcher_state.SendPool
]


class NoChoice(enum.Enum):
    """Reason why no searcher can be chosen now."""

    NONE_REGISTERED = 'no searcher is registered'
    ALL_TRIED = 'every searcher has been tried'
    BACKING_OFF = 'every searcher has failed'
    COLD = 'every searcher is cold and has its share'
    FULL = 'every searcher has its share of requests'


@attrs.frozen
class Choice:
    """A chosen searcher, the key of the send and the number of candidates."""

    state: SearcherState
    key: int
    candidates: int


class ServiceSearchers:
    """The searchers of one service that may receive requests."""

    def __init__(
        self,
        name: str,
        own_data_centre: str,
        share: fleet_share.FleetShare,
        open_pool: OpenPool,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.name = name
        self._own_data_centre = own_data_centre
        self._share = share
        self._open_pool = open_pool
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._states: dict[tuple[str, str, int], SearcherState] = {}
        self._parameters: routes.ServiceParameters | None = None
        self._next_key = 0
        self._capacity_callbacks: list[collections.abc.Callable[[], None]] = []
        self._extra = self._new_budget()

    def update(
        self,
        parameters: routes.ServiceParameters | None,
        registered: collections.abc.Iterable[registrations.Registration],
        cold: collections.abc.Container[str] = (),
    ) -> None:
        """Replace the set of searchers that may receive requests.

        :param registered: registrations of the searchers.
        :param cold: data centres whose searchers are treated as cold, because
            they have returned to service.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            self._update_budget()
            if parameters is not None:
                self._parameters = parameters
            previous_states, self._states = self._states, {}
            for registration in registered:
                instance = registration.instance
                state = previous_states.pop(instance, None)
                changed = state is None or state.registration != registration
                if state is None:
                    state = SearcherState(
                        registration, self._open_pool(registration, 1)
                    )
                state.registration = registration
                state.connections = self._connections(state.name)
                state.pool.limit_connections(max(1, state.connections))
                returned = registration.data_centre in cold
                if changed or returned:
                    self._mark_cold(state, now_s, returned)
                self._states[instance] = state
            for state in previous_states.values():
                state.pool.close()
            self._run_capacity_callbacks()

    def is_registered(self, state: SearcherState) -> bool:
        """Whether a searcher may still receive requests.

        Checked without the lock immediately before sending.
        """
        return self._states.get(state.registration.instance) is state

    def choose(
        self,
        excluded: collections.abc.Container[str],
        median_s: float,
    ) -> Choice | NoChoice:
        """Choose the searcher with the lowest cost and start a send to it.

        :param excluded: names of searchers that must not be chosen.
        :param median_s: median latency of the request's route in seconds.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            candidates = self._candidates(excluded, now_s)
            if isinstance(candidates, NoChoice):
                return candidates
            best = min(
                candidates,
                key=lambda s: (
                    s.cost(now_s, self._own_data_centre),
                    self._rng.random(),
                ),
            )
            self._next_key += 1
            best.start(self._next_key, now_s, median_s)
            return Choice(best, self._next_key, len(candidates))

    def finish(
        self, choice: Choice, result: searcher_state.SendResult
    ) -> None:
        """Record the result of a send."""
        with self._lock:
            choice.state.finish(choice.key, result, self._clock.monotonic())
            self._run_capacity_callbacks()

    def set_cold(self, state: SearcherState, seconds: float) -> None:
        """Mark a searcher as cold after it has reported so."""
        with self._lock:
            state.warm_up.set_cold(self._clock.monotonic() + seconds)

    def count_request(self) -> None:
        """Count the first send of a request towards the extra budget."""
        with self._lock:
            self._extra.count_request(self._clock.monotonic())

    def try_extra(self, reserve: float = 0.0) -> bool:
        """Spend one extra send from this host's share of the budget.

        :param reserve: fraction of the slack that must remain.
        """
        slack = self._share.extra_slack * (1 - reserve)
        with self._lock:
            return self._extra.try_spend(self._clock.monotonic(), slack=slack)

    def notify_on_capacity(
        self, callback: collections.abc.Callable[[], None]
    ) -> None:
        """Call ``callback`` once when a searcher may have capacity again."""
        with self._lock:
            self._capacity_callbacks.append(callback)

    def retry_delay_s(self) -> float:
        """Return the seconds until the first backoff of a searcher ends."""
        now_s = self._clock.monotonic()
        with self._lock:
            delays_s = [s.retry_at_s - now_s for s in self._states.values()]
        return max(0.0, min(delays_s, default=1.0))

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            states, self._states = self._states, {}
        for state in states.values():
            state.pool.close()

    def _new_budget(self) -> budgets.Budget:
        return budgets.Budget(
            budgets.BudgetRatio(self._share.extra_ratio),
            self._share.extra_window_s,
        )

    def _update_budget(self) -> None:
        """Apply changed bounds."""
        if self._extra.window_s != self._share.extra_window_s:
            self._extra = self._new_budget()
        self._extra.ratio = budgets.BudgetRatio(self._share.extra_ratio)

    def _candidates(
        self, excluded: collections.abc.Container[str], now_s: float
    ) -> list[SearcherState] | NoChoice:
        states = list(self._states.values())
        if not states:
            return NoChoice.NONE_REGISTERED
        # If this host has no share of the connections of any searcher, use
        # all of them: its requests would fail otherwise.
        states = [s for s in states if s.connections > 0] or states
        filters = (
            (NoChoice.ALL_TRIED, lambda s: s.name not in excluded),
            (NoChoice.BACKING_OFF, lambda s: s.retry_at_s <= now_s),
            (NoChoice.COLD, lambda s: self._within_cold_rate(s, now_s)),
            (NoChoice.FULL, lambda s: s.has_capacity),
        )
        for reason, allowed in filters:
            states = [s for s in states if allowed(s)]
            if not states:
                return reason
        return states

    def _within_cold_rate(self, state: SearcherState, now_s: float) -> bool:
        rate = self._parameters.cold_rate if self._parameters else 0.0
        # Without a configured rate, cold searchers are not limited.
        if rate <= 0 or not state.warm_up.is_cold(now_s):
            return True
        return state.warm_up.may_send(
            now_s, self._share.cold_rate(state.name, rate)
        )

    def _connections(self, searcher: str) -> int:
        max_connections = (
            self._parameters.connections if self._parameters else 1
        )
        return self._share.connections(searcher, max_connections)

    def _mark_cold(
        self, state: SearcherState, now_s: float, returned: bool
    ) -> None:
        left_s = state.registration.warm_up_left_s
        if returned and self._parameters is not None:
            left_s = max(left_s, self._parameters.warm_up_s)
        if left_s > 0:
            state.warm_up.set_cold(now_s + left_s)

    def _run_capacity_callbacks(self) -> None:
        callbacks, self._capacity_callbacks = self._capacity_callbacks, []
        for callback in callbacks:
            callback()
