"""corianderport_testkit.process.change_experiments

Experiments with a cold searcher and a data centre taken out of service.
"""

import attrs

from corianderport_testkit.process import experiments
from corianderport_testkit.process import load
from corianderport_testkit.process import summaries
from corianderport_testkit.process import testbeds
from corianderport_testkit.version import deployments

__all__ = ['Cold', 'DataCentre']

_HOSTS = 3
_LATENCY_S = 0.005
_COLD_LATENCY_S = 0.03
_COLD_REQUESTS_PER_S = 40.0
_REQUESTS_PER_S = 30.0
_DEADLINE_MS = 1_000.0
_WARM_UP_REQUESTS = 20
_COLD_SERVICE = 'catalogue-00-*'
_FULL_SHARE = 0.8
_PROPAGATION_S = 5.0


@attrs.define
class Cold(experiments.TestbedExperiment):
    """One searcher restarts cold and can handle one request at a time."""

    variants = ('tier', 'tier-cold', 'naive-cold')
    bounds = (
        experiments.Bound('tier-cold', 'cold_in_flight', 1.0),
        experiments.Bound('tier-cold', 'full_share_s', 5.0),
        experiments.Bound('tier-cold', 'p99_ms', 1.5, 'tier'),
    )

    @classmethod
    def from_config(cls) -> 'Cold':
        """Return the experiment with four services."""
        deployment = deployments.Deployment(
            services=4, shards=1, documents=200, deadline_ms=_DEADLINE_MS
        )
        return cls(testbeds.Testbed(deployment, _HOSTS, _HOSTS))

    def measure(
        self, variant: str, scale: experiments.Scale
    ) -> experiments.Outcome:
        """Send the load; the searcher restarts cold after one second.

        ``full_share_s`` is the time from the restart to the end of the first
        second in which it gets 80 % of a third of the service's requests.
        """
        self.testbed.set_behaviour('*', latency_s=_COLD_LATENCY_S, reset=True)
        cold = 'catalogue-00-dc-a'
        counts: list[tuple[int, int]] = []

        def observe() -> None:
            cold_searches = self.testbed.sum_counts(cold, 'searches')
            counts.append(
                (
                    cold_searches,
                    self.testbed.sum_counts(_COLD_SERVICE, 'searches'),
                )
            )

        def turn_cold() -> None:
            self.testbed.set_behaviour(cold, restart=_WARM_UP_REQUESTS)

        events = []
        if variant.endswith('cold'):
            events = [load.Event(1.0, turn_cold)]
            events += [load.Event(float(at), observe) for at in range(1, 9)]
        planned = load.Load(
            _COLD_REQUESTS_PER_S, 8.0, scale.seed, _DEADLINE_MS
        )
        _, figures, seconds = self.run_load(variant, planned, events)
        record = self.testbed.fleet.record(cold)
        figures['cold_in_flight'] = float(record['max_in_flight_cold'])
        figures['overruns'] = float(record['overruns'])
        figures['full_share_s'] = _full_share_s(counts)
        self.testbed.set_behaviour(cold, cold_requests=0)
        return experiments.Outcome(figures, tuple(seconds))


def _full_share_s(counts: list[tuple[int, int]]) -> float:
    """Return the seconds until the share is full, or infinity if never.

    :param counts: searches so far of the searcher and of its service, at
        intervals of one second; none gives 0.
    """
    for second, (before, after) in enumerate(zip(counts, counts[1:])):
        cold_searches = after[0] - before[0]
        service_searches = after[1] - before[1]
        if cold_searches * 3 >= _FULL_SHARE * service_searches > 0:
            return second + 1.0
    return float('inf') if counts else 0.0


@attrs.define
class DataCentre(experiments.TestbedExperiment):
    """A data centre is taken out of service and put back into it."""

    variants = ('tier', 'naive')
    bounds = (
        experiments.Bound('tier', 'late_searches', 0.0),
        experiments.Bound('tier', 'failed', 0.0),
        experiments.Bound('tier', 'coverage_least', 1.0, None, True),
    )

    @classmethod
    def from_config(cls) -> 'DataCentre':
        """Return the experiment with six services."""
        deployment = deployments.Deployment(
            services=6, shards=1, documents=300, deadline_ms=_DEADLINE_MS
        )
        return cls(testbeds.Testbed(deployment, _HOSTS, _HOSTS))

    def measure(
        self, variant: str, scale: experiments.Scale
    ) -> experiments.Outcome:
        """Send the load; dc-b is out of service from second 2 to second 9.

        ``late_searches`` counts what dc-b still gets from second 7, after
        the change had 5 s to take effect, until just before it is put back.
        """
        self.testbed.set_behaviour('*', latency_s=_LATENCY_S)
        counts: list[int] = []
        fleet = self.testbed.fleet

        def observe() -> None:
            counts.append(self.testbed.sum_counts('*-dc-b', 'searches'))

        events = [
            load.Event(2.0, lambda: fleet.publish({'dc-b'})),
            load.Event(2.0 + _PROPAGATION_S, observe),
            load.Event(8.9, observe),
            load.Event(9.0, fleet.publish),
        ]
        planned = load.Load(_REQUESTS_PER_S, 13.0, scale.seed, _DEADLINE_MS)
        _, figures, seconds = self.run_load(variant, planned, events)
        figures['late_searches'] = float(counts[1] - counts[0])
        figures['worst_second_p99_ms'] = _worst_p99_ms(seconds)
        return experiments.Outcome(figures, tuple(seconds))


def _worst_p99_ms(seconds: list[summaries.Second]) -> float:
    return max(second.p99_ms for second in seconds)
