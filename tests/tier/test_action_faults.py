"""Actions run at most once under faults, and 'not run' is never false."""

import collections
import collections.abc
import concurrent.futures
import random

import pytest

from corianderport_testkit.process import action_hosts
from corianderport_testkit.process import action_links
from corianderport_tier import errors
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier import result_codes

_SCENARIOS = 700
_MIN_FAULTS = 1_000
_NAMES = ('host-0', 'host-1', 'host-2')
_LIMIT_S = 60.0

Answers = dict[str, list[result_codes.ResultCode]]


@pytest.fixture(scope='module')
def executor() -> collections.abc.Iterator[
    concurrent.futures.ThreadPoolExecutor
]:
    """Threads for the connections of all scenarios."""
    with concurrent.futures.ThreadPoolExecutor(128) as started:
        yield started


class _Scenario:
    """One action, its caller's attempts and the events between them."""

    def __init__(
        self, seed: int, cluster: action_hosts.SimulatedCluster
    ) -> None:
        self._seed = seed
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._ticket: str | None = None
        self.answers: Answers = collections.defaultdict(list)

    def run(self) -> None:
        """Try at several hosts; only once if there is no ticket."""
        if self._rng.random() < 0.8:
            host = self._cluster.hosts[self._rng.choice(_NAMES)]
            self._ticket = host.entry.issue_ticket().text
        self._inject_event()
        self._try(f'{self._seed}')
        if self._ticket is not None:
            for _ in range(self._rng.randint(1, 4)):
                self._inject_event()
                self._repeat()
        self._cluster.deliver_delayed()
        if self._ticket is not None:
            self._try_at_all_hosts()

    def _repeat(self) -> None:
        choice = self._rng.random()
        if choice < 0.1:
            self._try(f'{self._seed}-other')
        elif choice < 0.4:
            tries = [
                self._cluster.executor.submit(self._try, f'{self._seed}')
                for _ in range(2)
            ]
            for future in tries:
                future.result(_LIMIT_S)
        else:
            self._try(f'{self._seed}')

    def _try(self, payload: str, name: str | None = None) -> None:
        cluster = self._cluster
        host = cluster.hosts[name or self._rng.choice(_NAMES)]
        request = messages.ActionRequest(
            request_id=f'request-{self._rng.random()}',
            action='reserve',
            payload=payload,
            deadline=deadlines.Deadline.after(
                cluster.clock, self._rng.choice((-1.0, 0.3, 2.0, 20.0))
            ),
            customer='c',
            ticket=self._ticket,
        )
        if not host.alive:
            return
        try:
            answer = host.entry.act(request)
            assert answer.request_id == request.request_id
            self.answers[payload].append(answer.code)
        except errors.CorianderportError as error:
            self.answers[payload].append(error.code)

    def _inject_event(self) -> None:
        cluster = self._cluster
        name = self._rng.choice(_NAMES)
        event = self._rng.choices(
            ('none', 'kill', 'stop', 'time', 'long', 'late', 'view'),
            (6, 1, 2, 2, 1, 2, 2),
        )[0]
        if event in ('kill', 'stop'):
            if event == 'stop':
                cluster.hosts[name].stop()
            if event == 'kill' or self._rng.random() < 0.5:
                cluster.hosts[name].kill()
                cluster.start(name)
            if self._rng.random() < 0.5:
                cluster.update_membership()
        elif event == 'time':
            cluster.clock.advance(1.5)
        elif event == 'long':
            cluster.clock.advance(20.0)
        elif event == 'late':
            cluster.deliver_delayed()
        elif event == 'view':
            cluster.update_membership()

    def _try_at_all_hosts(self) -> None:
        self._cluster.fault_rate = 0.0
        self._cluster.update_membership()
        for name in _NAMES:
            self._try(f'{self._seed}', name)


def _check(answers: Answers, runs: collections.Counter[str]) -> None:
    for payload in {*answers, *runs}:
        assert runs[payload] <= 1
        for code in answers[payload]:
            if code.ran is result_codes.Ran.NO:
                assert runs[payload] == 0, code.name
            if code.ran is result_codes.Ran.YES:
                assert runs[payload] == 1, code.name


def test_action_runs_at_most_once(
    executor: concurrent.futures.ThreadPoolExecutor,
) -> None:
    """Guards against running an action twice and against a false 'not run'.

    A caller repeats an action at several hosts while connections fail at
    every stage, hosts restart and messages arrive late.
    """
    faults: collections.Counter[action_links.Fault] = collections.Counter()
    codes: collections.Counter[str] = collections.Counter()
    for seed in range(_SCENARIOS):
        with action_hosts.SimulatedCluster(
            seed, 0.45, _NAMES, executor
        ) as cluster:
            scenario = _Scenario(seed, cluster)
            scenario.run()
            _check(scenario.answers, cluster.runs)
        faults.update(cluster.faults)
        for answers in scenario.answers.values():
            codes.update(code.name for code in answers)
    print(dict(faults), dict(codes))
    assert sum(faults.values()) >= _MIN_FAULTS
    assert len(faults) == len(action_links.Fault) - 1
    # Enough actions must still succeed despite the faults.
    assert codes['OK'] > 100
