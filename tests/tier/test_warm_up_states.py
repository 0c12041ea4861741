"""State machine test: hosts share the request rate of a cold searcher."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import fleet_share
from corianderport_tier.process import warm_up

_HOSTS = 6
_RATE = 4.0
_BOUND = _RATE * 1.5 + 5
_BOUNDS = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5, expected_hosts=_HOSTS)
_NAMES = tuple(f'h{n}' for n in range(_HOSTS))
_HOST = strategies.integers(0, _HOSTS - 1)


class ColdSearcher(stateful.RuleBasedStateMachine):
    """Hosts that send at their full rate while their views differ."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.sent_s: list[float] = []
        self.views = [set(_NAMES) for _ in _NAMES]
        self.warm_ups = [self._cold_searcher() for _ in _NAMES]
        self.restarted = False

    def _cold_searcher(self) -> warm_up.WarmUp:
        searcher = warm_up.WarmUp()
        searcher.set_cold(1e9)
        return searcher

    def _share(self, host: int) -> fleet_share.FleetShare:
        return fleet_share.FleetShare(
            _BOUNDS,
            _NAMES[host],
            lambda: tuple(sorted(self.views[host])),
            clock_module.ManualClock(),
        )

    @stateful.rule(host=_HOST, tries=strategies.integers(1, 20))
    def send(self, host: int, tries: int) -> None:
        """Send until the host's share is used up."""
        rate = self._share(host).cold_rate('s1', _RATE)
        for _ in range(tries):
            if self.warm_ups[host].may_send(self.now_s, rate):
                self.warm_ups[host].record_send(self.now_s)
                self.sent_s.append(self.now_s)

    @stateful.rule(host=_HOST, other=_HOST)
    def remove_from_view(self, host: int, other: int) -> None:
        """A host drops another one from its view."""
        if host != other:
            self.views[host].discard(_NAMES[other])

    @stateful.rule(host=_HOST)
    def restore_view(self, host: int) -> None:
        """A host has all others in its view again."""
        self.views[host] = set(_NAMES)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.3, 0.9, 1.2]))
    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.now_s += seconds

    @stateful.invariant()
    def any_second_stays_within_the_bound(self) -> None:
        for at_s in self.sent_s[-40:]:
            inside = sum(at_s <= s < at_s + 1.0 for s in self.sent_s)
            assert inside <= _BOUND


ColdSearcher.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestColdSearcher = ColdSearcher.TestCase
