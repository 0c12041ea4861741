"""corianderport_testkit.process.load

Generates an open-loop load: searches start on schedule, even while earlier
ones are still running.
"""

import collections
import collections.abc
import concurrent.futures
import contextlib
import itertools
import random
import threading
import time
import typing

import attrs
import orjson

from corianderport_testkit.process import summaries
from corianderport_tier import errors
from corianderport_wire.connection import curl_client

__all__ = ['Event', 'Load', 'send']

_SENDER_COUNT = 96
_CONNECT_TIMEOUT_S = 1.0
# A sender waits for a reply until this long after the search's deadline.
_REPLY_GRACE_S = 2.0
# Time from the start of a load to its first search.
_FIRST_ARRIVAL_S = 0.1
_QUERIES = (
    'painted stilts', 'juggling clubs', 'rings Surat', 'unicycle',
    'carbon poi', 'festival trapeze', 'balance board Rajkot',
)  # fmt: skip


@attrs.frozen
class Load:
    """An open-loop load.

    Arrivals are a Poisson process with ``rate`` arrivals per second, for
    ``seconds`` seconds. Each arrival is for one of ``searches``, with equal
    probability; ``worths`` holds the worth of each of them. ``seed``
    determines the arrival times, the queries and the choice of searches.
    """

    rate: float
    seconds: float
    seed: int
    deadline_ms: float = 500.0
    searches: tuple[str, ...] = ('stock',)
    worths: tuple[float, ...] = (1.0,)


@attrs.frozen
class Event:
    """An action to run ``at_s`` seconds after the start of a load."""

    at_s: float
    action: collections.abc.Callable[[], object]


@attrs.frozen
class _Arrival:
    """A scheduled search, ``at_s`` seconds after the start of the load.

    ``search_index`` is the position of its search in ``Load.searches``.
    """

    number: int
    at_s: float
    query: str
    search_index: int


class _Sender:
    """Takes arrivals and sends their searches on its own connections."""

    def __init__(
        self,
        load: Load,
        addresses: collections.abc.Sequence[str],
        started_s: float,
    ) -> None:
        self._load = load
        self._addresses = addresses
        self._started_s = started_s
        self._clients: dict[str, curl_client.CurlClient] = {}

    def run(
        self,
        arrivals: 'collections.deque[_Arrival]',
        samples: 'collections.deque[summaries.Sample]',
    ) -> None:
        """Send searches on schedule until no arrivals are left."""
        with contextlib.ExitStack() as stack:
            while True:
                try:
                    arrival = arrivals.popleft()
                except IndexError:
                    return
                delay_s = self._started_s + arrival.at_s - time.monotonic()
                if delay_s > 0:
                    time.sleep(delay_s)
                samples.append(self._send(arrival, stack))

    def _send(
        self, arrival: _Arrival, stack: contextlib.ExitStack
    ) -> summaries.Sample:
        load = self._load
        search_index = arrival.search_index
        address = self._addresses[arrival.number % len(self._addresses)]
        body = self._post(
            address, load.searches[search_index], arrival.query, stack
        )
        ended_s = time.monotonic() - self._started_s
        coverage = body.get('coverage', {})
        return summaries.Sample(
            at_s=arrival.at_s,
            latency_s=ended_s - arrival.at_s,
            name=body['name'],
            coverage=coverage.get('fraction', 0.0),
            worth=load.worths[search_index],
            deadline_s=load.deadline_ms / 1e3,
        )

    def _post(
        self,
        address: str,
        search: str,
        query: str,
        stack: contextlib.ExitStack,
    ) -> dict[str, typing.Any]:
        client = self._clients.get(address)
        if client is None:
            client = curl_client.CurlClient(address, _CONNECT_TIMEOUT_S)
            stack.callback(client.close)
            self._clients[address] = client
        fields = {'query': query, 'deadline_ms': self._load.deadline_ms}
        timeout_s = self._load.deadline_ms / 1e3 + _REPLY_GRACE_S
        try:
            reply = client.post(
                f'/v1/search/{search}', orjson.dumps(fields), timeout_s
            )
        except errors.TransportError:
            return {'name': 'NO_REPLY'}
        decoded: dict[str, typing.Any] = orjson.loads(reply.body)
        return decoded


def _schedule(load: Load) -> collections.deque[_Arrival]:
    rng = random.Random(load.seed)
    gaps = (rng.expovariate(load.rate) for _ in itertools.count())
    times = itertools.accumulate(gaps, initial=_FIRST_ARRIVAL_S)
    end_s = _FIRST_ARRIVAL_S + load.seconds
    arrival_times = itertools.takewhile(lambda at_s: at_s < end_s, times)
    return collections.deque(
        _Arrival(
            number,
            at_s,
            rng.choice(_QUERIES),
            rng.randrange(len(load.searches)),
        )
        for number, at_s in enumerate(list(arrival_times))
    )


def send(
    load: Load,
    addresses: collections.abc.Sequence[str],
    events: collections.abc.Iterable[Event] = (),
) -> tuple[summaries.Sample, ...]:
    """Send the load to the addresses in turn; return a sample per search.

    Latency is measured from the scheduled time, so it includes the delay of
    a search that starts late.
    """
    arrivals = _schedule(load)
    samples: collections.deque[summaries.Sample] = collections.deque()
    started_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(_SENDER_COUNT) as executor:
        futures = [
            executor.submit(
                _Sender(load, addresses, started_s).run, arrivals, samples
            )
            for _ in range(_SENDER_COUNT)
        ]
        _run_events(events, started_s)
        for future in futures:
            future.result()
    return tuple(sorted(samples, key=lambda sample: sample.at_s))


def _run_events(
    events: collections.abc.Iterable[Event], started_s: float
) -> None:
    timer = threading.Event()
    for event in sorted(events, key=lambda e: e.at_s):
        timer.wait(max(0.0, started_s + event.at_s - time.monotonic()))
        event.action()
