"""corianderport_testkit.process.experiments

What an experiment is, and the table of all experiments.
"""

import collections.abc
import importlib
import typing

import attrs

from corianderport_testkit.process import load
from corianderport_testkit.process import summaries
from corianderport_testkit.process import testbeds

__all__ = ['Bound', 'Experiment', 'Outcome', 'Scale', 'names', 'open_one']

_EXPERIMENTS = {
    'straggler': 'fault_experiments:Straggler',
    'all-slow': 'fault_experiments:AllSlow',
    'half-open': 'fault_experiments:HalfOpen',
    'cold': 'change_experiments:Cold',
    'data-centre': 'change_experiments:DataCentre',
    'overload': 'load_experiments:Overload',
    'cost': 'cost_experiments:Cost',
    'log': 'cost_experiments:LogCost',
    'idle': 'cost_experiments:Idle',
    'state': 'state_costs:StateCost',
}


@attrs.frozen
class Scale:
    """How much of an experiment is run; ``quick`` is for trying it."""

    seed: int
    quick: bool = False

    def seconds(self, whole: float) -> float:
        """Return the length of a load, seconds."""
        return whole / 3 if self.quick else whole


@attrs.frozen
class Outcome:
    """Figures of one side in one run, and what happened each second."""

    figures: collections.abc.Mapping[str, float]
    seconds: tuple[summaries.Second, ...] = ()


@attrs.frozen
class Bound:
    """A bound on a figure, as a ratio when there is a base side."""

    side: str
    figure: str
    limit: float
    base: str | None = None
    at_least: bool = False

    def value(self, run: collections.abc.Mapping[str, Outcome]) -> float:
        """Return the figure, or its ratio to that of the base side."""
        figure = run[self.side].figures[self.figure]
        if self.base is None:
            return figure
        base = run[self.base].figures[self.figure]
        return figure / base if base else float('inf')

    def holds(self, value: float) -> bool:
        """Whether a value is within the bound."""
        if self.at_least:
            return value >= self.limit
        return value <= self.limit

    def describe(self) -> str:
        """Return the bound as text."""
        ratio = f' / {self.base}' if self.base else ''
        relation = 'at least' if self.at_least else 'at most'
        return f'{self.side}{ratio}: {self.figure} {relation} {self.limit:g}'


class Experiment(typing.Protocol):
    """Measures several sides, one after the other in each run."""

    @property
    def sides(self) -> tuple[str, ...]:
        """The sides, in the order in which they are measured."""

    @property
    def bounds(self) -> tuple[Bound, ...]:
        """The bounds to check."""

    def __enter__(self) -> typing.Self:
        """Start the processes."""

    def __exit__(self, *exception: object) -> None:
        """End the processes."""

    def measure(self, side: str, scale: Scale) -> Outcome:
        """Measure one side once."""


@attrs.define
class TestbedExperiment:
    """Base of the experiments that send a load to one deployment."""

    testbed: testbeds.Testbed

    def __enter__(self) -> typing.Self:
        self.testbed.__enter__()
        for side in (testbeds.TIER, testbeds.NAIVE):
            if self.testbed.hosts(side):
                self.testbed.warm(side)
        return self

    def __exit__(self, *exception: object) -> None:
        self.testbed.__exit__(*exception)

    def loaded(
        self,
        side: str,
        planned: load.Load,
        events: collections.abc.Iterable[load.Event] = (),
    ) -> tuple[summaries.Summary, dict[str, float], list[summaries.Second]]:
        """Send a load; return its summary, its figures and its seconds."""
        before = self.testbed.total('*', 'searches', 'refused')
        samples = self.testbed.send(side, planned, events)
        self.testbed.settle()
        sent = self.testbed.total('*', 'searches', 'refused') - before
        summary = summaries.summarize(samples)
        services = self.testbed.fleet.deployment.services
        needed = max(1, summary.answered * services)
        figures: dict[str, float] = attrs.asdict(summary)
        figures['extra'] = sent / needed - 1.0
        figures['failed'] = float(summary.requests - summary.whole)
        return summary, figures, summaries.by_second(samples)


def names() -> tuple[str, ...]:
    """Return the names of all experiments."""
    return tuple(_EXPERIMENTS)


def open_one(name: str) -> Experiment:
    """Return an experiment; its module is loaded on first use."""
    module, _, kind = _EXPERIMENTS[name].partition(':')
    loaded = importlib.import_module(f'corianderport_testkit.process.{module}')
    return typing.cast(Experiment, getattr(loaded, kind).from_config())
