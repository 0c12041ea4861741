"""corianderport_tier.process.upstreams

State of the searchers of one service that this host owns.
"""

import collections
import collections.abc
import random
import threading
import typing

from corianderport_tier.process import selection
from corianderport_tier.version import configuration

__all__ = ['CapacityWaiter', 'ServiceUpstreams', 'Upstream']

_LATENCY_WEIGHT = 0.2


class CapacityWaiter(typing.Protocol):
    """A request that waits for room at a searcher."""

    def capacity_freed(self, service: str) -> None:
        """Learn that a searcher of the service has room."""


class Upstream:
    """Load and latency of one searcher."""

    def __init__(self, searcher: configuration.Searcher, limit: int) -> None:
        self.searcher = searcher
        self.limit = limit
        self._in_flight = 0
        self._latency_s = 0.0

    @property
    def name(self) -> str:
        """Name of the searcher."""
        return self.searcher.name

    @property
    def in_flight(self) -> int:
        """Requests at the searcher now."""
        return self._in_flight

    @property
    def latency_s(self) -> float:
        """Moving average of the latency, seconds."""
        return self._latency_s

    @property
    def has_room(self) -> bool:
        """Whether one more request may be sent."""
        return self._in_flight < self.limit

    def start(self) -> None:
        """Count a request that is about to be sent."""
        self._in_flight += 1

    def finish(self, latency_s: float | None) -> None:
        """Count a request that ended; None when it has no latency."""
        self._in_flight -= 1
        if latency_s is None:
            return
        if self._latency_s == 0.0:
            self._latency_s = latency_s
        else:
            delta = latency_s - self._latency_s
            self._latency_s += _LATENCY_WEIGHT * delta


class ServiceUpstreams:
    """The searchers of one service and the requests that wait for them."""

    def __init__(
        self,
        service: configuration.Service,
        policy: selection.SelectionPolicy,
        rng: random.Random,
    ) -> None:
        self._name = service.name
        self._policy = policy
        self._rng = rng
        self._lock = threading.Lock()
        self._upstreams: dict[str, Upstream] = {}
        self._waiters: collections.deque[CapacityWaiter] = collections.deque()
        self.update(service)

    def update(self, service: configuration.Service) -> None:
        """Take over a new version; known searchers keep their state."""
        with self._lock:
            known = self._upstreams
            self._upstreams = {}
            for searcher in service.searchers:
                upstream = known.get(searcher.name)
                same = upstream is not None and (
                    upstream.searcher.address == searcher.address
                )
                if upstream is None or not same:
                    upstream = Upstream(searcher, service.limits.slots)
                upstream.searcher = searcher
                self._upstreams[searcher.name] = upstream

    def try_acquire(
        self,
        allowed: collections.abc.Callable[[configuration.Searcher], bool],
        excluded: collections.abc.Container[str] = (),
    ) -> Upstream | None:
        """Choose a searcher with room and count one request on it.

        :param allowed: whether a searcher may get work now.
        :param excluded: names of searchers that were tried already.
        """
        with self._lock:
            with_room = [
                u
                for u in self._upstreams.values()
                if u.has_room
                and u.name not in excluded
                and allowed(u.searcher)
            ]
            if not with_room:
                return None
            chosen = self._policy.choose(with_room, self._rng)
            chosen.start()
            return chosen

    def release(self, upstream: Upstream, latency_s: float | None) -> None:
        """Count the end of a request and tell the next waiter."""
        with self._lock:
            upstream.finish(latency_s)
            waiter = self._waiters.popleft() if self._waiters else None
        if waiter is not None:
            waiter.capacity_freed(self._name)

    def add_waiter(self, waiter: CapacityWaiter) -> None:
        """Tell this request once when a searcher has room."""
        with self._lock:
            self._waiters.append(waiter)

    def candidates(
        self,
        allowed: collections.abc.Callable[[configuration.Searcher], bool],
    ) -> list[Upstream]:
        """Return the searchers that may get work, with or without room."""
        with self._lock:
            return [u for u in self._upstreams.values() if allowed(u.searcher)]
