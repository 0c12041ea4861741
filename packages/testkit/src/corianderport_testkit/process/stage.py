"""corianderport_testkit.process.stage

Plays a scenario on a deployment in processes.
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

__all__ = ['ExpectationFailed', 'Stage']

_WAIT_S = 40.0
_PAUSE_S = 0.05
_DEADLINE_MS = 4_000.0
_QUERY = 'painted stilts'
_FLAGS = {'true': True, 'false': False}


class ExpectationFailed(AssertionError):
    """A step did not see what it expects; names the line."""


@attrs.frozen
class _Answer:
    """A search's text and limit, and the reply to it."""

    query: str
    limit: int
    reply: fleet.Reply


class Stage:
    """Plays steps one after the other; a context manager.

    Every answer is compared with a naive search over the documents that
    it claims to cover, on the snapshot that it names.
    """

    def __init__(self) -> None:
        self._stack = contextlib.ExitStack()
        self._fleet: fleet.Fleet | None = None
        self._answers: list[_Answer] = []
        self._out: set[str] = set()

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self._stack.close()

    @property
    def running(self) -> fleet.Fleet:
        """The deployment that ``start`` started."""
        if self._fleet is None:
            raise ExpectationFailed('a scenario begins with "start"')
        return self._fleet

    def play(self, text: str) -> None:
        """Play all steps.

        :raises ExpectationFailed: names the line of the step.
        """
        for step in scenarios.parse(text):
            try:
                _STEPS[step.kind](self, step)
            except AssertionError as error:
                raise ExpectationFailed(
                    f'line {step.line}, {step.kind}: {error}'
                ) from error

    def start(self, step: scenarios.Step) -> None:
        """Start a deployment and wait until every host answers.

        ``tier=naive`` starts hosts of the naive tier.
        """
        given = dict(step.options)
        naive_tier = given.pop('tier', '') == 'naive'
        options: dict[str, typing.Any] = {
            name: _whole(value) for name, value in given.items()
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
        """Change the behaviour of all searchers of a name pattern."""
        behaviour: dict[str, typing.Any] = {}
        for name, value in step.options.items():
            if isinstance(value, str):
                behaviour[name] = _FLAGS.get(value, value)
            elif name == 'held':
                behaviour[name] = [int(number) for number in value]
            elif name in ('slots', 'restart', 'cold_requests'):
                behaviour[name] = _whole(value)
            else:
                behaviour[name] = value[0]
        for searcher in self._searchers(step.words[0]):
            self.running.set_behaviour(searcher, **behaviour)

    def kill(self, step: scenarios.Step) -> None:
        """Kill a host, or all searchers of a data centre."""
        if step.words[0] in deployments.DATA_CENTRES:
            self.running.kill_searchers(step.words[0])
        else:
            self.running.kill(step.words[0])

    def pause(self, step: scenarios.Step) -> None:
        """Stop a host's process."""
        self.running.pause(step.words[0])

    def resume(self, step: scenarios.Step) -> None:
        """Let a stopped process run on."""
        self.running.resume(step.words[0])

    def take_out(self, step: scenarios.Step) -> None:
        """Take a data centre or a searcher out of service."""
        self._out.add(step.words[0])
        self.running.publish(self._out)

    def take_back(self, step: scenarios.Step) -> None:
        """Put a data centre or a searcher into service again."""
        self._out.discard(step.words[0])
        self.running.publish(self._out)

    def publish_snapshots(self, step: scenarios.Step) -> None:
        """Publish a configuration with these snapshots."""
        numbers = tuple(int(number) for number in step.numbers)
        self.running.deployment = attrs.evolve(
            self.running.deployment, snapshot_numbers=numbers
        )
        self.running.publish(self._out)

    def set_platform(self, step: scenarios.Step) -> None:
        """Make the platform fail every call, or answer again."""
        self.running.platform.set_down(step.words[0] == 'down')

    def search(self, step: scenarios.Step) -> None:
        """Search at one host or at all hosts in turn, several times."""
        host = step.options.get('from')
        hosts = [host] if isinstance(host, str) else list(self.running.hosts)
        times = _whole(step.options.get('times', (1.0,)))
        deadline = step.options.get('deadline', (_DEADLINE_MS,))
        limit = _whole(step.options.get('limit', (10.0,)))
        self._answers = [
            self._search(name, step.words[0], float(deadline[0]), limit)
            for _ in range(times)
            for name in hosts
        ]

    def expect_codes(self, step: scenarios.Step) -> None:
        """Every code is one of these."""
        for answer in self._answers:
            body = answer.reply.body
            assert body['name'] in step.words, body

    def expect_coverage(self, step: scenarios.Step) -> None:
        """Every coverage is this number, or between these two."""
        low, high = step.numbers[0], step.numbers[-1]
        for answer in self._answers:
            covered = answer.reply.body['coverage']
            assert low <= covered['fraction'] <= high, covered

    def expect_missing(self, step: scenarios.Step) -> None:
        """Every answer lacks exactly these shards."""
        for answer in self._answers:
            missing = set(answer.reply.body['coverage']['missing'])
            assert missing == set(step.words), missing

    def expect_edition(self, step: scenarios.Step) -> None:
        """Every answer is of one of these snapshots."""
        for answer in self._answers:
            snapshot = answer.reply.body['snapshot']
            assert snapshot in step.numbers, snapshot

    def expect_records(self, step: scenarios.Step) -> None:
        """A count of each searcher is this number, or between these two."""
        low, high = step.numbers[0], step.numbers[-1]
        for searcher in self._searchers(step.words[0]):
            count = self.running.record(searcher)[step.words[1]]
            assert low <= count <= high, f'{searcher}: {count}'

    def wait_idle(self, step: scenarios.Step) -> None:
        """Wait until a round of searches reaches none of these."""

        def idle() -> bool:
            before = self._searches(step.words[0])
            for name in self.running.hosts:
                self._search(name, _QUERY, _DEADLINE_MS, 10)
            return self._searches(step.words[0]) == before

        _wait(idle)

    def wait_whole(self, step: scenarios.Step) -> None:
        """Wait until every host gives whole answers."""
        _wait(
            lambda: all(
                self.running.search(name, _QUERY, _DEADLINE_MS).body['code']
                == 0
                for name in self.running.hosts
            )
        )

    def wait_edition(self, step: scenarios.Step) -> None:
        """Wait until every host answers from this snapshot."""
        _wait(
            lambda: all(
                self._search(name, _QUERY, _DEADLINE_MS, 10).reply.body[
                    'snapshot'
                ]
                == step.numbers[0]
                for name in self.running.hosts
            )
        )

    def _search(
        self, host: str, query: str, deadline_ms: float, limit: int
    ) -> _Answer:
        reply = self.running.search(host, query, deadline_ms, limit)
        answer = _Answer(query, limit, reply)
        if 'hits' in reply.body:
            self._compare(answer)
        return answer

    def _compare(self, answer: _Answer) -> None:
        body = answer.reply.body
        expected = naive.search_all(
            self.running.deployment,
            body['snapshot'],
            answer.query,
            answer.limit,
            body['coverage']['missing'],
        )
        found = [(hit['document'], hit['title']) for hit in body['hits']]
        assert found == [(hit.document, hit.title) for hit in expected], body

    def _searchers(self, pattern: str) -> list[str]:
        names = fnmatch.filter(self.running.addresses, pattern)
        assert names, f'no searcher is named {pattern}'
        return names

    def _searches(self, pattern: str) -> int:
        return sum(
            int(self.running.record(searcher)['searches'])
            for searcher in self._searchers(pattern)
        )


def _whole(value: scenarios.Option) -> int:
    assert not isinstance(value, str), f'{value} is not a number'
    return int(value[0])


def _wait(condition: collections.abc.Callable[[], bool]) -> None:
    until_s = time.monotonic() + _WAIT_S
    while not condition():
        assert time.monotonic() < until_s, f'not within {_WAIT_S} s'
        time.sleep(_PAUSE_S)


_STEPS: dict[str, collections.abc.Callable[[Stage, scenarios.Step], None]] = {
    'start_fleet': Stage.start,
    'set_behaviour': Stage.set_behaviour,
    'kill': Stage.kill,
    'pause_host': Stage.pause,
    'continue_host': Stage.resume,
    'take_out': Stage.take_out,
    'take_back': Stage.take_back,
    'publish_snapshots': Stage.publish_snapshots,
    'set_platform': Stage.set_platform,
    'search': Stage.search,
    'expect_codes': Stage.expect_codes,
    'expect_coverage': Stage.expect_coverage,
    'expect_missing': Stage.expect_missing,
    'expect_edition': Stage.expect_edition,
    'expect_records': Stage.expect_records,
    'wait_idle': Stage.wait_idle,
    'wait_whole': Stage.wait_whole,
    'wait_edition': Stage.wait_edition,
}
