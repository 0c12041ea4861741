"""A host grants tokens only of quotas that it owns a part of."""

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.process import quota_bucket
from corianderport_tier.process import quota_hosts
from corianderport_tier.process import quota_messages
from corianderport_tier.process import quota_owner
from corianderport_tier.version import workspaces

_KAMI = workspaces.Workspace('kami', 0, 40, 80)
_NAMES = tuple(f'h{number}' for number in range(6))


class _Fleet:
    """What the host knows of the fleet."""

    def __init__(self) -> None:
        self.hosts = quota_hosts.QuotaHosts(_NAMES)
        self.serving = self.connected = True
        self.first_start = False
        self.all_young = False
        self.confirmed = False
        self.grants_in_s = 0.0


class _Owner:
    """The first owner of the workspace, which has just started."""

    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        self.fleet = _Fleet()
        self.workspaces: list[workspaces.Workspace] = [_KAMI]
        self.bounds: quota_bucket.QuotaBounds | None
        self.bounds = quota_bucket.QuotaBounds(5, 0.25, 20)
        self.order = quota_hosts.first_hosts('kami', _NAMES, 6)
        self.owner = quota_owner.QuotaOwner(
            self.order[0],
            self.fleet,
            quota_owner.WorkspaceIndex(lambda: self.workspaces),
            lambda: self.bounds,
            self.clock,
        )

    def advance(self, seconds: float) -> None:
        """Advance the time while the periodic task runs."""
        for _ in range(int(seconds * 4)):
            self.clock.advance(0.25)
            self.owner.expire()

    def grant(self, tokens: int = 1_000) -> int:
        request = quota_messages.QuotaRequest('kami', tokens, 0)
        return self.owner.grant(request).granted

    def rename(self, *names: str) -> None:
        """Let other hosts be known."""
        self.fleet.hosts = quota_hosts.QuotaHosts(names)


def _settled() -> _Owner:
    owner = _Owner()
    owner.advance(60)
    return owner


def test_starting_host_grants_nothing_before_all_know_it() -> None:
    """Guards against two hosts that grant the same part of a quota."""
    owner = _Owner()
    owner.advance(7)
    with pytest.raises(errors.NotReady):
        owner.grant()
    owner.advance(2)
    assert owner.grant() == 1 + int(11.25 * 1.0)


def _early() -> _Owner:
    """An owner that has started together with all others and knows them."""
    owner = _Owner()
    owner.fleet.first_start = owner.fleet.all_young = True
    owner.fleet.confirmed = True
    return owner


def test_hosts_that_start_together_grant_soon() -> None:
    """Guards against seconds without quotas after all hosts restarted.

    The bucket starts empty, so that a quarter second gives 2.8 tokens.
    """
    owner = _early()
    assert owner.grant() == 0
    owner.advance(0.25)
    assert owner.grant() == 2


@pytest.mark.parametrize('lacking', ['first_start', 'all_young', 'confirmed'])
def test_unsettled_fleet_gets_nothing(lacking: str) -> None:
    """Guards against many owners while the hosts find each other."""
    owner = _early()
    setattr(owner.fleet, lacking, False)
    for number in range(6):
        owner.rename(*_NAMES[: number + 1])
        owner.advance(0.75)
        with pytest.raises(errors.NotReady):
            owner.grant()


@pytest.mark.parametrize('lost', ['first_start', 'confirmed', 'serving'])
def test_young_host_stops_when_it_loses_sight(lost: str) -> None:
    """Guards against grants while an unknown host takes the part over.

    Its bucket starts anew, since the other host may have used the tokens.
    """
    owner = _early()
    owner.advance(2)
    setattr(owner.fleet, lost, False)
    with pytest.raises(errors.NotReady):
        owner.grant()
    setattr(owner.fleet, lost, True)
    assert owner.grant() == 0


def test_young_host_goes_on_when_the_others_grow_older() -> None:
    """Guards against an interruption before all hosts are old enough."""
    owner = _early()
    owner.advance(0.5)
    owner.fleet.all_young = False
    owner.advance(6)
    assert owner.grant() > 0
    owner.fleet.first_start = owner.fleet.confirmed = False
    owner.advance(2)
    assert owner.grant() > 0


def test_young_owner_is_replaced_at_once() -> None:
    """Guards against two young hosts that grant the same part.

    A host that has started much later does not grant before all know it, so
    that the replaced owner may go on for three seconds.
    """
    owner = _early()
    owner.advance(1)
    assert owner.grant(1) == 1
    first = quota_hosts.first_hosts('kami', (f'x{n}' for n in range(500)), 4)
    names = (*_NAMES, *first)
    owner.fleet.hosts = quota_hosts.QuotaHosts(names, late=frozenset(first))
    owner.advance(1)
    assert owner.grant(1) == 1
    owner.rename(*names)
    with pytest.raises(errors.NotOwner):
        owner.grant(1)


def test_initial_tokens_of_a_young_host() -> None:
    """Guards against initial tokens at each of many changes of owners.

    They are added when the owners have not changed for half a window.
    """
    owner = _early()
    owner.workspaces = [workspaces.Workspace('kami', 0, 0.01, 10)]
    assert owner.grant() == 0
    owner.advance(2.25)
    assert owner.grant() == 0
    owner.advance(0.5)
    assert owner.grant() == 1
    owner.advance(6)
    assert owner.grant() == 0


def test_host_that_finds_the_fleet_late_waits() -> None:
    """Guards against many hosts that find each other late and grant at once.

    They have run for long, but no seed has been there.
    """
    owner = _Owner()
    owner.fleet.connected = False
    owner.advance(20)
    owner.fleet.connected = True
    owner.advance(7)
    with pytest.raises(errors.NotReady):
        owner.grant()
    owner.advance(2)
    assert owner.grant() > 0


def test_host_that_leaves_grants_nothing() -> None:
    """Guards against tokens of a host whose place others take."""
    owner = _settled()
    owner.fleet.serving = False
    with pytest.raises(errors.NotReady):
        owner.grant()


def test_each_owner_grants_a_quarter() -> None:
    """Guards against owners that together grant more than the quota."""
    owner = _settled()
    assert owner.grant() == int((80 * 1.125 + 5) / 4)
    owner.advance(1)
    assert owner.grant() in (11, 12)


def test_other_hosts_do_not_grant() -> None:
    """Guards against a host that grants tokens of others' quotas."""
    owner = _settled()
    owner.rename(*(f'x{n}' for n in range(5_000)), owner.order[0])
    with pytest.raises(errors.NotOwner):
        owner.grant()


def test_replaced_owner_grants_until_its_successor_does() -> None:
    """Guards against a lost part of the quota while a host starts.

    It keeps its bucket for three seconds and starts anew afterwards.
    """
    owner = _settled()
    assert owner.grant(1) == 1
    first = quota_hosts.first_hosts('kami', (f'x{n}' for n in range(500)), 4)
    owner.rename(*_NAMES, *first)
    owner.advance(2)
    assert owner.grant(1) == 1
    owner.advance(2)
    with pytest.raises(errors.NotOwner):
        owner.grant(1)
    assert owner.owner.size == 0
    owner.rename(*_NAMES)
    assert owner.grant() == 1


def test_hosts_that_were_forgotten_reduce_the_part() -> None:
    """Guards against both sides of a partition granting the whole quota."""
    owner = _settled()
    owner.grant()
    owner.fleet.hosts = quota_hosts.QuotaHosts(_NAMES, forgotten=6)
    owner.advance(2)
    assert owner.grant() == int(40 * 1.125 / 4)


def test_process_that_was_paused_for_long_starts_anew() -> None:
    """Guards against granting a part that others have taken over."""
    owner = _settled()
    owner.fleet.first_start = owner.fleet.all_young = True
    owner.fleet.confirmed = True
    owner.grant(1)
    owner.clock.advance(130)
    with pytest.raises(errors.NotReady):
        owner.grant(1)
    owner.advance(9)
    assert owner.grant(1) == 1


def test_pause_adds_no_more_than_the_burst() -> None:
    """Guards against tokens saved while the process was frozen."""
    owner = _settled()
    owner.grant()
    owner.clock.advance(30)
    assert owner.grant() == int((80 * 1.125 + 5) / 4)


def test_workspace_that_is_not_known_yet() -> None:
    """Guards against a 429 when the owner has an older version."""
    owner = _settled()
    owner.workspaces = []
    with pytest.raises(errors.NotReady):
        owner.grant()


def test_workspace_whose_limit_was_removed() -> None:
    """Guards against refusals of a workspace that is no longer limited."""
    owner = _settled()
    owner.workspaces = [workspaces.Workspace('kami', 0)]
    assert owner.grant(500) == 500


def test_removed_workspaces_are_dropped() -> None:
    """Guards against memory that grows with every workspace ever used."""
    owner = _settled()
    owner.rename(owner.order[0])
    owner.workspaces = [
        workspaces.Workspace(f'w{n}', 0, 5, 5) for n in range(2_000)
    ]
    for workspace in owner.workspaces:
        owner.owner.grant(quota_messages.QuotaRequest(workspace.name, 1, 0))
    assert owner.owner.size == 2_000
    owner.workspaces = [_KAMI]
    owner.owner.expire()
    assert owner.owner.size == 0


def test_without_bounds_nothing_is_granted() -> None:
    """Guards against grants after the settings have switched quotas off."""
    owner = _settled()
    owner.bounds = None
    with pytest.raises(errors.NotReady):
        owner.grant()


def test_part_and_tokens_of_an_owner() -> None:
    """Guards against a report that differs from what the owner grants."""
    owner = _Owner()
    assert owner.owner.part(_KAMI) == 0
    owner.advance(60)
    assert owner.owner.part(_KAMI) == 0.25
    granted = owner.grant()
    assert owner.owner.granted_totals() == {'kami': granted}
    assert owner.owner.part(_KAMI) == 0.25
    assert owner.owner.part(workspaces.Workspace('free', 0)) == 0
    owner.rename(*(f'x{n}' for n in range(5_000)), owner.order[0])
    owner.advance(10)
    assert owner.owner.part(_KAMI) == 0
    owner.workspaces = []
    owner.advance(1)
    assert owner.owner.granted_totals() == {}
