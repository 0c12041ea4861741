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
from corianderport_tier.process import placement
from corianderport_tier.process import searcher_state
from corianderport_tier.process import send_interval
from corianderport_tier.process import stated_availability
from corianderport_tier.version import registrations
from corianderport_tier.version import routes

__all__ = ['Choice', 'NoChoice', 'OpenPool', 'ServiceSearchers']

SearcherState = searcher_state.SearcherState
# Half-life of the knowledge of a searcher's latency, in sends of this host to
# the service. A host with little traffic would otherwise have forgotten which
# searchers are slow whenever it sends again.
_LATENCY_HALF_LIFE_SENDS = 4
# Suggested retry delay when no searcher is registered that may be used.
_DEFAULT_RETRY_DELAY_S = 1.0
# Maximum extra delay of a caller's retry after a pause, as a fraction of the
# pause, so that refused callers do not return at the same moment.
_PAUSE_SPREAD = 0.5

# Cost from which the searchers in this host's share count as slow: it is that
# of one that takes three times as long as usual.
_SLOW_COST = 3.0
# Idle time of connections to searchers of this host's share, and of those to
# other searchers. The latter are few at any time if they are closed soon, so
# that they fit into what the shares leave of a searcher's connections.
_IDLE_S = 20.0
_OVERFLOW_IDLE_S = 0.5

OpenPool = collections.abc.Callable[
    [registrations.Registration, int], searcher_state.SendPool
]


class NoChoice(enum.Enum):
    """Reason why no searcher can be chosen now."""

    NONE_REGISTERED = 'no searcher is registered'
    LEAVING = 'every searcher is leaving'
    ALL_TRIED = 'every searcher has been tried'
    PAUSED = 'every searcher has asked for a pause'
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
        self._availability = stated_availability.AvailabilityRecords()
        self._parameters: routes.ServiceParameters | None = None
        self._next_key = 0
        self._capacity_callbacks: list[collections.abc.Callable[[], None]] = []
        self._extra = self._new_budget()
        # In a large fleet the share of a host is one or two sends. Rounding
        # it down on every host would leave much of the bound unused; with a
        # random offset the hosts together use their shares on average.
        self._rounding = rng.random()
        self._send_interval = send_interval.SendInterval()
        self._policy = placement.policy(placement.LEAST_LOADED)

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
                        registration,
                        self._open_pool(registration, 1),
                        self._availability.of(registration.lifetime),
                    )
                state.set_registration(registration, self._own_data_centre)
                state.connections = self._connections(state.name)
                state.pool.limit_connections(max(1, state.connections))
                state.pool.limit_idle_time(
                    _IDLE_S if state.connections else _OVERFLOW_IDLE_S
                )
                returned = registration.data_centre in cold
                if changed or returned:
                    self._mark_cold(state, now_s, returned)
                self._states[instance] = state
            for state in previous_states.values():
                state.pool.close()
            self._availability.discard_obsolete(
                {s.registration.lifetime for s in self._states.values()},
                now_s,
            )
            self._run_capacity_callbacks()

    def may_send(self, state: SearcherState) -> bool:
        """Whether a searcher may still receive requests.

        Checked without the lock immediately before sending.
        """
        registered = self._states.get(state.registration.instance) is state
        return registered and state.availability.permits_request(
            self._clock.monotonic()
        )

    def choose(
        self,
        excluded: collections.abc.Collection[str],
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
            half_life_s = max(
                searcher_state.MIN_LATENCY_HALF_LIFE_S,
                _LATENCY_HALF_LIFE_SENDS * self._send_interval.mean_s,
            )
            for state in candidates:
                state.latency_half_life_s = half_life_s
            cost = self._policy.cost
            best = min(
                candidates,
                key=lambda s: (cost(s, now_s), self._rng.random()),
            )
            self._next_key += 1
            best.start(self._next_key, now_s, median_s)
            return Choice(best, self._next_key, len(candidates))

    def finish(
        self, choice: Choice, result: searcher_state.SendResult
    ) -> None:
        """Record the result of a send."""
        with self._lock:
            if result.leaving or result.pause_s > 0:
                # The record may have been discarded while the searcher was
                # not registered.
                choice.state.availability = self._availability.of(
                    choice.state.registration.lifetime
                )
            choice.state.finish(choice.key, result, self._clock.monotonic())
            self._run_capacity_callbacks()

    def set_cold(self, state: SearcherState, seconds: float) -> None:
        """Mark a searcher as cold after it has reported so."""
        with self._lock:
            state.warm_up.set_cold(self._clock.monotonic() + seconds)

    def count_request(self) -> None:
        """Count the first send of a request towards the extra budget."""
        with self._lock:
            now_s = self._clock.monotonic()
            self._extra.count_request(now_s)
            self._send_interval.record(now_s)

    def try_extra(self, reserve: float = 0.0) -> bool:
        """Spend one extra send from this host's share of the budget.

        :param reserve: fraction of the slack that must remain.
        """
        slack = self._share.extra_slack * (1 - reserve) + self._rounding
        with self._lock:
            return self._extra.try_spend(self._clock.monotonic(), slack=slack)

    def notify_on_capacity(
        self, callback: collections.abc.Callable[[], None]
    ) -> None:
        """Call ``callback`` once when a searcher may have capacity again."""
        with self._lock:
            self._capacity_callbacks.append(callback)

    def available_at_s(self) -> float | None:
        """Return when the first searcher ends its backoff or its pause.

        :return: None if there is no searcher to wait for.
        """
        with self._lock:
            return self._first_available_s()

    def retry_delay_s(self) -> float:
        """Return the seconds after which a refused caller should return.

        It is the time until the first backoff or pause of a searcher ends;
        the time after a pause differs between callers.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            first_s = self._first_available_s()
            if first_s is None:
                return _DEFAULT_RETRY_DELAY_S
            delay_s = max(0.0, first_s - now_s)
            if any(
                s.availability.paused_until_s > now_s
                for s in self._states.values()
            ):
                delay_s *= self._rng.uniform(1.0, 1.0 + _PAUSE_SPREAD)
        return delay_s

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
        self, excluded: collections.abc.Collection[str], now_s: float
    ) -> list[SearcherState] | NoChoice:
        states = list(self._states.values())
        if not states:
            return NoChoice.NONE_REGISTERED
        # If this host has no share of the connections of any searcher, use
        # all of them: its requests would fail otherwise.
        shared = [s for s in states if s.connections > 0] or states
        allowed = self._permitted(shared, excluded, now_s)
        if len(shared) < len(states) and self._needs_others(
            shared, allowed, excluded, now_s
        ):
            allowed = self._permitted(states, excluded, now_s)
        return allowed or self._reason_of_none(shared, excluded, now_s)

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

    def _needs_others(
        self,
        shared: list[SearcherState],
        allowed: list[SearcherState],
        excluded: collections.abc.Collection[str],
        now_s: float,
    ) -> bool:
        """Whether to use searchers that are left to other hosts.

        Where searchers accept fewer connections than there are hosts, a host
        may have a share of only one or two searchers of a service. A first
        send waits for one of them as long as they are merely busy.
        """
        if allowed:
            cost = self._policy.cost
            return min(cost(s, now_s) for s in allowed) >= _SLOW_COST
        return bool(excluded) or not any(s.may_receive(now_s) for s in shared)

    def _reason_of_none(
        self,
        states: list[SearcherState],
        excluded: collections.abc.Collection[str],
        now_s: float,
    ) -> NoChoice:
        """Return which condition excludes the last of the searchers."""
        filters = (
            (NoChoice.LEAVING, lambda s: not s.availability.leaving),
            (NoChoice.ALL_TRIED, lambda s: s.name not in excluded),
            (NoChoice.PAUSED, lambda s: s.availability.permits_request(now_s)),
            (NoChoice.BACKING_OFF, lambda s: s.retry_at_s <= now_s),
            (NoChoice.COLD, lambda s: self._within_cold_rate(s, now_s)),
            (NoChoice.FULL, lambda s: s.has_capacity),
        )
        for reason, allowed in filters:
            states = [s for s in states if allowed(s)]
            if not states:
                return reason
        # The share of a cold searcher grows when a host leaves meanwhile.
        return NoChoice.COLD

    def _first_available_s(self) -> float | None:
        return min(
            (
                s.available_at_s
                for s in self._states.values()
                if not s.availability.leaving
            ),
            default=None,
        )

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
