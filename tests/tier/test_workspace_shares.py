"""Shares of workspaces in what the requests of a host have in common."""

import random

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import extra_shares
from corianderport_tier.process import fleet_share
from corianderport_tier.process import running_requests
from corianderport_tier.process import searcher_state
from corianderport_tier.process import service_searchers
from corianderport_tier.process import workspace_shares
from corianderport_tier import result_codes

from . import entries
from . import placement_simulation
from . import test_forwarding
from . import test_forwarding_quotas

Code = result_codes.ResultCode
_RATIO, _SLACK = 0.15, 8.0


def test_extra_sends_leave_some_to_others() -> None:
    """Guards against one workspace whose failures use up all retries.

    Without a share, it spends the slack and the ratio of others' requests.
    """
    shares = extra_shares.ExtraShares(10.0)
    for _ in range(100):
        shares.count_request('hot', 1.0)
        shares.count_request('calm', 1.0)
    spent = 0
    while shares.may_spend('hot', _RATIO, _SLACK, 1.5):
        shares.spend('hot', 1.5)
        spent += 1
    assert spent == int(_RATIO * 100 + 0.75 * _SLACK)
    assert shares.may_spend('calm', _RATIO, _SLACK, 1.5)


def test_extra_sends_of_one_workspace_alone() -> None:
    """Guards against a budget that is left to nobody."""
    shares = extra_shares.ExtraShares(10.0)
    shares.count_request('calm', 1.0)
    shares.count_request('hot', 12.0)
    for _ in range(50):
        assert shares.may_spend('hot', _RATIO, _SLACK, 12.0)
        shares.spend('hot', 12.0)
    shares.count_request('calm', 12.0)
    assert not shares.may_spend('hot', _RATIO, _SLACK, 12.0)


def test_small_slack_permits_one_extra_send() -> None:
    """Guards against large fleets in which no host may hedge any more."""
    shares = extra_shares.ExtraShares(10.0)
    shares.count_request('hot', 1.0)
    shares.count_request('calm', 1.0)
    assert shares.may_spend('hot', 0.0, 0.5, 1.0)
    shares.spend('hot', 1.0)
    assert not shares.may_spend('hot', 0.0, 0.5, 1.0)


def test_service_charges_extra_sends_to_the_workspace() -> None:
    """Guards against a share that the service does not apply."""
    clock = clock_module.ManualClock()
    service = _service(clock)
    service.count_request('hot')
    service.count_request('calm')
    while service.try_extra(workspace='hot'):
        pass
    assert service.try_extra(workspace='calm')


def test_memory_is_bounded_by_recent_workspaces() -> None:
    """Guards against memory for workspaces that are long gone."""
    extra = extra_shares.ExtraShares(10.0)
    shares = workspace_shares.WorkspaceShares()
    for number in range(1_000):
        extra.count_request(f'w{number}', float(number))
        shares.arrive(f'w{number}', 0.01, float(number))
    assert extra.size <= 21
    assert shares.size <= 21


def test_running_requests_leave_tasks_to_others() -> None:
    """Guards against a workspace whose waiting requests hold all tasks."""
    running = running_requests.RunningRequests(400, clock_module.ManualClock())
    assert running.enter('calm')
    entered = sum(running.enter('hot') for _ in range(1_000))
    assert 290 <= entered <= 300
    # Several busy workspaces share the tasks and still leave some.
    assert sum(running.enter('warm') for _ in range(1_000)) >= 50
    assert running.enter('calm')
    for _ in range(entered):
        running.leave('hot')
    assert running.enter('hot')
    running.leave('hot')
    assert running.size == 2


def test_single_workspace_uses_all_tasks() -> None:
    """Guards against idle tasks in a deployment with one workspace."""
    clock = clock_module.ManualClock()
    running = running_requests.RunningRequests(400, clock)
    assert running.enter('only')
    clock.advance(11)
    assert all(running.enter('only') for _ in range(399))


def test_request_beyond_the_share_of_the_host_is_refused() -> None:
    """Guards against requests that wait although others need the task."""
    host = test_forwarding_quotas._Host()
    running = running_requests.RunningRequests(4, host.clock)
    host.forwarder._running = running
    running.enter('calm')
    for _ in range(2):
        running.enter('alpha')
    running.enter('alpha')
    host.start()
    failure = host.refusal(Code.OVERLOADED)
    assert failure.retry_after_s is not None
    assert host.idle and host.quotas.admitted == []
    assert host.counted() == {'over_share': 1}
    running.leave('alpha')
    running.leave('alpha')
    host.start()
    host.end(host.take(), test_forwarding.reply())
    host.finish()
    assert running.size == 2


def test_share_of_a_service_is_a_refusal() -> None:
    """Guards against a limited workspace whose requests wait for nothing."""
    host = test_forwarding_quotas._Host()
    service = host.forwarder.directory.service('stock')
    assert service is not None
    service._shares.permits = lambda workspace, now_s: workspace != 'alpha'
    host.start()
    failure = host.refusal(Code.OVERLOADED)
    assert failure.retry_after_s is not None
    assert host.idle
    assert host.counted() == {'admitted': 1, 'given_back': 1, 'over_share': 1}


def test_pile_of_one_workspace_ends_at_once() -> None:
    """Guards against a flood that is noticed by its late replies only."""
    clock = clock_module.ManualClock()
    service = _service(clock)
    request = entries.request_class(0.01)
    service.arrive('calm', 0.01)
    service.count_request('calm')
    choices = []
    for _ in range(40):
        service.arrive('hot', 0.01)
        service.count_request('hot')
        choice = service.choose((), request, 'hot')
        if isinstance(choice, service_searchers.NoChoice):
            break
        choices.append(choice)
    assert choice is service_searchers.NoChoice.SHARE
    assert 8 <= len(choices) <= 10
    assert isinstance(
        service.choose((), request, 'calm'), service_searchers.Choice
    )
    assert isinstance(service.choose((), request), service_searchers.Choice)
    # It is served again once its requests have ended and its demand is over.
    clock.advance(0.02)
    for choice in choices:
        service.finish(
            choice,
            searcher_state.SendResult(
                failed=False, answered=True, elapsed_s=0.02, median_s=0.01
            ),
        )
    clock.advance(5)
    assert isinstance(
        service.choose((), request, 'hot'), service_searchers.Choice
    )


def _service(
    clock: clock_module.ManualClock,
) -> service_searchers.ServiceSearchers:
    bounds = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5)
    share = fleet_share.FleetShare(bounds, 'h1', lambda: ('h1',), clock)
    service = service_searchers.ServiceSearchers(
        'stock',
        'dc-a',
        share,
        lambda registration, limit: placement_simulation.Pool(),
        clock,
        random.Random(1),
    )
    service.update(
        entries.parameters(connections=100),
        [entries.registration(f's{n}', slots=4) for n in range(3)],
    )
    return service
