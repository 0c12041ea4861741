"""Measures a host beside crowds and with many kept-alive connections."""

import concurrent.futures
import multiprocessing
import multiprocessing.context
import pathlib
import tempfile
import threading
import time
import typing

import attrs

from corianderport_testkit.process import experiments

from . import caller_load
from . import crowd_rows
from . import limited_host

__all__ = ['Callers']

_SMALLEST = limited_host.Machine(ram_mb=200, max_fds=4_100)
# The smallest machine accepts 2,730 connections of callers.
_LARGEST = limited_host.Machine(ram_mb=552, max_fds=10_436)
_CROWD_CALLERS = 200
_KEPT_ALIVE = 'kept-alive'
_FEW_CONNECTIONS = 100
_MANY_CONNECTIONS = 4_000
# Each of 4,000 connections is used once in 20 s.
_IDLE_TIMEOUT_MS = 60_000
_CALM_S = 3.0
_BESIDE_S = 4.0
_KEPT_ALIVE_S = 21.0
_CROWD_START_S = 1.5
_PROBE_INTERVAL_S = 0.25
_LONG_S = 60.0


@attrs.define
class _Probe:
    """Probes readiness until it is stopped."""

    host: limited_host.LimitedHost
    failed: int = 0
    longest_ms: float = 0.0
    _stopped: threading.Event = attrs.Factory(threading.Event)

    def run(self) -> None:
        """Probe at an interval."""
        while not self._stopped.wait(_PROBE_INTERVAL_S):
            begun_s = time.monotonic()
            self.failed += not self.host.is_ready()
            took_ms = (time.monotonic() - begun_s) * 1e3
            self.longest_ms = max(self.longest_ms, took_ms)

    def stop(self) -> None:
        """End ``run``."""
        self._stopped.set()


@attrs.define
class Callers:
    """One variant for each crowd of 200 callers, and one for kept-alive.

    The crowds send to a served path of the smallest machine.
    """

    variants = (*(row.name for row in crowd_rows.ROWS), _KEPT_ALIVE)
    bounds = ()
    _context: multiprocessing.context.SpawnContext = attrs.Factory(
        lambda: multiprocessing.get_context('spawn')
    )
    _processes: concurrent.futures.ProcessPoolExecutor = attrs.field(
        init=False
    )

    @classmethod
    def from_config(cls) -> 'Callers':
        """Return the experiment; each variant starts a host of its own."""
        return cls()

    def __enter__(self) -> typing.Self:
        self._processes = concurrent.futures.ProcessPoolExecutor(
            1, self._context
        )
        return self

    def __exit__(self, *exception: object) -> None:
        self._processes.shutdown()

    def measure(
        self, variant: str, scale: experiments.Scale
    ) -> experiments.Outcome:
        """Measure one crowd, or the kept-alive connections."""
        with tempfile.TemporaryDirectory() as directory:
            if variant == _KEPT_ALIVE:
                figures = self._kept_alive(pathlib.Path(directory), scale)
            else:
                figures = self._crowd(pathlib.Path(directory), variant, scale)
        return experiments.Outcome(figures)

    def _ordinary(
        self, host: limited_host.LimitedHost, seconds: float
    ) -> caller_load.Latencies:
        return self._processes.submit(
            caller_load.send_ordinary, host.front, seconds
        ).result()

    def _crowd(
        self, directory: pathlib.Path, name: str, scale: experiments.Scale
    ) -> dict[str, float]:
        with limited_host.started_host(directory, machine=_SMALLEST) as host:
            limited_host.answer_to_ordinary_request(host)
            before_mb = host.usage.resident_mb
            calm = self._ordinary(host, scale.seconds(_CALM_S))
            ended = self._context.Event()
            crowd = self._context.Process(
                target=caller_load.run_crowd,
                args=(
                    host.front,
                    crowd_rows.SERVED.path,
                    name,
                    _CROWD_CALLERS,
                    ended,
                ),
            )
            crowd.start()
            time.sleep(_CROWD_START_S)
            beside = self._ordinary(host, scale.seconds(_BESIDE_S))
            usage = host.usage
            ended.set()
            crowd.join(_LONG_S)
        return {
            'before_mb': before_mb,
            'after_mb': usage.resident_mb,
            'peak_mb': usage.peak_mb,
            'p99_alone_ms': calm.quantile_ms(0.99),
            'p99_ratio': beside.quantile_ms(0.99) / calm.quantile_ms(0.99),
            'not_served': float(beside.failed),
            'served': float(len(beside.served_ms)),
        }

    def _kept_alive(
        self, directory: pathlib.Path, scale: experiments.Scale
    ) -> dict[str, float]:
        """Measure few connections, then many, each on a host of its own."""
        few, _ = self._use_connections(directory, _FEW_CONNECTIONS, scale)
        many, figures = self._use_connections(
            directory, _MANY_CONNECTIONS, scale
        )
        return {
            **figures,
            'p50_ms': many.quantile_ms(0.5),
            'p99_ms': many.quantile_ms(0.99),
            'p50_ratio': many.quantile_ms(0.5) / few.quantile_ms(0.5),
            'p99_ratio': many.quantile_ms(0.99) / few.quantile_ms(0.99),
            'p99_alone_ms': few.quantile_ms(0.99),
            'served': float(len(many.served_ms)),
            'not_served': float(many.failed),
        }

    def _use_connections(
        self,
        directory: pathlib.Path,
        connections: int,
        scale: experiments.Scale,
    ) -> tuple[caller_load.Latencies, dict[str, float]]:
        with (
            self._context.Manager() as manager,
            limited_host.started_host(
                directory, machine=_LARGEST, idle_timeout_ms=_IDLE_TIMEOUT_MS
            ) as host,
        ):
            limited_host.answer_to_ordinary_request(host)
            before_mb = host.usage.resident_mb
            connected, start = manager.Event(), manager.Event()
            sent = self._processes.submit(
                caller_load.send_kept_alive,
                host.front,
                connections,
                scale.seconds(_KEPT_ALIVE_S),
                connected,
                start,
            )
            if not connected.wait(_LONG_S):
                raise TimeoutError('the connections were not opened')
            probe = _Probe(host)
            prober = threading.Thread(target=probe.run, daemon=True)
            prober.start()
            start.set()
            latencies = sent.result()
            usage = host.usage
            probe.stop()
            prober.join(_LONG_S)
        return latencies, {
            'before_mb': before_mb,
            'after_mb': usage.resident_mb,
            'peak_mb': usage.peak_mb,
            'threads': float(usage.threads),
            'ready_failed': float(probe.failed),
            'ready_longest_ms': probe.longest_ms,
        }
