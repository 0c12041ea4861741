"""Random statements of searchers: no request is sent that they forbid.

The searchers of one service say that they leave or ask for a pause, register
with new lifetimes or addresses, and vanish and return in the list.
"""

import random

from hypothesis import stateful
from hypothesis import strategies

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import fleet_share
from corianderport_tier.process import searcher_state
from corianderport_tier.process import service_searchers
from corianderport_tier.version import registrations

from . import entries

_NAMES = ('s1', 's2', 's3')
_names = strategies.sampled_from(_NAMES)


class _Pool:
    def submit(self, job: object, reuse: object = None) -> None:
        raise AssertionError('nothing is sent here')

    def limit_connections(self, limit: int) -> None:
        return

    def limit_idle_time(self, idle_s: float) -> None:
        return

    def close(self) -> None:
        return


class StatedAvailabilityMachine(stateful.RuleBasedStateMachine):
    """Compares the choices with a record of all statements."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock_module.ManualClock()
        bounds = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5)
        self.service = service_searchers.ServiceSearchers(
            'stock',
            'dc-a',
            fleet_share.FleetShare(bounds, 'h1', lambda: ('h1',), self.clock),
            lambda registration, limit: _Pool(),
            self.clock,
            random.Random(1),
        )
        self.registered: dict[str, registrations.Registration] = {}
        self.started = dict.fromkeys(_NAMES, 1)
        self.sends: list[service_searchers.Choice] = []
        self.left: set[registrations.Lifetime] = set()
        self.paused_until_s: dict[registrations.Lifetime, float] = {}
        for name in _NAMES:
            self.list_searcher(name, 0)

    def _permitted(self, lifetime: registrations.Lifetime) -> bool:
        until_s = self.paused_until_s.get(lifetime, 0.0)
        return lifetime not in self.left and self.clock.monotonic() >= until_s

    def _update(self) -> None:
        self.service.update(
            entries.parameters(connections=120), self.registered.values()
        )

    @stateful.rule(name=_names, port=strategies.integers(0, 2))
    def list_searcher(self, name: str, port: int) -> None:
        self.registered[name] = entries.registration(
            name,
            address=f'127.0.0.1:{7_000 + port}',
            started_ms=self.started[name],
        )
        self._update()

    @stateful.rule(name=_names)
    def restart(self, name: str) -> None:
        self.started[name] += 1
        self.list_searcher(name, 0)

    @stateful.rule(name=_names)
    def remove(self, name: str) -> None:
        self.registered.pop(name, None)
        self._update()

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 5.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @stateful.rule()
    def choose(self) -> None:
        choice = self.service.choose((), entries.request_class(0.01))
        lifetimes = [r.lifetime for r in self.registered.values()]
        if isinstance(choice, service_searchers.NoChoice):
            # Nothing is refused while a searcher can serve.
            assert not any(map(self._permitted, lifetimes))
            return
        assert self._permitted(choice.state.registration.lifetime)
        assert self.service.may_send(choice.state)
        self.sends.append(choice)
        if len(self.sends) > 6:
            self.service.finish(
                self.sends.pop(0), searcher_state.SendResult(failed=False)
            )

    @stateful.precondition(lambda self: self.sends)
    @stateful.rule(
        index=strategies.integers(0, 5),
        leaving=strategies.booleans(),
        pause_s=strategies.sampled_from([0.0, 0.5, 3.0]),
    )
    def state(self, index: int, leaving: bool, pause_s: float) -> None:
        choice = self.sends.pop(index % len(self.sends))
        self.service.finish(
            choice,
            searcher_state.SendResult(
                failed=False, leaving=leaving, pause_s=pause_s
            ),
        )
        lifetime = choice.state.registration.lifetime
        if leaving:
            self.left.add(lifetime)
        if pause_s:
            until_s = self.clock.monotonic() + pause_s
            previous_s = self.paused_until_s.get(lifetime, 0.0)
            self.paused_until_s[lifetime] = max(previous_s, until_s)

    @stateful.invariant()
    def waiting_sends_obey_the_statements(self) -> None:
        for choice in self.sends:
            if self.service.may_send(choice.state):
                assert self._permitted(choice.state.registration.lifetime)


TestStatedAvailability = StatedAvailabilityMachine.TestCase
