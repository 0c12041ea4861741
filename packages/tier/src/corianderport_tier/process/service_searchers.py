"""corianderport_tier.process.service_searchers

Load balancing of requests over the searchers of one service.
"""

import collections.abc
import math
import random
import threading

from corianderport_tier import clocks
from corianderport_tier.process import candidates
from corianderport_tier.process import capacity_waits
from corianderport_tier.process import cost_estimates
from corianderport_tier.process import extra_shares
from corianderport_tier.process import fleet_share
from corianderport_tier.process import placement
from corianderport_tier.process import ratings
from corianderport_tier.process import rendezvous
from corianderport_tier.process import retry_delays
from corianderport_tier.process import searcher_state
from corianderport_tier.process import send_choice
from corianderport_tier.process import send_interval
from corianderport_tier.process import send_order
from corianderport_tier.process import stated_availability
from corianderport_tier.process import workspace_shares
from corianderport_tier.version import registrations
from corianderport_tier.version import routes

__all__ = ['Choice', 'NoChoice', 'OpenPool', 'ServiceSearchers']

SearcherState = searcher_state.SearcherState
NoChoice = candidates.NoChoice
# Half-life of the knowledge of a searcher's latency, in sends of this host to
# the service. A host with little traffic would otherwise have forgotten which
# searchers are slow whenever it sends again.
_LATENCY_HALF_LIFE_SENDS = 4
# Idle time of connections to searchers of this host's share, and of those to
# other searchers. The latter are few at any time if they are closed soon, so
# that they fit into what the shares leave of a searcher's connections.
_IDLE_S = 20.0
_OVERFLOW_IDLE_S = 0.5

Choice = send_choice.Choice
OpenPool = collections.abc.Callable[
    [registrations.Registration, int], searcher_state.SendPool
]


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
        placement_setting: placement.PlacementSetting | None = None,
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
        self._waits = capacity_waits.CapacityWaits()
        self._extra = extra_shares.ExtraSends(share, rng)
        self._send_interval = send_interval.SendInterval()
        self._shares = workspace_shares.WorkspaceShares()
        self._filter = candidates.CandidateFilter(share)
        self._placement = placement_setting or placement.PlacementSetting()
        self._policy = placement.policy(placement.LEAST_LOADED)

    def update(
        self,
        parameters: routes.ServiceParameters | None,
        registered: collections.abc.Iterable[registrations.Registration],
        cold: collections.abc.Container[str] = (),
        mixed_ranks: bool = False,
        by_urgency: bool = False,
    ) -> None:
        """Replace the set of searchers that may receive requests.

        :param registered: registrations of the searchers.
        :param cold: data centres whose searchers are treated as cold, because
            they have returned to service.
        :param mixed_ranks: whether routes of the highest priority share the
            service with others.
        :param by_urgency: whether waiting sends are served by urgency, since
            the requests of the service may have different priorities.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            self._extra.update()
            self._waits.set_order(
                send_order.URGENCY if by_urgency else send_order.ARRIVAL
            )
            if parameters is not None:
                self._parameters = parameters
                self._filter.cold_rate = parameters.cold_rate
            policy_name = self._placement.policy_name(mixed_ranks)
            if policy_name != self._policy.name:
                self._policy = placement.policy(policy_name)
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
                state.set_registration(
                    registration, self._own_data_centre, self._share.hosts
                )
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
            self._order_searchers()
            self._shares.set_slots(
                (s.registration.slots for s in self._states.values()),
                self._share.hosts,
            )
            self._availability.discard_obsolete(
                {s.registration.lifetime for s in self._states.values()},
                now_s,
            )
            self._serve_waiting(now_s)

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
        request_class: cost_estimates.RequestClass,
        workspace: str | None = None,
    ) -> Choice | NoChoice:
        """Choose the searcher with the lowest cost and start a send to it.

        :param excluded: names of searchers that must not be chosen.
        :param workspace: workspace of the request, None if it has none.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            # Searchers may have ended their backoff since the last result.
            self._serve_waiting(now_s)
            return self._choose(excluded, request_class, workspace, now_s)

    def ratings(
        self, request_class: cost_estimates.RequestClass
    ) -> ratings.ServiceRatings:
        """Return how ``choose`` rates the searchers now; change nothing."""
        now_s = self._clock.monotonic()
        with self._lock:
            half_life_s = self._half_life_s()
            return ratings.ServiceRatings(
                self.name,
                self._policy.name,
                self._extra.permitted(now_s),
                tuple(
                    ratings.rate(
                        self._policy,
                        state,
                        excluded,
                        request_class,
                        half_life_s,
                        now_s,
                    )
                    for state, excluded in self._filter.exclusions(
                        self._states.values(), (), now_s
                    )
                ),
            )

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
            now_s = self._clock.monotonic()
            choice.state.finish(choice.key, result, now_s)
            self._shares.finish(
                choice.workspace, choice.request_class, result.elapsed_s, now_s
            )
            self._serve_waiting(now_s)

    def take_back(self, choice: Choice) -> None:
        """Release a chosen searcher to which nothing is sent."""
        self.finish(choice, searcher_state.SendResult(failed=False))

    def set_cold(self, state: SearcherState, seconds: float) -> None:
        """Mark a searcher as cold after it has reported so."""
        with self._lock:
            state.warm_up.set_cold(self._clock.monotonic() + seconds)

    def arrive(self, workspace: str, calm_s: float) -> None:
        """Record a workspace's request before its first send.

        :param calm_s: mean run time of such requests without overload.
        """
        with self._lock:
            self._shares.arrive(workspace, calm_s, self._clock.monotonic())

    def count_request(self, workspace: str | None = None) -> None:
        """Count the first send of a request towards the extra budget."""
        with self._lock:
            now_s = self._clock.monotonic()
            self._extra.count_request(workspace, now_s)
            self._send_interval.record(now_s)

    def try_extra(
        self, reserve: float = 0.0, workspace: str | None = None
    ) -> bool:
        """Spend one extra send from this host's share of the budget.

        :param reserve: fraction of the slack that must remain.
        """
        with self._lock:
            now_s = self._clock.monotonic()
            return self._extra.try_spend(reserve, workspace, now_s)

    def wait_for_capacity(self, send: send_order.WaitingSend) -> None:
        """Notify a send when it is given capacity at a searcher.

        The send is notified at once if there is capacity.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            self._waits.add(send, now_s)
            self._serve_waiting(now_s)

    def stop_waiting(self, send: send_order.WaitingSend) -> None:
        """Remove a waiting send, or take back the capacity it was given.

        Not called for a send whose capacity is in use.
        """
        with self._lock:
            if self._waits.remove(send):
                return
        if send.choice is not None:
            self.take_back(send.choice)

    def available_at_s(self) -> float | None:
        """Return when the first searcher ends its backoff or its pause.

        :return: None if there is no searcher to wait for.
        """
        with self._lock:
            return retry_delays.available_at_s(self._states.values())

    def retry_delay_s(self) -> float:
        """Return the seconds after which a refused caller should return."""
        now_s = self._clock.monotonic()
        with self._lock:
            return retry_delays.retry_delay_s(
                self._states.values(), now_s, self._rng
            )

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        for state in tuple(self._states.values()):
            state.pool.close_expired()

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            states, self._states = self._states, {}
        for state in states.values():
            state.pool.close()

    def _serve_waiting(self, now_s: float) -> None:
        if self._waits:
            self._waits.serve(self._choose, now_s)

    def _choose(
        self,
        excluded: collections.abc.Collection[str],
        request_class: cost_estimates.RequestClass,
        workspace: str | None,
        now_s: float,
    ) -> Choice | NoChoice:
        if not self._shares.permits(workspace, now_s):
            return NoChoice.SHARE
        found = self._filter.candidates(self._states.values(), excluded, now_s)
        if isinstance(found, NoChoice):
            if found is NoChoice.FULL:
                self._shares.note_full(now_s)
            return found
        expected_s = request_class.expected_s
        half_life_s = self._half_life_s()
        policy = self._policy
        cost, random = policy.cost, self._rng.random
        best, best_rating = found[0], (math.inf, 0.0)
        for state in found:
            state.latency_half_life_s = half_life_s
            # Ties are broken at random.
            rating = (cost(state, request_class, now_s), random())
            if rating < best_rating:
                best, best_rating = state, rating
        outstanding_s = best.outstanding_s(now_s)
        self._next_key += 1
        best.start(
            self._next_key,
            now_s,
            policy.reference_s(request_class),
            expected_s,
        )
        policy.record(request_class)
        self._shares.start(workspace, request_class.calm_s, now_s)
        return Choice(
            best,
            self._next_key,
            policy,
            expected_s,
            outstanding_s,
            request_class,
            workspace,
        )

    def _half_life_s(self) -> float:
        return max(
            searcher_state.MIN_LATENCY_HALF_LIFE_S,
            _LATENCY_HALF_LIFE_SENDS * self._send_interval.mean_s,
        )

    def _order_searchers(self) -> None:
        """Give each searcher its position in the order of all hosts."""
        ordered = sorted(
            self._states.values(),
            key=lambda s: rendezvous.weight(self.name, s.name),
        )
        for position, state in enumerate(ordered):
            state.set_position(position, len(ordered))

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
