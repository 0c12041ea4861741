"""corianderport_testkit.process.cost_experiments

Experiments on the overhead of the tier itself.
"""

import contextlib
import statistics
import time
import typing

import attrs
import orjson

from corianderport_testkit.process import experiments
from corianderport_testkit.process import load
from corianderport_testkit.process import summaries
from corianderport_testkit.process import testbeds
from corianderport_testkit.version import deployments
from corianderport_wire.connection import curl_client

__all__ = ['Cost', 'Idle', 'LogCost']

_DEADLINE_MS = 10_000.0
_WIDTHS = (1, 10, 25, 75)
_SUB_REQUESTS_PER_10_S = 3_000.0
_DIRECT_CALLS = 200
_DURATION_S = 3.0
_IDLE_S = 5.0
_LOG_REQUESTS_PER_S = 20.0
_TIMEOUT_S = 10.0


@attrs.define
class Cost:
    """Cost of a search over 1, 10, 25 and 75 services of one shard each."""

    bounds = ()
    variants = (
        'direct',
        *(f'tier-{width}' for width in _WIDTHS),
        *(f'naive-{width}' for width in _WIDTHS),
    )
    _testbeds: dict[int, testbeds.Testbed]
    _stack: contextlib.ExitStack = attrs.Factory(contextlib.ExitStack)

    @classmethod
    def from_config(cls) -> 'Cost':
        """Return the experiment with one host for each width."""
        by_width = {}
        for width in _WIDTHS:
            deployment = deployments.Deployment(
                services=width,
                shards=1,
                documents=4 * width,
                deadline_ms=_DEADLINE_MS,
            )
            by_width[width] = testbeds.Testbed(deployment, 1, 1)
        return cls(by_width)

    def __enter__(self) -> typing.Self:
        with self._stack:
            for testbed in self._testbeds.values():
                self._stack.enter_context(testbed)
                testbed.warm_up(testbeds.TIER)
                testbed.warm_up(testbeds.NAIVE)
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stack.close()

    def measure(
        self, variant: str, scale: experiments.Scale
    ) -> experiments.Outcome:
        """Send at a low rate; CPU time and memory are those of the host."""
        if variant == 'direct':
            return experiments.Outcome({'p50_ms': self._direct_ms()})
        width = int(variant.partition('-')[2])
        testbed = self._testbeds[width]
        rate = min(50.0, _SUB_REQUESTS_PER_10_S / 10 / width)
        host = testbed.host_names(variant)[0]
        before_s = testbed.fleet.cpu_s(host)
        planned = load.Load(
            rate, scale.seconds(_DURATION_S), scale.seed, _DEADLINE_MS
        )
        summary = summaries.summarize(testbed.send_load(variant, planned))
        cpu_s = testbed.fleet.cpu_s(host) - before_s
        figures = {
            'p50_ms': summary.p50_ms,
            'p99_ms': summary.p99_ms,
            'cpu_ms': cpu_s * 1e3 / summary.requests,
            'memory_mb': testbed.fleet.memory_bytes(host) / 1e6,
            'requests': float(summary.requests),
        }
        return experiments.Outcome(figures)

    def _direct_ms(self) -> float:
        """Return the median latency of a call sent directly to a searcher."""
        fleet = self._testbeds[1].fleet
        address = fleet.addresses['catalogue-00-dc-a']
        client = curl_client.CurlClient(address, 1.0)
        latencies = []
        fields = {
            'request_id': 'direct',
            'attempt_id': 'direct',
            'index': 'catalogue',
            'snapshot': 1,
            'shards': ['shard-000'],
            'query': 'painted stilts',
            'limit': 10,
            'deadline_ms': _DEADLINE_MS,
        }
        try:
            for _ in range(_DIRECT_CALLS):
                started_s = time.monotonic()
                client.post('/search', orjson.dumps(fields), _TIMEOUT_S)
                latencies.append(time.monotonic() - started_s)
        finally:
            client.close()
        return statistics.median(latencies) * 1e3


@attrs.define
class LogCost:
    """Cost of the decision log, as level INFO compared with WARNING."""

    bounds = ()
    variants = ('WARNING', 'INFO')
    _testbeds: dict[str, testbeds.Testbed]
    _stack: contextlib.ExitStack = attrs.Factory(contextlib.ExitStack)

    @classmethod
    def from_config(cls) -> 'LogCost':
        """Return the experiment with 25 services and one host per level."""
        deployment = deployments.Deployment(
            services=25, shards=1, documents=100, deadline_ms=_DEADLINE_MS
        )
        return cls(
            {
                level: testbeds.Testbed(
                    deployment, 1, 0, [f'--log_level={level}']
                )
                for level in cls.variants
            }
        )

    def __enter__(self) -> typing.Self:
        with self._stack:
            for testbed in self._testbeds.values():
                self._stack.enter_context(testbed)
                testbed.warm_up(testbeds.TIER)
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stack.close()

    def measure(
        self, variant: str, scale: experiments.Scale
    ) -> experiments.Outcome:
        """Send at a low rate; CPU time is that of the host."""
        testbed = self._testbeds[variant]
        host = testbed.host_names(testbeds.TIER)[0]
        before_s = testbed.fleet.cpu_s(host)
        planned = load.Load(
            _LOG_REQUESTS_PER_S,
            scale.seconds(_DURATION_S),
            scale.seed,
            _DEADLINE_MS,
        )
        samples = testbed.send_load(testbeds.TIER, planned)
        cpu_s = testbed.fleet.cpu_s(host) - before_s
        summary = summaries.summarize(samples)
        return experiments.Outcome(
            {
                'cpu_ms': cpu_s * 1e3 / summary.requests,
                'p50_ms': summary.p50_ms,
            }
        )


@attrs.define
class Idle:
    """CPU time and memory of hosts that serve no requests."""

    variants = ('hosts-2', 'hosts-4', 'hosts-8')
    bounds = (
        experiments.Bound('hosts-8', 'cpu_percent', 1.4),
        experiments.Bound('hosts-8', 'memory_mb', 64.0),
    )

    @classmethod
    def from_config(cls) -> 'Idle':
        """Return the experiment; each variant starts its own hosts."""
        return cls()

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exception: object) -> None:
        pass

    def measure(
        self, variant: str, scale: experiments.Scale
    ) -> experiments.Outcome:
        """Start hosts and measure them idle.

        CPU is the mean of the hosts and memory that of the largest; calls of
        the configuration service are those of all hosts together.
        """
        count = int(variant.partition('-')[2])
        deployment = deployments.Deployment(services=4, shards=1)
        with testbeds.Testbed(deployment, count, 0) as testbed:
            testbed.settle()
            fleet = testbed.fleet
            names = testbed.host_names(testbeds.TIER)
            before_s = [fleet.cpu_s(name) for name in names]
            calls = fleet.platform.configuration_calls
            seconds = scale.seconds(_IDLE_S)
            time.sleep(seconds)
            cpu_s = sum(fleet.cpu_s(name) for name in names) - sum(before_s)
            calls = fleet.platform.configuration_calls - calls
            memory = [fleet.memory_bytes(name) for name in names]
        return experiments.Outcome(
            {
                'cpu_percent': 100.0 * cpu_s / seconds / count,
                'memory_mb': max(memory) / 1e6,
                'configuration_calls_per_s': calls / seconds,
            }
        )
