"""corianderport_testkit.process.experiments

The interface of an experiment, and the table of all experiments.
"""

import collections.abc
import importlib
import typing

import attrs

from corianderport_testkit.process import load
from corianderport_testkit.process import summaries
from corianderport_testkit.process import testbeds

__all__ = [
    'Bound',
    'Experiment',
    'Outcome',
    'Scale',
    'add',
    'names',
    'open_experiment',
]

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
    'parsers': 'parser_costs:ParserCosts',
}


@attrs.frozen
class Scale:
    """Seed of a run, and whether its loads are shortened for a trial."""

    seed: int
    quick: bool = False

    def seconds(self, full_s: float) -> float:
        """Return the length of a load in seconds, a third when quick."""
        return full_s / 3 if self.quick else full_s


@attrs.frozen
class Outcome:
    """Figures of one variant in one run, as totals and for each second."""

    figures: collections.abc.Mapping[str, float]
    seconds: tuple[summaries.Second, ...] = ()


@attrs.frozen
class Bound:
    """A limit on a figure, or on its ratio to a baseline variant."""

    variant: str
    figure: str
    limit: float
    baseline: str | None = None
    at_least: bool = False

    def value(self, run: collections.abc.Mapping[str, Outcome]) -> float:
        """Return the figure, or its ratio to that of the baseline."""
        figure = run[self.variant].figures[self.figure]
        if self.baseline is None:
            return figure
        baseline = run[self.baseline].figures[self.figure]
        return figure / baseline if baseline else float('inf')

    def holds(self, value: float) -> bool:
        """Whether a value satisfies the bound."""
        if self.at_least:
            return value >= self.limit
        return value <= self.limit

    def describe(self) -> str:
        """Return the bound as text for the table."""
        ratio = f' / {self.baseline}' if self.baseline else ''
        relation = 'at least' if self.at_least else 'at most'
        return (
            f'{self.variant}{ratio}: {self.figure} {relation} {self.limit:g}'
        )


class Experiment(typing.Protocol):
    """Measures several variants, one after another in each run."""

    @property
    def variants(self) -> tuple[str, ...]:
        """The variants, in the order in which they are measured."""

    @property
    def bounds(self) -> tuple[Bound, ...]:
        """The bounds to check."""

    def __enter__(self) -> typing.Self:
        """Start the processes."""

    def __exit__(self, *exception: object) -> None:
        """End the processes."""

    def measure(self, variant: str, scale: Scale) -> Outcome:
        """Measure one variant once."""


Opener = collections.abc.Callable[[], Experiment]
_ADDED: dict[str, Opener] = {}


@attrs.define
class TestbedExperiment:
    """Base class of the experiments that send a load to one testbed."""

    testbed: testbeds.Testbed

    def __enter__(self) -> typing.Self:
        self.testbed.__enter__()
        for variant in (testbeds.TIER, testbeds.NAIVE):
            if self.testbed.host_names(variant):
                self.testbed.warm_up(variant)
        return self

    def __exit__(self, *exception: object) -> None:
        self.testbed.__exit__(*exception)

    def run_load(
        self,
        variant: str,
        planned: load.Load,
        events: collections.abc.Iterable[load.Event] = (),
    ) -> tuple[summaries.Summary, dict[str, float], list[summaries.Second]]:
        """Send a load and return its summary, its figures and its seconds.

        ``extra`` is the share of searches sent beyond one per service and
        answered request; ``failed`` counts requests without a whole answer.
        """
        before = self.testbed.sum_counts('*', 'searches', 'refused')
        samples = self.testbed.send_load(variant, planned, events)
        self.testbed.settle()
        sent_searches = (
            self.testbed.sum_counts('*', 'searches', 'refused') - before
        )
        summary = summaries.summarize(samples)
        services = self.testbed.fleet.deployment.services
        needed_searches = max(1, summary.answered * services)
        figures: dict[str, float] = attrs.asdict(summary)
        figures['extra'] = sent_searches / needed_searches - 1.0
        figures['failed'] = float(summary.requests - summary.whole)
        return summary, figures, summaries.summarize_by_second(samples)


def add(name: str, opener: Opener) -> None:
    """Add an experiment of another package."""
    _ADDED[name] = opener


def names() -> tuple[str, ...]:
    """Return the names of all experiments, in the order of the table."""
    return (*_EXPERIMENTS, *_ADDED)


def open_experiment(name: str) -> Experiment:
    """Return an experiment, importing its module when first needed."""
    if name in _ADDED:
        return _ADDED[name]()
    module, _, class_name = _EXPERIMENTS[name].partition(':')
    imported = importlib.import_module(
        f'corianderport_testkit.process.{module}'
    )
    return typing.cast(Experiment, getattr(imported, class_name).from_config())
