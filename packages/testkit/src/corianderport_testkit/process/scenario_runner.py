"""corianderport_testkit.process.scenario_runner

Runs the steps of a scenario against a deployment of separate processes.
"""

import collections.abc
import contextlib
import fnmatch
import time
import typing

import attrs

from corianderport_testkit.process import fleet
from corianderport_testkit.version import deployments
from corianderport_testkit.version import naive
from corianderport_testkit.version import scenarios

__all__ = ['ExpectationFailed', 'ScenarioRunner']

_WAIT_TIMEOUT_S = 40.0
_POLL_S = 0.05
# Deadline of searches whose step sets none.
_DEADLINE_MS = 4_000.0
_PROBE_QUERY = 'painted stilts'
_BOOLEANS = {'true': True, 'false': False}


class ExpectationFailed(AssertionError):
    """A step failed; the message gives its line and kind."""


@attrs.frozen
class _SearchResult:
    """The query and limit of a search, and the reply to it."""

    query: str
    limit: int
    reply: fleet.Reply


class ScenarioRunner:
    """Context manager that runs steps one after another.

    The hits of every answer are compared with a naive search over the
    documents that the answer claims to cover, on the snapshot it names.
    """

    def __init__(self) -> None:
        self._stack = contextlib.ExitStack()
        self._fleet: fleet.Fleet | None = None
        self._results: list[_SearchResult] = []
        self._out_of_service: set[str] = set()

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self._stack.close()

    @property
    def running(self) -> fleet.Fleet:
        """The deployment that the ``start`` step started."""
        if self._fleet is None:
            raise ExpectationFailed(
                'a scenario must begin with a "start" step'
            )
        return self._fleet

    def run(self, text: str) -> None:
        """Run all steps of a scenario.

        :raises ExpectationFailed: a step failed; names its line.
        """
        for step in scenarios.parse(text):
            try:
                _STEPS[step.kind](self, step)
            except AssertionError as error:
                raise ExpectationFailed(
                    f'line {step.line}, {step.kind}: {error}'
                ) from error

    def start(self, step: scenarios.Step) -> None:
        """Start a deployment and wait until every host answers completely.

        The option ``tier=naive`` starts hosts of the naive tier instead.
        """
        remaining = dict(step.options)
        naive_tier = remaining.pop('tier', '') == 'naive'
        options: dict[str, typing.Any] = {
            name: _integer(value) for name, value in remaining.items()
        }
        hosts = options.pop('hosts', 2)
        snapshots = tuple(range(1, options.pop('snapshots', 1) + 1))
        deployment = deployments.Deployment(
            snapshot_numbers=snapshots,
            deadline_ms=_DEADLINE_MS,
            **options,
        )
        self._fleet = self._stack.enter_context(
            fleet.Fleet(deployment, 0 if naive_tier else hosts)
        )
        if naive_tier:
            names = [f'naive-{number}' for number in range(hosts)]
            self._fleet.start_naive_hosts(names, hosts)
        self.wait_whole(step)

    def set_behaviour(self, step: scenarios.Step) -> None:
        """Change the behaviour of the searchers that match a glob pattern."""
        behaviour: dict[str, typing.Any] = {}
        for name, value in step.options.items():
            if isinstance(value, str):
                behaviour[name] = _BOOLEANS.get(value, value)
            elif name == 'held':
                behaviour[name] = [int(number) for number in value]
            elif name in ('slots', 'restart', 'cold_requests'):
                behaviour[name] = _integer(value)
            else:
                behaviour[name] = value[0]
        for searcher in self._matching_searchers(step.words[0]):
            self.running.set_behaviour(searcher, **behaviour)

    def kill(self, step: scenarios.Step) -> None:
        """Kill a host or all searchers of a data centre."""
        if step.words[0] in deployments.DATA_CENTRES:
            self.running.kill_searchers(step.words[0])
        else:
            self.running.kill(step.words[0])

    def pause(self, step: scenarios.Step) -> None:
        """Suspend the process of a host."""
        self.running.pause(step.words[0])

    def resume(self, step: scenarios.Step) -> None:
        """Resume a suspended process."""
        self.running.resume(step.words[0])

    def take_out(self, step: scenarios.Step) -> None:
        """Take a data centre or a searcher out of service."""
        self._out_of_service.add(step.words[0])
        self.running.publish(self._out_of_service)

    def take_back(self, step: scenarios.Step) -> None:
        """Return a data centre or a searcher to service."""
        self._out_of_service.discard(step.words[0])
        self.running.publish(self._out_of_service)

    def publish_snapshots(self, step: scenarios.Step) -> None:
        """Publish a configuration that lists exactly these snapshots."""
        numbers = tuple(int(number) for number in step.numbers)
        self.running.deployment = attrs.evolve(
            self.running.deployment, snapshot_numbers=numbers
        )
        self.running.publish(self._out_of_service)

    def set_platform(self, step: scenarios.Step) -> None:
        """Make the platform fail every call or answer normally again."""
        self.running.platform.set_down(step.words[0] == 'down')

    def search(self, step: scenarios.Step) -> None:
        """Search the host ``from``, or each host in turn, ``times`` times.

        The ``expect`` steps that follow check the replies to these searches.
        """
        host = step.options.get('from')
        hosts = [host] if isinstance(host, str) else list(self.running.hosts)
        times = _integer(step.options.get('times', (1.0,)))
        deadline = step.options.get('deadline', (_DEADLINE_MS,))
        limit = _integer(step.options.get('limit', (10.0,)))
        self._results = [
            self._search(name, step.words[0], float(deadline[0]), limit)
            for _ in range(times)
            for name in hosts
        ]

    def expect_codes(self, step: scenarios.Step) -> None:
        """Check that each reply has one of these result codes."""
        for result in self._results:
            body = result.reply.body
            assert body['name'] in step.words, body

    def expect_coverage(self, step: scenarios.Step) -> None:
        """Check each coverage against the number or the range of the step."""
        low, high = step.numbers[0], step.numbers[-1]
        for result in self._results:
            covered = result.reply.body['coverage']
            assert low <= covered['fraction'] <= high, covered

    def expect_missing(self, step: scenarios.Step) -> None:
        """Check that each answer misses exactly these shards."""
        for result in self._results:
            missing = set(result.reply.body['coverage']['missing'])
            assert missing == set(step.words), missing

    def expect_edition(self, step: scenarios.Step) -> None:
        """Check that each answer comes from one of these snapshots."""
        for result in self._results:
            snapshot = result.reply.body['snapshot']
            assert snapshot in step.numbers, snapshot

    def expect_records(self, step: scenarios.Step) -> None:
        """Check a count of each searcher against a number or a range."""
        low, high = step.numbers[0], step.numbers[-1]
        for searcher in self._matching_searchers(step.words[0]):
            count = self.running.record(searcher)[step.words[1]]
            assert low <= count <= high, f'{searcher}: {count}'

    def wait_idle(self, step: scenarios.Step) -> None:
        """Wait until a search of every host sends nothing to the searchers."""

        def idle() -> bool:
            before = self._search_count(step.words[0])
            for name in self.running.hosts:
                self._search(name, _PROBE_QUERY, _DEADLINE_MS, 10)
            return self._search_count(step.words[0]) == before

        _wait_until(idle)

    def wait_whole(self, step: scenarios.Step) -> None:
        """Wait until every host returns complete answers."""
        _wait_until(
            lambda: all(
                self.running.search(name, _PROBE_QUERY, _DEADLINE_MS).body[
                    'code'
                ]
                == 0
                for name in self.running.hosts
            )
        )

    def wait_edition(self, step: scenarios.Step) -> None:
        """Wait until every host answers from this snapshot."""
        _wait_until(
            lambda: all(
                self._search(name, _PROBE_QUERY, _DEADLINE_MS, 10).reply.body[
                    'snapshot'
                ]
                == step.numbers[0]
                for name in self.running.hosts
            )
        )

    def _search(
        self, host: str, query: str, deadline_ms: float, limit: int
    ) -> _SearchResult:
        reply = self.running.search(host, query, deadline_ms, limit)
        result = _SearchResult(query, limit, reply)
        if 'hits' in reply.body:
            self._check_hits(result)
        return result

    def _check_hits(self, result: _SearchResult) -> None:
        body = result.reply.body
        expected = naive.search_all(
            self.running.deployment,
            body['snapshot'],
            result.query,
            result.limit,
            body['coverage']['missing'],
        )
        actual = [(hit['document'], hit['title']) for hit in body['hits']]
        assert actual == [(hit.document, hit.title) for hit in expected], body

    def _matching_searchers(self, pattern: str) -> list[str]:
        names = fnmatch.filter(self.running.addresses, pattern)
        assert names, f'no searcher name matches {pattern}'
        return names

    def _search_count(self, pattern: str) -> int:
        return sum(
            int(self.running.record(searcher)['searches'])
            for searcher in self._matching_searchers(pattern)
        )


def _integer(value: scenarios.Option) -> int:
    assert not isinstance(value, str), f'{value} is not a number'
    return int(value[0])


def _wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + _WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, (
            f'condition not met within {_WAIT_TIMEOUT_S} s'
        )
        time.sleep(_POLL_S)


_STEPS: dict[
    str, collections.abc.Callable[[ScenarioRunner, scenarios.Step], None]
] = {
    'start_fleet': ScenarioRunner.start,
    'set_behaviour': ScenarioRunner.set_behaviour,
    'kill': ScenarioRunner.kill,
    'pause_host': ScenarioRunner.pause,
    'continue_host': ScenarioRunner.resume,
    'take_out': ScenarioRunner.take_out,
    'take_back': ScenarioRunner.take_back,
    'publish_snapshots': ScenarioRunner.publish_snapshots,
    'set_platform': ScenarioRunner.set_platform,
    'search': ScenarioRunner.search,
    'expect_codes': ScenarioRunner.expect_codes,
    'expect_coverage': ScenarioRunner.expect_coverage,
    'expect_missing': ScenarioRunner.expect_missing,
    'expect_edition': ScenarioRunner.expect_edition,
    'expect_records': ScenarioRunner.expect_records,
    'wait_idle': ScenarioRunner.wait_idle,
    'wait_whole': ScenarioRunner.wait_whole,
    'wait_edition': ScenarioRunner.wait_edition,
}
