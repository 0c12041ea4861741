"""corianderport_testkit.process.fan_out

Compares two strategies to send one request to many searchers.

The tier uses a thread for each connection. The alternative is a CurlMulti
in the request's own thread.
"""

import collections.abc
import concurrent.futures
import contextlib
import io
import os
import statistics
import subprocess
import sys
import time
import typing

import attrs
import fire
import pycurl

from corianderport_testkit import tables
from corianderport_tier import clocks
from corianderport_tier.connection import pool
from corianderport_tier.request import deadlines
from corianderport_tier.request import inboxes
from corianderport_wire.connection import curl_client

__all__ = ['Cost', 'main', 'run']

_SERVER_COUNT = 4
_TIMEOUT_S = 10.0
_BODY = b'{"query": "juggling clubs"}'


@attrs.frozen
class Cost:
    """Cost of a fan-out: the caller's CPU per sub-request, and latency."""

    cpu_us: float
    latency_ms: float


class FanOut(typing.Protocol):
    """A strategy to send a request to many addresses."""

    def send(self) -> None:
        """Send to all addresses and wait for all replies."""

    def close(self) -> None:
        """Close all connections."""


@attrs.frozen
class _Job:
    """One sub-request, run on the thread of its connection."""

    inbox: inboxes.Inbox[object]

    def perform(self, transport: curl_client.CurlClient) -> object:
        return transport.post('/', _BODY, _TIMEOUT_S)

    def finish(self, reply: object) -> None:
        self.inbox.put(reply)


class ThreadPerConnection:
    """The strategy of the tier: a pool with one connection per address."""

    def __init__(self, addresses: collections.abc.Sequence[str]) -> None:
        self._clock = clocks.SystemClock()
        self._executor = concurrent.futures.ThreadPoolExecutor(len(addresses))
        self._pools = [self._pool(address) for address in addresses]

    def send(self) -> None:
        """Submit one job to each pool and wait for all replies."""
        inbox: inboxes.Inbox[object] = inboxes.Inbox(self._clock)
        deadline = deadlines.Deadline.after(self._clock, _TIMEOUT_S)
        for connections in self._pools:
            connections.submit(_Job(inbox))
        for _ in self._pools:
            reply = inbox.take(deadline)
            assert isinstance(reply, curl_client.HttpReply), reply

    def close(self) -> None:
        """Close all connections."""
        for connections in self._pools:
            connections.close()
        self._executor.shutdown()

    def _pool(
        self, address: str
    ) -> pool.ConnectionPool[curl_client.CurlClient]:
        return pool.ConnectionPool(
            lambda: curl_client.CurlClient(address, _TIMEOUT_S),
            self._executor,
            self._clock,
            pool.PoolLimits(1),
        )


class MultiPerRequest:
    """The alternative: a single CurlMulti runs all transfers."""

    def __init__(self, addresses: collections.abc.Sequence[str]) -> None:
        self._multi = pycurl.CurlMulti()
        self._handles = [self._handle(address) for address in addresses]

    def send(self) -> None:
        """Run all transfers on the calling thread."""
        for handle in self._handles:
            handle.setopt(pycurl.WRITEFUNCTION, io.BytesIO().write)
            self._multi.add_handle(handle)
        active = len(self._handles)
        while active:
            _, active = self._multi.perform()
            if active:
                self._multi.select(_TIMEOUT_S)
        for handle in self._handles:
            assert handle.getinfo(pycurl.RESPONSE_CODE) == 200
            self._multi.remove_handle(handle)

    def close(self) -> None:
        """Close all connections."""
        for handle in self._handles:
            handle.close()
        self._multi.close()

    def _handle(self, address: str) -> typing.Any:
        handle = pycurl.Curl()
        handle.setopt(pycurl.URL, f'http://{address}/')
        handle.setopt(pycurl.POSTFIELDS, _BODY)
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(pycurl.TIMEOUT, int(_TIMEOUT_S))
        return handle


_STRATEGIES: dict[str, type[ThreadPerConnection] | type[MultiPerRequest]] = {
    'thread per connection': ThreadPerConnection,
    'CurlMulti per request': MultiPerRequest,
}


def _measure(strategy: FanOut, width: int, requests: int) -> Cost:
    strategy.send()
    latencies = []
    cpu_s = time.process_time()
    for _ in range(requests):
        started_s = time.monotonic()
        strategy.send()
        latencies.append(time.monotonic() - started_s)
    cpu_s = time.process_time() - cpu_s
    return Cost(
        cpu_s * 1e6 / (requests * width), statistics.median(latencies) * 1e3
    )


@contextlib.contextmanager
def _servers() -> collections.abc.Iterator[list[str]]:
    environment = dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path))
    module = 'corianderport_testkit.process.instant_server'
    processes = [
        subprocess.Popen(
            [sys.executable, '-m', module],
            env=environment,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(_SERVER_COUNT)
    ]
    try:
        yield [
            process.stdout.readline().strip()
            for process in processes
            if process.stdout is not None
        ]
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait()


def run(widths: str = '1,25,75,510', runs: int = 5) -> None:
    """Print the cost of each strategy, as median and spread of the runs.

    :param widths: numbers of searchers that one request is sent to.
    """
    rows: list[tuple[str, ...]] = []
    with _servers() as addresses:
        for width in tables.parse_integers(widths):
            targets = [addresses[n % _SERVER_COUNT] for n in range(width)]
            costs: dict[str, list[Cost]] = {name: [] for name in _STRATEGIES}
            for _ in range(runs):
                for name, strategy_class in _STRATEGIES.items():
                    strategy = strategy_class(targets)
                    requests = max(5, 1500 // width)
                    costs[name].append(_measure(strategy, width, requests))
                    strategy.close()
            rows.extend(
                (
                    str(width),
                    name,
                    tables.format_median_and_range(
                        [c.cpu_us for c in measured]
                    ),
                    tables.format_median_and_range(
                        [c.latency_ms for c in measured]
                    ),
                )
                for name, measured in costs.items()
            )
    print(
        tables.format_markdown(
            ('searchers', 'way', 'CPU us per sub-request', 'latency ms'), rows
        )
    )


def main() -> None:
    """Parse the flags and measure."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
