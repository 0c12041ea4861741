"""The explanation of a choice agrees with the choice."""

import random

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import fleet_share
from corianderport_tier.process import placement
from corianderport_tier.process import ratings
from corianderport_tier.process import searcher_state
from corianderport_tier.process import service_searchers

from . import entries
from . import placement_simulation

_BOUNDS = fleet_share.FleetBounds(0.2, 12, 10, 1.5, 5)
_NAMES = ('s1', 's2', 's3', 's4')


class _Run:
    """A service with a random history that depends on the seed alone."""

    def __init__(self, seed: int, policy: str) -> None:
        self.clock = clock_module.ManualClock()
        self.rng = random.Random(seed)
        self.sends: list[service_searchers.Choice] = []
        self.service = service_searchers.ServiceSearchers(
            'stock',
            'dc-a',
            fleet_share.FleetShare(_BOUNDS, 'h1', lambda: ('h1',), self.clock),
            lambda registration, limit: placement_simulation.Pool(),
            self.clock,
            random.Random(seed + 1),
            placement.PlacementSetting(policy),
        )
        self.classes = [
            entries.request_class(0.02, expected_s=s) for s in (0.01, 0.1)
        ]
        self.update()

    def update(self) -> None:
        registered = [
            entries.registration(
                name,
                data_centre=self.rng.choice(['dc-a', 'dc-b']),
                warm_up_left_s=self.rng.choice([0.0, 0.0, 1.0]),
            )
            for name in _NAMES
            if self.rng.random() < 0.9
        ]
        self.service.update(
            entries.parameters(connections=24, cold_rate=3.0), registered
        )

    def finish(self) -> None:
        choice = self.sends.pop(self.rng.randrange(len(self.sends)))
        result = searcher_state.SendResult(
            failed=self.rng.random() < 0.2,
            answered=self.rng.random() < 0.7,
            full=self.rng.random() < 0.1,
            elapsed_s=self.rng.expovariate(30.0),
            median_s=0.02,
            leaving=self.rng.random() < 0.01,
            pause_s=self.rng.choice([0.0] * 9 + [0.3]),
        )
        self.service.finish(choice, result)

    def step(self, explain: bool) -> tuple[object, ...]:
        """Do one random step; return what it decides."""
        self.clock.advance(self.rng.expovariate(50.0))
        if self.rng.random() < 0.02:
            self.update()
        if self.sends and self.rng.random() < 0.4:
            self.finish()
        if self.rng.random() < 0.5:
            self.service.count_request()
        request = self.rng.choice(self.classes)
        extra = self.service.try_extra() if self.rng.random() < 0.1 else None
        rated = self.service.ratings(request) if explain else None
        choice = self.service.choose((), request)
        if rated is not None:
            _compare(rated, choice)
        if isinstance(choice, service_searchers.NoChoice):
            return (choice, extra)
        self.sends.append(choice)
        return (choice.state.name, choice.outstanding_s, extra)


def _compare(
    rated: ratings.ServiceRatings,
    choice: service_searchers.Choice | service_searchers.NoChoice,
) -> None:
    candidates = {
        r.searcher: r.cost for r in rated.searchers if not r.excluded
    }
    if isinstance(choice, service_searchers.NoChoice):
        assert not candidates
        return
    assert candidates[choice.state.name] == min(candidates.values())
    assert choice.policy.name == rated.policy
    explained = next(
        r for r in rated.searchers if r.searcher == choice.state.name
    )
    assert explained.outstanding_s == choice.outstanding_s


@pytest.mark.parametrize('policy', ['least-loaded', 'expected-finish'])
def test_explanation_names_the_searcher_that_is_chosen(policy: str) -> None:
    """Guards against an explanation that differs from the decision."""
    for seed in range(20):
        run = _Run(seed, policy)
        for _ in range(200):
            run.step(explain=True)


@pytest.mark.parametrize('policy', ['least-loaded', 'expected-finish'])
def test_explanation_changes_nothing(policy: str) -> None:
    """Guards against an explanation that moves requests or spends budget."""
    for seed in range(10):
        explained, alone = _Run(seed, policy), _Run(seed, policy)
        for _ in range(200):
            assert explained.step(explain=True) == alone.step(explain=False)


def test_reason_of_each_excluded_searcher() -> None:
    """Guards against one reason for all searchers of a service."""
    run = _Run(1, 'least-loaded')
    run.service.update(
        entries.parameters(),
        [entries.registration(name) for name in ('s1', 's2', 's3')],
    )
    results = {
        's1': searcher_state.SendResult(False, leaving=True),
        's2': searcher_state.SendResult(False, pause_s=1.0),
        's3': searcher_state.SendResult(True, unreachable=True),
    }
    while results:
        choice = run.service.choose((), run.classes[0])
        assert isinstance(choice, service_searchers.Choice)
        run.service.finish(choice, results.pop(choice.state.name))
    rated = run.service.ratings(run.classes[0])
    assert {r.searcher: r.excluded for r in rated.searchers} == {
        's1': 'is leaving',
        's2': 'has asked for a pause',
        's3': 'has failed',
    }
