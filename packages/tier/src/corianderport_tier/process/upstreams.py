"""corianderport_tier.process.upstreams

Load balancing of requests over the searchers of one service.
"""

import collections.abc
import random
import threading

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import budgets
from corianderport_tier.process import capacity_queue
from corianderport_tier.process import latency
from corianderport_tier.process import outcomes
from corianderport_tier.process import selection
from corianderport_tier.process import service_budgets
from corianderport_tier.process import upstream as upstream_module
from corianderport_tier.process import warming_hosts
from corianderport_tier.version import configuration

__all__ = ['ServiceUpstreams']

Upstream = upstream_module.Upstream
SearcherFilter = collections.abc.Callable[[configuration.Searcher], bool]


class ServiceUpstreams:
    """The searchers of one service and the requests waiting for them.

    :param shared_budget: budget for extra sub-requests of all services.
    :param hosts: tells whether this host is the one that warms up a given
        searcher. A searcher that may just have been restarted can handle
        only one request at a time, so the other hosts avoid it as long as
        they have another searcher.
    """

    def __init__(
        self,
        service: configuration.Service,
        policy: selection.SelectionPolicy,
        rng: random.Random,
        clock: clocks.Clock,
        shared_budget: budgets.HostBudget | None = None,
        hosts: warming_hosts.SharingHosts | None = None,
    ) -> None:
        self._name = service.name
        self._policy = policy
        self._rng = rng
        self._clock = clock
        self._hosts = warming_hosts.SingleHost() if hosts is None else hosts
        self._lock = threading.Lock()
        self._upstreams: dict[str, Upstream] = {}
        self._removed_upstreams: dict[str, Upstream] = {}
        self._queue = capacity_queue.CapacityQueue()
        self._window = latency.LatencyWindow()
        self._budgets = service_budgets.ServiceBudgets(shared_budget)
        self.backoff = budgets.Backoff(rng)
        self.update(service)

    @property
    def attempt_times(self) -> latency.AttemptTimes:
        """When to hedge an attempt and when to abandon it."""
        return self._window.times

    def update(
        self,
        service: configuration.Service,
        in_service: SearcherFilter | None = None,
    ) -> None:
        """Apply a new version; searchers that stay keep their state.

        A searcher that returns to service starts at the lowest limit.
        """
        with self._lock:
            now_s = self._clock.monotonic()
            previous = {**self._removed_upstreams, **self._upstreams}
            added_later = bool(self._upstreams)
            self._upstreams = {}
            for searcher in service.searchers:
                upstream = previous.get(searcher.name)
                if upstream is None or not upstream.has_address_of(searcher):
                    upstream = Upstream(searcher, self._rng)
                    if added_later:
                        upstream.record_possible_restart(now_s)
                permitted = in_service is None or in_service(searcher)
                upstream.update(
                    searcher, service.limits.slots, permitted, now_s
                )
                self._upstreams[searcher.name] = upstream
            # Requests to a removed searcher may still be running when it is
            # added again.
            self._removed_upstreams = {
                name: upstream
                for name, upstream in previous.items()
                if name not in self._upstreams and upstream.load(now_s) > 0
            }
            self._grant()

    def try_acquire(
        self,
        allowed: SearcherFilter,
        excluded: collections.abc.Container[str] = (),
    ) -> Upstream | None:
        """Choose a searcher with capacity and start a request on it.

        :param allowed: returns whether a searcher may receive requests.
        :param excluded: names of searchers that have already been tried.
        """
        with self._lock:
            chosen = self._choose(allowed, excluded)
            if chosen is not None:
                chosen.start(self._clock.monotonic())
            return chosen

    def try_hedge(
        self,
        allowed: SearcherFilter,
        excluded: collections.abc.Container[str],
    ) -> Upstream | None:
        """Acquire another replica for a hedge, within the budget."""
        with self._lock:
            now_s = self._clock.monotonic()
            chosen = self._choose_ready(allowed, excluded, now_s)
            if chosen is None or not self._budgets.try_hedge(now_s):
                return None
            chosen.start(now_s)
            return chosen

    def try_probe(
        self,
        allowed: SearcherFilter,
        excluded: collections.abc.Container[str],
    ) -> Upstream | None:
        """Acquire a searcher on probation for a copy of a request."""
        if all(u.health.normal for u in list(self._upstreams.values())):
            return None
        with self._lock:
            now_s = self._clock.monotonic()
            for upstream in self._eligible(allowed, excluded, now_s):
                if upstream.can_accept_probe(
                    now_s
                ) and self._budgets.try_probe(now_s):
                    upstream.start(now_s)
                    return upstream
            return None

    def count_request(self) -> None:
        """Count a regular sub-request; the budgets are a share of these."""
        with self._lock:
            self._budgets.count_request(self._clock.monotonic())

    def try_retry(self) -> bool:
        """Spend budget on a retry of a request that did not run."""
        with self._lock:
            return self._budgets.try_retry(self._clock.monotonic())

    def try_retry_running(self) -> bool:
        """Spend budget on a retry of a request that may be running."""
        with self._lock:
            return self._budgets.try_retry_running(self._clock.monotonic())

    def can_replace_attempt(
        self, upstream: Upstream, allowed: SearcherFilter
    ) -> bool:
        """Whether a retry could be sent once an attempt was abandoned.

        :param upstream: the searcher of the attempt.
        """
        with self._lock:
            if not upstream.slow_start.lowest:
                return True
            # A cold searcher stays occupied until the deadline of the
            # abandoned request.
            now_s = self._clock.monotonic()
            return any(
                u is not upstream and u.free_after_replies(now_s)
                for u in self._candidates(allowed, (), now_s)
            )

    def may_send(self, upstream: Upstream, allowed: SearcherFilter) -> bool:
        """Whether a request may still be sent to an acquired searcher."""
        with self._lock:
            current = self._upstreams.get(upstream.name)
            return current is upstream and allowed(upstream.searcher)

    def release(
        self,
        upstream: Upstream,
        latency_s: float | None,
        outcome: outcomes.Outcome | None = None,
    ) -> None:
        """Record the end of a request and serve waiting ones.

        :param latency_s: latency in seconds; None without a reply.
        :param outcome: how it ended; derived from the latency if None.
        """
        if outcome is None:
            outcome = _outcome_of_latency(latency_s)
        with self._lock:
            now_s = self._clock.monotonic()
            self._record_latency(outcome)
            upstream.finish(outcome, self._baseline(upstream), now_s)
            self._grant()

    def confirm_cancelled(self, upstream: Upstream, attempt_id: str) -> bool:
        """Record a confirmed cancellation.

        :return: whether the connection of the attempt may be closed. At the
            lowest limit the reply is awaited instead, because only the
            reply shows that the searcher has stopped.
        """
        with self._lock:
            upstream.occupancy.confirm_cancelled(attempt_id)
            self._grant()
            return not upstream.slow_start.lowest

    def add_waiter(self, entry: capacity_queue.QueuedRequest) -> None:
        """Queue a request until it is granted a searcher or refused.

        :raises NoUpstream: no searcher is left to try.
        :raises Overloaded: the request cannot finish by its deadline.
        """
        with self._lock:
            eligible = self._eligible(
                entry.allowed, entry.excluded, self._clock.monotonic()
            )
            if not eligible:
                raise errors.NoUpstream('no searcher is left to try')
            median_s = self._window.times.median_s
            self._queue.check(entry, eligible, median_s, self._clock)
            self._queue.add(entry)
            # Capacity may have become available since the last attempt.
            self._grant()

    def discard_waiter(self, waiter: capacity_queue.CapacityWaiter) -> None:
        """Remove a request that has ended from the queue."""
        with self._lock:
            self._queue.discard(waiter)

    def poll(self) -> None:
        """Serve waiting requests if capacity has become free without a reply.

        A backoff may have ended, or an abandoned request may have expired.
        """
        with self._lock:
            self._grant()

    def next_change_s(self) -> float | None:
        """Return when capacity may appear without a reply; None if never."""
        with self._lock:
            now_s = self._clock.monotonic()
            change_times_s = [
                u.next_change_s(now_s) for u in self._upstreams.values()
            ]
        return min(
            (at_s for at_s in change_times_s if at_s is not None), default=None
        )

    def candidates(
        self,
        allowed: SearcherFilter,
        excluded: collections.abc.Container[str] = (),
    ) -> list[Upstream]:
        """Return the searchers that a request may wait for."""
        with self._lock:
            return self._candidates(allowed, excluded, self._clock.monotonic())

    def states(self) -> list[Upstream]:
        """Return all searchers, for the administration interface."""
        with self._lock:
            return list(self._upstreams.values())

    def record_superseded(self, upstream: Upstream) -> None:
        """Record that a later attempt at a replica was answered first."""
        with self._lock:
            baseline = self._baseline(upstream)
            upstream.on_superseded(baseline, self._clock.monotonic())

    def _candidates(
        self,
        allowed: SearcherFilter,
        excluded: collections.abc.Container[str],
        now_s: float,
    ) -> list[Upstream]:
        return [
            u
            for u in self._eligible(allowed, excluded, now_s)
            if u.health.normal or u.health.probe_due(now_s)
        ]

    def _eligible(
        self,
        allowed: SearcherFilter,
        excluded: collections.abc.Container[str],
        now_s: float,
    ) -> list[Upstream]:
        permitted = [
            u for u in self._upstreams.values() if allowed(u.searcher)
        ]
        left_to_others = {
            u.name
            for u in permitted
            if u.may_have_restarted(now_s)
            and not self._hosts.should_warm_up(u.searcher)
        }
        if any(
            u.health.normal and u.name not in left_to_others for u in permitted
        ):
            permitted = [u for u in permitted if u.name not in left_to_others]
        return [u for u in permitted if u.name not in excluded]

    def _choose(
        self,
        allowed: SearcherFilter,
        excluded: collections.abc.Container[str],
    ) -> Upstream | None:
        now_s = self._clock.monotonic()
        chosen = self._choose_ready(allowed, excluded, now_s)
        if chosen is not None:
            return chosen
        eligible = self._eligible(allowed, excluded, now_s)
        if any(u.health.normal for u in eligible):
            return None
        # All remaining searchers are failing, slow or draining; probe one if
        # its backoff has ended.
        due = [u for u in eligible if u.can_accept_probe(now_s)]
        return self._policy.choose(due, self._rng) if due else None

    def _choose_ready(
        self,
        allowed: SearcherFilter,
        excluded: collections.abc.Container[str],
        now_s: float,
    ) -> Upstream | None:
        ready = [
            u
            for u in self._eligible(allowed, excluded, now_s)
            if u.can_accept_request(now_s)
        ]
        # Prefer searchers that this host warms up: the other hosts avoid them
        # until they are warm.
        ready = [u for u in ready if u.restart_confirmed(now_s)] or ready
        for upstream in ready:
            upstream.refresh_expected_latency(now_s)
        return self._policy.choose(ready, self._rng) if ready else None

    def _grant(self) -> None:
        """Grant capacity to waiting requests, in order of deadline."""
        if not self._queue:
            return
        for entry in self._queue:
            if not self._can_finish(entry):
                self._queue.remove(entry)
                entry.waiter.capacity_granted(self._name, None)
                continue
            chosen = self._choose(entry.allowed, entry.excluded)
            if chosen is None:
                if not self._any_capacity():
                    return
                continue
            self._queue.remove(entry)
            chosen.start(self._clock.monotonic())
            if not entry.waiter.capacity_granted(self._name, chosen):
                chosen.finish(
                    _outcome_of_latency(None),
                    upstream_module.LatencyBaseline(),
                    self._clock.monotonic(),
                )

    def _any_capacity(self) -> bool:
        now_s = self._clock.monotonic()
        return any(
            u.can_accept_request(now_s) or u.can_accept_probe(now_s)
            for u in self._upstreams.values()
        )

    def _can_finish(self, entry: capacity_queue.QueuedRequest) -> bool:
        median_s = self._window.times.median_s
        return entry.deadline.remaining(self._clock) > median_s

    def _record_latency(self, outcome: outcomes.Outcome) -> None:
        # The elapsed time of an abandoned request is a lower bound. Without
        # it, no latency would be recorded while all searchers are slow.
        if (
            outcome.kind is outcomes.OutcomeKind.ANSWERED
            or outcome.kind.may_be_running
        ):
            self._window.record(outcome.elapsed_s)

    def _baseline(self, upstream: Upstream) -> upstream_module.LatencyBaseline:
        return upstream_module.LatencyBaseline.of(
            upstream, self._upstreams.values()
        )


def _outcome_of_latency(latency_s: float | None) -> outcomes.Outcome:
    if latency_s is None:
        return outcomes.Outcome(outcomes.OutcomeKind.NOT_SENT)
    return outcomes.Outcome(outcomes.OutcomeKind.ANSWERED, latency_s)
