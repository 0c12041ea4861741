"""Simulates workspaces that share one service, on simulated time.

The hosts admit requests with the buckets of the real quotas and choose with
the real ``ServiceSearchers``. The searchers run a bounded number of requests
at once and queue the others in order of arrival.
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
from corianderport_tier.process import quota_bucket
from corianderport_tier.process import route_latency
from corianderport_tier.process import searcher_state
from corianderport_tier.process import send_order
from corianderport_tier.process import service_searchers
from corianderport_tier.process import workspace_shares
from corianderport_tier.version import workspaces

from . import entries
from . import placement_simulation

_FLEET = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5)
_QUOTAS = quota_bucket.QuotaBounds(5.0, 0.25, 20.0)
_NETWORK_S = 0.0005
_SEARCHERS = 3
SLOTS = 4
USABLE = workspace_shares._USABLE
_MEAN_S = 0.01
_URGENCY = send_order.Urgency(1, 0.0, 1e9)
_TIMEOUT_S = 0.5
_ROUTE = entries.route(goal_s=0.06, timeout_s=_TIMEOUT_S)


def varied(rng: random.Random) -> float:
    """Return a run time of an exponential distribution."""
    return rng.expovariate(1 / _MEAN_S)


def even(rng: random.Random) -> float:
    """Return a run time that is nearly the same for all requests."""
    return _MEAN_S * rng.uniform(0.8, 1.2)


@attrs.frozen
class Load:
    """Requests of one workspace.

    ``load`` is the part of all slots that they need. They come from
    ``begin_s`` on; ``rate_per_s`` is the quota, 0 if there is none. If
    ``callers`` is positive, so many callers send their next request when the
    previous one is answered or refused.
    """

    workspace: str
    load: float = 0.0
    rate_per_s: float = 0.0
    callers: int = 0
    begin_s: float = 0.0


@attrs.define
class Result:
    """What the requests of one workspace got."""

    sent: int = 0
    latencies_s: list[float] = attrs.Factory(list)

    @property
    def served(self) -> float:
        """Fraction of the requests that were answered in time."""
        return len(self.latencies_s) / max(1, self.sent)

    @property
    def p99_s(self) -> float:
        """Latency that 99 of 100 answered requests do not exceed."""
        ordered = sorted(self.latencies_s)
        return ordered[int(0.99 * len(ordered))]


@attrs.define(eq=False)
class _Request:
    load: Load
    work_s: float
    arrived_s: float
    host: '_Host'
    on_end: collections.abc.Callable[[], None] | None = None
    choice: service_searchers.Choice | None = None
    sent_s: float = 0.0
    ended: bool = False


class _Searcher:
    def __init__(self) -> None:
        self.running = 0
        self.queue: collections.deque[_Request] = collections.deque()


class _Host:
    def __init__(
        self,
        name: str,
        names: tuple[str, ...],
        connections: int,
        clock: clock_module.ManualClock,
        rng: random.Random,
    ) -> None:
        self.service = service_searchers.ServiceSearchers(
            'stock',
            'dc-a',
            fleet_share.FleetShare(_FLEET, name, lambda: names, clock),
            lambda registration, limit: placement_simulation.Pool(),
            clock,
            rng,
            placement.PlacementSetting(placement.LEAST_LOADED),
        )
        self.service.update(
            entries.parameters(connections=connections),
            [
                entries.registration(f's{n}', slots=SLOTS)
                for n in range(_SEARCHERS)
            ],
        )
        self.latency = route_latency.RouteLatency(0.25 * _ROUTE.goal_s)
        self._costs = cost_estimates.CostEstimates()
        self._buckets: dict[str, quota_bucket.QuotaBucket] = {}

    def request_class(self) -> cost_estimates.RequestClass:
        return self._costs.request_class(_ROUTE, self.latency, 0, '/find/x')

    def within_quota(self, load: Load, hosts: int, now_s: float) -> bool:
        """Take a token of this host's part of the quota."""
        if not load.rate_per_s:
            return True
        workspace = workspaces.Workspace(
            load.workspace, 0, load.rate_per_s, load.rate_per_s
        )
        share = _QUOTAS.share(workspace, hosts)
        bucket = self._buckets.setdefault(
            load.workspace, quota_bucket.QuotaBucket(share, now_s)
        )
        return bucket.take(share, 1, now_s) == 1


class Simulation:
    """Runs loads on hosts.

    :param connections: connections that a searcher accepts of all hosts.
    :param warm_up_s: requests that arrive before this time do not count.
    :param shared: whether the hosts are told the workspaces of requests.
    """

    def __init__(
        self,
        loads: collections.abc.Sequence[Load],
        seed: int,
        hosts: int = 6,
        connections: int = 100,
        warm_up_s: float = 2.0,
        work: collections.abc.Callable[[random.Random], float] = varied,
        shared: bool = True,
    ) -> None:
        self._loads = loads
        self._seed = seed
        self._warm_up_s = warm_up_s
        self._shared = shared
        self._work = work
        self._clock = clock_module.ManualClock()
        self._start_s = self._clock.monotonic()
        names = tuple(f'h{n}' for n in range(hosts))
        choices = random.Random(seed + 1)
        self._hosts = [
            _Host(name, names, connections, self._clock, choices)
            for name in names
        ]
        self._searchers = [_Searcher() for _ in range(_SEARCHERS)]
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._order = itertools.count()
        self._end_s = 0.0
        self.results = {load.workspace: Result() for load in loads}

    def run(self, seconds: float) -> dict[str, Result]:
        """Return the results of the requests that arrive meanwhile."""
        self._end_s = self._start_s + seconds
        for load in self._loads:
            # Each workspace has its own random numbers, so that its requests
            # are the same with and without the others.
            rng = random.Random(f'{load.workspace} {self._seed}')
            if load.load:
                self._create_arrivals(load, rng)
            for _ in range(load.callers):
                at_s = self._start_s + load.begin_s + rng.random() * 0.01
                self._at(at_s, lambda c=load, r=rng: self._call(c, r))
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            if at_s > self._clock.monotonic():
                self._clock.advance(at_s - self._clock.monotonic())
            action()
        return self.results

    def _create_arrivals(self, load: Load, rng: random.Random) -> None:
        rate = load.load * SLOTS * _SEARCHERS / _MEAN_S
        at_s = self._start_s + load.begin_s + rng.expovariate(rate)
        while at_s < self._end_s:
            request = self._request(load, rng, at_s)
            self._at(at_s, lambda r=request: self._serve(r))
            at_s += rng.expovariate(rate)

    def _call(self, load: Load, rng: random.Random) -> None:
        """Send the requests of one caller, one after the other."""
        now_s = self._clock.monotonic()
        if now_s >= self._end_s:
            return
        request = self._request(load, rng, now_s)
        # A refused caller waits for the shortest retry delay of a host.
        request.on_end = lambda: self._at(
            self._clock.monotonic() + (0.0 if request.choice else 0.05),
            lambda: self._call(load, rng),
        )
        self._serve(request)

    def _request(
        self, load: Load, rng: random.Random, at_s: float
    ) -> _Request:
        return _Request(load, self._work(rng), at_s, rng.choice(self._hosts))

    def _at(
        self, at_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _counts(self, request: _Request) -> bool:
        return request.arrived_s >= self._start_s + self._warm_up_s

    def _workspace(self, request: _Request) -> str | None:
        return request.load.workspace if self._shared else None

    def _serve(self, request: _Request) -> None:
        host = request.host
        now_s = self._clock.monotonic()
        if self._counts(request):
            self.results[request.load.workspace].sent += 1
        if not host.within_quota(request.load, len(self._hosts), now_s):
            self._end_request(request)
            return
        workspace = self._workspace(request)
        if workspace is not None:
            host.service.arrive(workspace, host.request_class().calm_s)
        host.service.count_request(workspace)
        self._at(now_s + _TIMEOUT_S, lambda: self._time_out(request))
        self._send(request)

    def _send(self, request: _Request) -> None:
        if request.ended:
            return
        service = request.host.service
        choice = service.choose(
            (), request.host.request_class(), self._workspace(request)
        )
        if choice is service_searchers.NoChoice.FULL:
            service.wait_for_capacity(
                send_order.WaitingSend(
                    frozenset(),
                    request.host.request_class(),
                    _URGENCY,
                    lambda send: self._at(
                        self._clock.monotonic(),
                        lambda: self._continue(request, send),
                    ),
                    self._workspace(request),
                )
            )
        elif isinstance(choice, service_searchers.NoChoice):
            self._end_request(request)
        else:
            self._start(request, choice)

    def _continue(
        self, request: _Request, send: send_order.WaitingSend
    ) -> None:
        if send.choice is None:
            self._send(request)
        elif request.ended:
            request.host.service.stop_waiting(send)
        else:
            self._start(request, send.choice)

    def _start(
        self, request: _Request, choice: service_searchers.Choice
    ) -> None:
        request.choice = choice
        request.sent_s = self._clock.monotonic()
        self._at(request.sent_s + _NETWORK_S, lambda: self._arrive(request))

    def _time_out(self, request: _Request) -> None:
        if request.choice is None:
            self._end_request(request)

    def _end_request(self, request: _Request) -> None:
        if request.ended:
            return
        request.ended = True
        if request.on_end is not None:
            request.on_end()

    def _searcher(self, request: _Request) -> _Searcher:
        assert request.choice is not None
        return self._searchers[int(request.choice.state.name[1:])]

    def _arrive(self, request: _Request) -> None:
        searcher = self._searcher(request)
        if searcher.running < SLOTS:
            self._begin(searcher, request)
        else:
            searcher.queue.append(request)

    def _begin(self, searcher: _Searcher, request: _Request) -> None:
        searcher.running += 1
        self._at(
            self._clock.monotonic() + request.work_s,
            lambda: self._end(searcher, request),
        )

    def _end(self, searcher: _Searcher, request: _Request) -> None:
        searcher.running -= 1
        if searcher.queue:
            self._begin(searcher, searcher.queue.popleft())
        self._at(
            self._clock.monotonic() + _NETWORK_S, lambda: self._reply(request)
        )

    def _reply(self, request: _Request) -> None:
        host = request.host
        now_s = self._clock.monotonic()
        elapsed_s = now_s - request.sent_s
        assert request.choice is not None
        host.service.finish(
            request.choice,
            searcher_state.SendResult(
                failed=False,
                answered=True,
                elapsed_s=elapsed_s,
                median_s=request.choice.policy.reference_s(
                    host.request_class()
                ),
            ),
        )
        host.request_class().record(elapsed_s)
        host.latency.record(elapsed_s)
        latency_s = now_s - request.arrived_s
        if latency_s <= _TIMEOUT_S and self._counts(request):
            result = self.results[request.load.workspace]
            result.latencies_s.append(latency_s)
        self._end_request(request)
