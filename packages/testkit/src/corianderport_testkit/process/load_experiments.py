"""corianderport_testkit.process.load_experiments

Measures the tier under more load than the searchers can handle.
"""

import attrs

from corianderport_testkit.process import experiments
from corianderport_testkit.process import load
from corianderport_testkit.process import testbeds
from corianderport_testkit.version import deployments

__all__ = ['Overload']

_HOST_COUNT = 3
# Time that a searcher takes for each search.
_LATENCY_S = 0.1
# Concurrent requests that one searcher accepts.
_SLOTS = 2
# A deployment has one searcher of each service in each of 3 data centres.
_REPLICAS = 3
_DEADLINE_MS = 1_000.0
_DURATION_S = 6.0
# Nine searches of worth 1 for each search of worth 5.
_LOW_WORTH, _HIGH_WORTH = 1.0, 5.0
_MIX_SIZE = 10


@attrs.define
class Overload(experiments.TestbedExperiment):
    """Sends the load that the searchers' slots can serve, and twice that."""

    variants = ('tier', 'tier-twice', 'naive', 'naive-twice')
    bounds = (
        experiments.Bound('tier-twice', 'worth_answered', 0.9, 'tier', True),
        experiments.Bound('tier-twice', 'refusal_p99_ms', _DEADLINE_MS / 10),
    )

    @classmethod
    def from_config(cls) -> 'Overload':
        """Return the experiment on a deployment of two services."""
        deployment = deployments.Deployment(
            services=2,
            shards=1,
            documents=100,
            slots=_SLOTS,
            deadline_ms=_DEADLINE_MS,
            worths=(('stock', _LOW_WORTH), ('booking', _HIGH_WORTH)),
        )
        return cls(testbeds.Testbed(deployment, _HOST_COUNT, _HOST_COUNT))

    def measure(
        self, variant: str, scale: experiments.Scale
    ) -> experiments.Outcome:
        """Send the load; each search occupies one slot in every service."""
        self.testbed.set_behaviour('*', latency_s=_LATENCY_S)
        capacity_per_s = _SLOTS * _REPLICAS / _LATENCY_S
        twice = variant.endswith('twice')
        planned = load.Load(
            capacity_per_s * (2.0 if twice else 1.0),
            scale.seconds(_DURATION_S),
            scale.seed,
            _DEADLINE_MS,
            ('stock',) * (_MIX_SIZE - 1) + ('booking',),
            (_LOW_WORTH,) * (_MIX_SIZE - 1) + (_HIGH_WORTH,),
        )
        _, figures, seconds = self.run_load(variant, planned)
        return experiments.Outcome(figures, tuple(seconds))
