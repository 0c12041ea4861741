"""State machine test: hosts share bounds on extra sends and connections."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import fleet_share
from corianderport_tier.process import service_searchers

from . import entries

_HOSTS = 6
_RATIO = 0.2
_SLACK = 52
_WINDOW_S = 10.0
_CONNECTIONS = 24
_BOUNDS = fleet_share.FleetBounds(
    _RATIO, _SLACK, _WINDOW_S, 1.5, 5, expected_hosts=_HOSTS
)
_NAMES = tuple(f'h{n}' for n in range(_HOSTS))
_HOST = strategies.integers(0, _HOSTS - 1)


class _Pool:
    limit = 0

    def submit(self, job: object, reuse: object = None) -> None:
        raise AssertionError('nothing is sent here')

    def limit_connections(self, limit: int) -> None:
        self.limit = limit

    def limit_idle_time(self, idle_s: float) -> None:
        return

    def close(self) -> None:
        return


class SharedBounds(stateful.RuleBasedStateMachine):
    """Hosts that use their whole share while views and processes change."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock_module.ManualClock()
        self.requests_s: list[float] = []
        self.extra_s: list[float] = []
        self.views: list[tuple[str, ...]] = [_NAMES for _ in _NAMES]
        self.pools: list[list[_Pool]] = [[] for _ in _NAMES]
        self.services = [self._service(n) for n in range(_HOSTS)]
        self.restarts_s: list[float] = []

    def _service(
        self, host: int, restarted: bool = False
    ) -> service_searchers.ServiceSearchers:
        share = fleet_share.FleetShare(
            _BOUNDS,
            _NAMES[host],
            lambda: self.views[host],
            self.clock,
            restarted,
        )
        self.pools[host] = []

        def open_pool(registration: object, limit: int) -> _Pool:
            self.pools[host].append(_Pool())
            return self.pools[host][-1]

        service = service_searchers.ServiceSearchers(
            'stock', 'dc-a', share, open_pool, self.clock, random.Random(1)
        )
        service.update(
            entries.parameters(connections=_CONNECTIONS),
            [entries.registration('s1')],
        )
        return service

    def _now_s(self) -> float:
        return self.clock.monotonic()

    @stateful.rule(host=_HOST, count=strategies.integers(1, 60))
    def serve(self, host: int, count: int) -> None:
        """A host receives requests from callers."""
        for _ in range(count):
            self.services[host].count_request()
            self.requests_s.append(self._now_s())

    @stateful.rule(host=_HOST, tries=strategies.integers(1, 40))
    def send_again(self, host: int, tries: int) -> None:
        """A host hedges and retries until its share is used up."""
        for _ in range(tries):
            if self.services[host].try_extra():
                self.extra_s.append(self._now_s())

    @stateful.rule(host=_HOST, other=_HOST)
    def remove_from_view(self, host: int, other: int) -> None:
        """A host drops another one from its view."""
        if host != other:
            self.views[host] = tuple(
                n for n in self.views[host] if n != _NAMES[other]
            )
            self._refresh(host)

    @stateful.rule(host=_HOST)
    def restore_view(self, host: int) -> None:
        """A host has all others in its view again."""
        self.views[host] = _NAMES
        self._refresh(host)

    def _refresh(self, host: int) -> None:
        self.services[host].update(None, [entries.registration('s1')])

    @stateful.precondition(
        lambda self: all(
            self._now_s() - at_s > _WINDOW_S for at_s in self.restarts_s[-1:]
        )
    )
    @stateful.rule(host=_HOST)
    def restart(self, host: int) -> None:
        """A restarted host loses the count of what it has spent."""
        self.restarts_s.append(self._now_s())
        self.views[host] = _NAMES
        self.services[host] = self._service(host, restarted=True)

    @stateful.rule(seconds=strategies.sampled_from([0.2, 0.9, 3.0, 7.0]))
    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.clock.advance(seconds)

    @stateful.invariant()
    def extra_sends_keep_to_the_bound(self) -> None:
        for from_s in self.extra_s[-30:]:
            spent = _count(self.extra_s, from_s)
            # Use the window with the most requests among this one and those
            # half a window and one window earlier.
            served = max(
                _count(self.requests_s, from_s - back_s)
                for back_s in (0.0, _WINDOW_S / 2, _WINDOW_S)
            )
            assert spent <= _RATIO * served + _SLACK

    @stateful.invariant()
    def connections_keep_to_the_bound(self) -> None:
        assert sum(p.limit for own in self.pools for p in own) <= _CONNECTIONS


def _count(times_s: list[float], from_s: float) -> int:
    return sum(from_s <= t < from_s + _WINDOW_S for t in times_s)


SharedBounds.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30
)
TestSharedBounds = SharedBounds.TestCase
