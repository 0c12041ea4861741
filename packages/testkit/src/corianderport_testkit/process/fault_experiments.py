"""corianderport_testkit.process.fault_experiments

Experiments with searchers that are slow or don't answer.
"""

import attrs

from corianderport_testkit.process import experiments
from corianderport_testkit.process import load
from corianderport_testkit.process import testbeds
from corianderport_testkit.version import deployments

__all__ = ['AllSlow', 'HalfOpen', 'Straggler']

_HOSTS = 3
_LATENCY_S = 0.005
_STRAGGLER_FACTOR = 50.0
_ALL_SLOW_FACTOR = 10.0
_REQUESTS_PER_S = 16.0
_DURATION_S = 7.0
_SILENT_AT_S = 2.0
_DEADLINE_MS = 1_000.0
_RECOVERED_FACTOR = 1.5


@attrs.define
class Straggler(experiments.TestbedExperiment):
    """One searcher of 75 has 50 times its usual latency."""

    variants = ('tier', 'tier-straggler', 'naive', 'naive-straggler')
    bounds = (
        experiments.Bound('tier-straggler', 'p99_ms', 1.5, 'tier'),
        experiments.Bound('tier-straggler', 'coverage_least', 1.0, None, True),
        experiments.Bound('tier-straggler', 'extra', 0.05),
    )

    @classmethod
    def from_config(cls) -> 'Straggler':
        """Return the experiment with 25 services of 3 searchers."""
        deployment = deployments.Deployment(
            services=25, shards=1, documents=1_000, deadline_ms=_DEADLINE_MS
        )
        return cls(testbeds.Testbed(deployment, _HOSTS, _HOSTS))

    def measure(
        self, variant: str, scale: experiments.Scale
    ) -> experiments.Outcome:
        """Send the load with or without the straggler."""
        self.testbed.set_behaviour('*', latency_s=_LATENCY_S)
        if variant.endswith('straggler'):
            slow_s = _LATENCY_S * _STRAGGLER_FACTOR
            self.testbed.set_behaviour('catalogue-00-dc-a', latency_s=slow_s)
        planned = load.Load(
            _REQUESTS_PER_S,
            scale.seconds(_DURATION_S),
            scale.seed,
            _DEADLINE_MS,
        )
        _, figures, seconds = self.run_load(variant, planned)
        return experiments.Outcome(figures, tuple(seconds))


@attrs.define
class AllSlow(experiments.TestbedExperiment):
    """All searchers have ten times their usual latency."""

    variants = ('tier', 'tier-slow', 'naive-slow')
    bounds = (
        experiments.Bound('tier-slow', 'extra', 0.05),
        experiments.Bound('tier-slow', 'coverage_least', 1.0, None, True),
    )

    @classmethod
    def from_config(cls) -> 'AllSlow':
        """Return the experiment with ten services."""
        deployment = deployments.Deployment(
            services=10, shards=1, documents=400, deadline_ms=_DEADLINE_MS
        )
        return cls(testbeds.Testbed(deployment, _HOSTS, _HOSTS))

    def measure(
        self, variant: str, scale: experiments.Scale
    ) -> experiments.Outcome:
        """Send the load at the usual latency or with all searchers slow."""
        factor = _ALL_SLOW_FACTOR if variant.endswith('slow') else 1.0
        self.testbed.set_behaviour('*', latency_s=_LATENCY_S * factor)
        planned = load.Load(
            _REQUESTS_PER_S,
            scale.seconds(_DURATION_S),
            scale.seed,
            _DEADLINE_MS,
        )
        _, figures, seconds = self.run_load(variant, planned)
        return experiments.Outcome(figures, tuple(seconds))


@attrs.define
class HalfOpen(experiments.TestbedExperiment):
    """Half of the searchers stop answering on their open connections."""

    variants = ('tier', 'tier-half-open', 'naive-half-open')
    bounds = (
        experiments.Bound('tier-half-open', 'failed', 0.0),
        experiments.Bound('tier-half-open', 'recovered_s', 2.0),
    )

    @classmethod
    def from_config(cls) -> 'HalfOpen':
        """Return the experiment with six services."""
        deployment = deployments.Deployment(
            services=6, shards=1, documents=300, deadline_ms=_DEADLINE_MS
        )
        return cls(testbeds.Testbed(deployment, _HOSTS, _HOSTS))

    def measure(
        self, variant: str, scale: experiments.Scale
    ) -> experiments.Outcome:
        """Send the load; the searchers go silent after two seconds.

        ``recovered_s`` is the time from there until the p99 of every later
        second is at most 1.5 times the worst before.
        """
        self.testbed.set_behaviour('*', latency_s=_LATENCY_S)
        planned = load.Load(
            _REQUESTS_PER_S, _DURATION_S, scale.seed, _DEADLINE_MS
        )
        events = []
        if variant.endswith('half-open'):
            events.append(load.Event(_SILENT_AT_S, self._silence))
        _, figures, seconds = self.run_load(variant, planned, events)
        self.testbed.set_behaviour('*', silent=False)
        before_ms = [s.p99_ms for s in seconds if s.second < _SILENT_AT_S]
        allowed_ms = _RECOVERED_FACTOR * max(before_ms, default=0.0)
        slow = [
            s.second
            for s in seconds
            if s.second >= _SILENT_AT_S and s.p99_ms > allowed_ms
        ]
        last_slow = max(slow, default=_SILENT_AT_S - 1)
        figures['recovered_s'] = last_slow + 1 - _SILENT_AT_S
        return experiments.Outcome(figures, tuple(seconds))

    def _silence(self) -> None:
        # All searchers of one data centre and half of another's.
        self.testbed.set_behaviour('*-dc-a', silent=True)
        self.testbed.set_behaviour('catalogue-0[024]-dc-b', silent=True)
