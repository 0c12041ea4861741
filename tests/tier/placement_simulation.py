"""Simulates hosts that share searchers, on simulated time.

The hosts choose with the real ``ServiceSearchers``. The searchers run a
bounded number of requests at once and queue the others in order of arrival.
"""

import collections
import collections.abc
import heapq
import itertools
import random

import attrs

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import cost_estimates
from corianderport_tier.process import fleet_share
from corianderport_tier.process import placement
from corianderport_tier.process import route_latency
from corianderport_tier.process import searcher_state
from corianderport_tier.process import send_order
from corianderport_tier.process import service_searchers
from corianderport_tier.version import routes

from . import entries

BOUNDS = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5)
_NETWORK_S = 0.0005
_SLOTS = 4

Work = collections.abc.Callable[[random.Random, float], float]


@attrs.frozen
class Kind:
    """Requests of one kind.

    ``load`` is the part of all slots that they need; ``work`` returns the
    seconds that one request needs, from the part of the run that has passed.
    """

    name: str
    route: routes.Route
    path: str
    work: Work
    mean_s: float
    load: float


@attrs.frozen
class Case:
    """Hosts, searchers and requests of one simulation."""

    kinds: tuple[Kind, ...]
    hosts: int = 6
    speeds: tuple[float, ...] = (1.0, 1.0, 1.0)
    # By default enough for every host to use every searcher.
    connections: int = 2_000
    by_urgency: bool = False
    bounds: fleet_share.FleetBounds = BOUNDS
    # Replaces the expected run time of a class by a false one.
    falsify: collections.abc.Callable[['Kind', random.Random], float] | None
    falsify = None


class Pool:
    """Pool of a searcher to which nothing is sent."""

    def submit(self, job: object, reuse: object = None) -> None:
        raise AssertionError('nothing is sent here')

    def limit_connections(self, limit: int) -> None:
        return

    def limit_idle_time(self, idle_s: float) -> None:
        return

    def close(self) -> None:
        return


@attrs.define(eq=False)
class Request:
    """One send of a request."""

    kind: Kind
    work_s: float
    arrived_s: float
    host: '_Host'
    choice: service_searchers.Choice | None = None
    sent_s: float = 0.0


class _Searcher:
    """A searcher with slots and a queue."""

    def __init__(self, speed: float) -> None:
        self.speed = speed
        self.running = 0
        self.queue: collections.deque[Request] = collections.deque()


class _Host:
    def __init__(
        self,
        name: str,
        case: Case,
        policy: str,
        clock: clock_module.ManualClock,
        rng: random.Random,
        names: tuple[str, ...],
    ) -> None:
        self.share = fleet_share.FleetShare(
            case.bounds, name, lambda: names, clock
        )
        self.service = service_searchers.ServiceSearchers(
            'stock',
            'dc-a',
            self.share,
            lambda registration, limit: Pool(),
            clock,
            rng,
            placement.PlacementSetting(policy),
        )
        self.service.update(
            entries.parameters(connections=case.connections),
            [
                entries.registration(f's{n}', slots=_SLOTS)
                for n in range(len(case.speeds))
            ],
            by_urgency=case.by_urgency,
        )
        self.costs = cost_estimates.CostEstimates()
        self.latencies: dict[str, route_latency.RouteLatency] = {}
        self._falsify = case.falsify
        self._rng = rng

    def request_class(self, kind: Kind) -> cost_estimates.RequestClass:
        latency = self.latencies.setdefault(
            kind.route.name,
            route_latency.RouteLatency(0.25 * kind.route.goal_s),
        )
        found = self.costs.request_class(kind.route, latency, 0, kind.path)
        if self._falsify is not None:
            found.expected_s = self._falsify(kind, self._rng)
        return found


class Simulation:
    """Runs one case; ``latencies_s`` holds the results by kind."""

    def __init__(self, case: Case, policy: str, seed: int) -> None:
        self._case = case
        self._seed = seed
        self._clock = clock_module.ManualClock()
        names = tuple(f'h{n}' for n in range(case.hosts))
        choices = random.Random(seed + 1)
        self._hosts = [
            _Host(name, case, policy, self._clock, choices, names)
            for name in names
        ]
        self._searchers = [_Searcher(speed) for speed in case.speeds]
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._order = itertools.count()
        self.latencies_s: dict[str, list[float]] = {
            kind.name: [] for kind in case.kinds
        }
        # Requests that arrived, by kind.
        self.arrived = dict.fromkeys(self.latencies_s, 0)
        # Requests that were not sent within their timeouts, by kind.
        self.not_sent = dict.fromkeys(self.latencies_s, 0)
        # Longest wait for capacity at the host, by kind.
        self.longest_wait_s = dict.fromkeys(self.latencies_s, 0.0)

    def run(self, seconds: float) -> dict[str, list[float]]:
        """Return the latencies of the requests that arrive meanwhile."""
        start_s = self._clock.monotonic()
        self._create_arrivals(start_s, seconds)
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            if at_s > self._clock.monotonic():
                self._clock.advance(at_s - self._clock.monotonic())
            action()
        return self.latencies_s

    def _create_arrivals(self, start_s: float, seconds: float) -> None:
        slots = _SLOTS * sum(self._case.speeds)
        for kind in self._case.kinds:
            # Each kind has its own random numbers, so that its requests are
            # the same with and without the other kinds.
            rng = random.Random(f'{kind.name} {self._seed}')
            rate = kind.load * slots / kind.mean_s
            at_s = rng.expovariate(rate)
            while at_s < seconds:
                request = Request(
                    kind,
                    kind.work(rng, at_s / seconds),
                    start_s + at_s,
                    rng.choice(self._hosts),
                )
                self._at(request.arrived_s, lambda r=request: self._send(r))
                self.arrived[kind.name] += 1
                at_s += rng.expovariate(rate)

    def _at(
        self, at_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _send(self, request: Request) -> None:
        host = request.host
        host.service.count_request()
        request_class = host.request_class(request.kind)
        choice = host.service.choose((), request_class)
        if isinstance(choice, service_searchers.Choice):
            self._start(request, choice)
            return
        assert choice is service_searchers.NoChoice.FULL
        route = request.kind.route
        start_by_s = (
            request.arrived_s + route.goal_s - request_class.expected_s
        )
        send = send_order.WaitingSend(
            frozenset(),
            request_class,
            send_order.Urgency.of_request(
                route.rank, start_by_s, route.timeout_s
            ),
            lambda send: self._start(request, send.choice),
        )
        host.service.wait_for_capacity(send)
        self._at(
            request.arrived_s + route.timeout_s,
            lambda: self._give_up(request, send),
        )

    def _give_up(self, request: Request, send: send_order.WaitingSend) -> None:
        """End a request that has not been sent within its timeout."""
        if request.choice is not None:
            return
        request.host.service.stop_waiting(send)
        self.not_sent[request.kind.name] += 1

    def _start(
        self, request: Request, choice: service_searchers.Choice | None
    ) -> None:
        assert choice is not None
        request.choice = choice
        request.sent_s = self._clock.monotonic()
        self.longest_wait_s[request.kind.name] = max(
            self.longest_wait_s[request.kind.name],
            request.sent_s - request.arrived_s,
        )
        self._at(request.sent_s + _NETWORK_S, lambda: self._arrive(request))

    def _searcher(self, request: Request) -> _Searcher:
        assert request.choice is not None
        return self._searchers[int(request.choice.state.name[1:])]

    def _arrive(self, request: Request) -> None:
        searcher = self._searcher(request)
        if searcher.running < _SLOTS:
            self._begin(searcher, request)
        else:
            searcher.queue.append(request)

    def _begin(self, searcher: _Searcher, request: Request) -> None:
        searcher.running += 1
        run_s = self._run_time_s(
            self._searchers.index(searcher), request.work_s / searcher.speed
        )
        self._at(
            self._clock.monotonic() + run_s,
            lambda: self._end(searcher, request),
        )

    def _run_time_s(self, number: int, work_s: float) -> float:
        """Return the time in which the searcher of a number does work."""
        return work_s

    def _end(self, searcher: _Searcher, request: Request) -> None:
        searcher.running -= 1
        if searcher.queue:
            self._begin(searcher, searcher.queue.popleft())
        self._at(
            self._clock.monotonic() + _NETWORK_S, lambda: self._reply(request)
        )

    def _reply(self, request: Request) -> None:
        host, kind = request.host, request.kind
        now_s = self._clock.monotonic()
        elapsed_s = now_s - request.sent_s
        latency = host.latencies[kind.route.name]
        assert request.choice is not None
        host.service.finish(
            request.choice,
            searcher_state.SendResult(
                failed=False,
                answered=True,
                elapsed_s=elapsed_s,
                median_s=request.choice.policy.reference_s(
                    host.request_class(kind)
                ),
            ),
        )
        host.request_class(kind).record(elapsed_s)
        latency.record(elapsed_s)
        self.latencies_s[kind.name].append(now_s - request.arrived_s)
