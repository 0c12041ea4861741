"""Checks made immediately before sending an action and while it runs."""

import collections.abc
import concurrent.futures
import contextlib
import threading
import time

import pytest

from corianderport_testkit.process import action_hosts
from corianderport_testkit.process import action_links
from corianderport_testkit.version import deployments
from corianderport_tier import errors
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages

_HOST = 'host-0'
_CONNECTED = action_links.SendStage.CONNECTED
_RUNNING = action_links.SendStage.RUNNING


@contextlib.contextmanager
def _build() -> collections.abc.Iterator[action_hosts.SimulatedCluster]:
    """Build one host with three searchers and without faults.

    All connections have ended when the context exits.
    """
    with concurrent.futures.ThreadPoolExecutor(32) as executor:
        with action_hosts.SimulatedCluster(1, 0.0, [_HOST], executor) as built:
            yield built


@pytest.fixture
def cluster() -> collections.abc.Iterator[action_hosts.SimulatedCluster]:
    """One host with three searchers and without faults."""
    with _build() as built:
        yield built


def _act(
    cluster: action_hosts.SimulatedCluster,
    ticket: str | None = None,
    payload: str = 'p',
) -> messages.ActionAnswer:
    deadline = deadlines.Deadline.after(cluster.clock, 20)
    return cluster.hosts[_HOST].entry.act(
        messages.ActionRequest('r', 'reserve', payload, deadline, 'c', ticket)
    )


def _at(
    wanted: action_links.SendStage, act: collections.abc.Callable[[], None]
) -> collections.abc.Callable[[action_links.SendStage], None]:
    def call_at_stage(stage: action_links.SendStage) -> None:
        if stage is wanted:
            act()

    return call_at_stage


@pytest.mark.parametrize(('with_ticket', 'pause_s'), [(0, 30), (1, 6)])
def test_paused_process_sends_nothing(
    cluster: action_hosts.SimulatedCluster, with_ticket: bool, pause_s: float
) -> None:
    """Guards against sending after the deadline or the ticket's expiry.

    The host's process is paused between connecting to the searcher and
    sending the action.
    """
    ticket = cluster.hosts[_HOST].entry.issue_ticket().text
    cluster.on_send_stage = _at(
        _CONNECTED, lambda: cluster.clock.advance(pause_s)
    )
    try:
        code = _act(cluster, ticket if with_ticket else None).code
    except errors.DeadlinePast as error:
        code = error.code
    assert code is errors.DeadlinePast.code
    assert not cluster.runs


def test_data_centres_out_of_service_get_nothing(
    cluster: action_hosts.SimulatedCluster,
) -> None:
    """Guards against sending according to an outdated configuration.

    All data centres are taken out of service while the host connects to
    a searcher.
    """
    versions = iter(range(2, 9))
    cluster.on_send_stage = _at(
        _CONNECTED,
        lambda: cluster.publish(next(versions), deployments.DATA_CENTRES),
    )
    with pytest.raises(errors.NoUpstream):
        _act(cluster)
    assert not cluster.runs


@pytest.mark.parametrize(
    ('stage', 'error', 'runs'),
    [
        (_CONNECTED, errors.DeadlinePast, 0),
        (_RUNNING, errors.OutcomeUnknown, 1),
    ],
)
def test_deadline_passes_while_the_connection_is_stuck(
    stage: action_links.SendStage,
    error: type[errors.CorianderportError],
    runs: int,
) -> None:
    """Guards against reporting 'not run' for an action that is sent later.

    The connection's task hangs before or after sending, while the
    request reaches its deadline and is answered.
    """
    reached, release = threading.Event(), threading.Event()

    def block() -> None:
        reached.set()
        release.wait()

    with _build() as cluster:
        cluster.on_send_stage = _at(stage, block)
        future = cluster.executor.submit(_act, cluster)
        reached.wait()
        cluster.clock.advance(30)
        try:
            with pytest.raises(error):
                future.result()
        finally:
            release.set()
    assert cluster.runs['p'] == runs


@pytest.mark.parametrize(
    ('stage', 'error', 'runs'),
    [(_CONNECTED, errors.NotReady, 0), (_RUNNING, errors.OutcomeUnknown, 1)],
)
def test_action_ends_before_a_stopping_host_exits(
    stage: action_links.SendStage,
    error: type[errors.CorianderportError],
    runs: int,
) -> None:
    """Guards against actions that get no answer in a graceful shutdown.

    The host exits before the deadline of the action.
    """
    reached, release = threading.Event(), threading.Event()

    def block() -> None:
        reached.set()
        release.wait()

    with _build() as cluster:
        cluster.on_send_stage = _at(stage, block)
        future = cluster.executor.submit(_act, cluster)
        reached.wait()
        cluster.hosts[_HOST].drain.begin(
            deadlines.Deadline.after(cluster.clock, 0.2)
        )
        cluster.clock.advance(0.3)
        try:
            with pytest.raises(error):
                future.result(10)
        finally:
            release.set()
    assert cluster.runs['p'] == runs


def test_actions_stay_within_the_limits_of_the_searchers(
    cluster: action_hosts.SimulatedCluster,
) -> None:
    """Guards against exceeding the concurrency limit of a cold searcher.

    One action more than the searchers have slots for arrives while all
    of their slots are in use.
    """
    slots = len(deployments.DATA_CENTRES)
    running = threading.Semaphore(0)
    release = threading.Event()

    def block() -> None:
        running.release()
        release.wait()

    cluster.on_send_stage = _at(_RUNNING, block)
    futures = [
        cluster.executor.submit(_act, cluster, None, f'p{number}')
        for number in range(slots + 1)
    ]
    for _ in range(slots):
        running.acquire()
    while cluster.clock.waiter_count <= slots:
        time.sleep(0)
    assert cluster.runs.total() == slots
    release.set()
    for future in futures:
        future.result()
    assert cluster.runs.total() == slots + 1
